"""Values that are nested too deeply are as invalid as any others."""

import msgspec
import pytest

from lagoontide.claims.rows import decode_rows
from lagoontide.configuration.document import decode_document
from lagoontide.configuration.record import decode_record
from lagoontide.logbook.read import parse_line
from lagoontide.spreading.delta import apply_delta

DEPTH = 5000
PACKED = b"\x91" * DEPTH + b"\xc0"
# A struct of msgpack's map with a field that nobody knows.
UNKNOWN_FIELD = b"\x81\xa4more" + PACKED


# Guards against a stored value that ends whoever reads it.
@pytest.mark.parametrize("value", [PACKED, UNKNOWN_FIELD], ids=["list", "field"])
@pytest.mark.parametrize(
    "decode",
    [
        decode_rows,
        decode_document,
        decode_record,
        lambda value: apply_delta(value, value),
    ],
)
def test_nested_value_is_a_decode_error(decode, value):
    with pytest.raises(msgspec.DecodeError):
        decode(value)


def test_nested_line_of_a_log_is_no_line():
    assert parse_line('{"message":' + "[" * DEPTH) is None
