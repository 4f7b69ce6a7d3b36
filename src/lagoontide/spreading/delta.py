"""Differences between two encoded documents, by section and by key."""

import msgspec

from lagoontide.decoding import decode_nested

__all__ = ["Delta", "apply_delta", "make_delta"]

Section = dict[str, msgspec.Raw]

# First bytes of msgpack maps: fixmap, map 16 and map 32.
FIXMAP = range(0x80, 0x90)
MAPS = (0xDE, 0xDF)

_sections = msgspec.msgpack.Decoder(dict[str, msgspec.Raw])
_encoder = msgspec.msgpack.Encoder(order="sorted")


class Delta(msgspec.Struct, frozen=True):
    """What to do to a document's sections to have the next one's.

    Attributes
    ----------
    whole : dict
        Sections that are replaced or new.
    put : dict
        Keys of a section that are replaced or new.
    removed : dict
        Keys of a section that are gone.
    dropped : tuple of str
        Sections that are gone.
    """

    whole: Section = {}
    put: dict[str, Section] = {}
    removed: dict[str, tuple[str, ...]] = {}
    dropped: tuple[str, ...] = ()


_deltas = msgspec.msgpack.Decoder(Delta)


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return the encoded delta between two documents in canonical msgpack."""
    before, after = _sections.decode(old), _sections.decode(new)
    whole: Section = {}
    put: dict[str, Section] = {}
    removed: dict[str, tuple[str, ...]] = {}
    for name, raw in after.items():
        base = before.get(name)
        if base is not None and bytes(base) == bytes(raw):
            continue
        if base is None or not (_is_map(base) and _is_map(raw)):
            whole[name] = raw
            continue
        put[name], removed[name] = _compare(
            _sections.decode(base), _sections.decode(raw)
        )
    dropped = tuple(sorted(before.keys() - after.keys()))
    return _encoder.encode(Delta(whole, put, removed, dropped))


def apply_delta(old: bytes, delta: bytes) -> bytes:
    """Return the document to which a delta leads.

    Raises
    ------
    msgspec.DecodeError
        If the delta or the document is malformed.
    """
    step = decode_nested(_deltas, delta)
    sections = decode_nested(_sections, old)
    for name in step.dropped:
        sections.pop(name, None)
    sections.update(step.whole)
    for name in step.put.keys() | step.removed.keys():
        keys = _sections.decode(sections.get(name, b"\x80"))
        for key in step.removed.get(name, ()):
            keys.pop(key, None)
        keys.update(step.put.get(name, {}))
        sections[name] = msgspec.Raw(_encoder.encode(keys))
    return _encoder.encode(sections)


def _is_map(raw: msgspec.Raw) -> bool:
    first = bytes(raw)[0]
    return first in FIXMAP or first in MAPS


def _compare(before: Section, after: Section) -> tuple[Section, tuple[str, ...]]:
    put = {
        key: raw
        for key, raw in after.items()
        if key not in before or bytes(before[key]) != bytes(raw)
    }
    return put, tuple(sorted(before.keys() - after.keys()))
