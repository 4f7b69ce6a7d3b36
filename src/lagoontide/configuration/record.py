"""A document as the store holds it: with who wrote it, when and what changed.

A record is a document with further fields, which processes that only need the
document leave out when they decode it.
"""

import msgspec

from lagoontide.configuration.diff import Change
from lagoontide.configuration.document import (
    Document,
    decode_bytes,
    encode_document,
)
from lagoontide.decoding import decode_nested
from lagoontide.errors import DocumentError, Problem

__all__ = ["HistoryEntry", "Record", "decode_record", "encode_record", "make_record"]

MAX_CHANGES = 8
MAX_VALUE_CHARS = 60
MAX_VALUE_BYTES = 1 << 20


class HistoryEntry(msgspec.Struct, frozen=True, array_like=True):
    """Who changed what and when.

    Attributes
    ----------
    version : int
        The store's version of the document; 0 while it is not known.
    base : int
        The version that the operator saw.
    at : float
        Seconds since the epoch, by the clock of the entry that wrote it.
    writer : str
        Id of the proposal, by which a writer finds its own.
    changes : tuple of Change
        At first the first ``MAX_CHANGES``, with long values cut; none once they
        had to make room.
    total : int
        How many changes there were.
    """

    version: int
    base: int
    at: float
    operator: str
    writer: str
    changes: tuple[Change, ...]
    total: int


class Record(Document, frozen=True, kw_only=True):
    """A document and its place in the history.

    Attributes
    ----------
    number : int
        How many documents were accepted before it.
    """

    number: int = 0
    base: int = 0
    at: float = 0.0
    operator: str = ""
    writer: str = ""
    changes: tuple[Change, ...] = ()
    total: int = 0

    def to_document(self) -> Document:
        """Return the document alone."""
        names = Document.__struct_fields__
        return Document(**{name: getattr(self, name) for name in names})

    def to_entry(self, version: int) -> HistoryEntry:
        """Return its entry of the history."""
        return HistoryEntry(
            version,
            self.base,
            self.at,
            self.operator,
            self.writer,
            self.changes,
            self.total,
        )


_decoder = msgspec.msgpack.Decoder(Record)


def make_record(document: Document, entry: HistoryEntry, number: int) -> Record:
    """Return the record of a document; its changes are cut to the bound."""
    parts = {name: getattr(document, name) for name in Document.__struct_fields__}
    return Record(
        **parts,
        number=number,
        base=entry.base,
        at=entry.at,
        operator=entry.operator,
        writer=entry.writer,
        changes=tuple(map(_cut, entry.changes[:MAX_CHANGES])),
        total=entry.total,
    )


def encode_record(record: Record) -> bytes:
    """Return the value for the store.

    Raises
    ------
    DocumentError
        If it is more than the store takes.
    """
    data = encode_document(record)
    if len(data) > MAX_VALUE_BYTES:
        problem = f"has {len(data)} bytes when encoded, over {MAX_VALUE_BYTES}"
        raise DocumentError((Problem("", f"the document {problem}"),), step="encode")
    return data


def decode_record(data: bytes) -> Record:
    """Return the record of the store's value; raises msgspec.DecodeError."""
    return decode_nested(_decoder, decode_bytes(data))


def _cut(change: Change) -> Change:
    return Change(change.place, _shorten(change.before), _shorten(change.after))


def _shorten(text: str) -> str:
    return text if len(text) <= MAX_VALUE_CHARS else f"{text[: MAX_VALUE_CHARS - 3]}..."
