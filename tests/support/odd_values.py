"""Values that another writer may store, or another process may send."""

import itertools

import msgspec

DEEP = 3000
ODD_NUMBERS = (
    b"18446744073709551616",
    b"-9223372036854775809",
    b"9" * 400,
    b"9" * 5000,
    b"1e308",
    b"1e999",
    b"-1e308",
    b"0.5",
    b'"nan"',
    b'"Infinity"',
    b"null",
    b"[]",
    b"true",
)
ODD_TEXTS = (
    b'"\\ud800"',
    b'"\xff"',
    b'"\\u0000\\r\\nX-Other: 1"',
    b'"' + b"x" * 100_000 + b'"',
    b"7",
    b"null",
    b'"127.0.0.1:65536"',
    b'"127.0.0.1:0"',
    b'"127.0.0.1:9\\n"',
    b'"no.such.host:9"',
    b'":9"',
    b'"nan"',
)
SHAPELESS = (
    b"",
    b"\x00",
    b"null",
    b"7",
    b"[]",
    b"{}",
    b"\xff\xfe",
    b"[" * DEEP,
    b"[" * DEEP + b"]" * DEEP,
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    b'{"service":"plain","more":' + b'{"more":' * DEEP,
    b"[[" * DEEP,
    b"9" * 5000,
)


def vary(valid):
    """Yield the encodings of an object, each with another odd value in one field.

    Parameters
    ----------
    valid : dict
        A valid object; nested ones are varied as well.
    """
    yield from SHAPELESS
    for path in _paths(valid):
        yield _encode_with(valid, path, b'{"more":' * DEEP + b"1" + b"}" * DEEP)
        for odd in itertools.chain(ODD_NUMBERS, ODD_TEXTS):
            yield _encode_with(valid, path, odd)


def _paths(value, path=()):
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in items:
        yield (*path, key)
        if isinstance(inner, dict | list):
            yield from _paths(inner, (*path, key))


def _encode_with(value, path, odd):
    if not path:
        return odd
    first, *rest = path
    if isinstance(value, dict):
        parts = [
            msgspec.json.encode(key)
            + b":"
            + (_encode_with(inner, rest, odd) if key == first else _encode(inner))
            for key, inner in value.items()
        ]
        return b"{" + b",".join(parts) + b"}"
    parts = [
        _encode_with(inner, rest, odd) if place == first else _encode(inner)
        for place, inner in enumerate(value)
    ]
    return b"[" + b",".join(parts) + b"]"


def _encode(value):
    return msgspec.json.encode(value)
