"""Decoders take any bytes and answer with a message or a WireError."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from lagoontide.dispatch.messages import Call, Settle, digest, is_whole
from lagoontide.errors import WireError
from lagoontide.protocol import make_protocol_codec
from lagoontide.wire.codec import Header

CODEC = make_protocol_codec()
HEADER = Header("entry-1", 7, 3)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.binary(max_size=64), max_size=4))
def test_rubbish_is_a_wire_error(frames):
    try:
        header, message = CODEC.decode(frames)
    except WireError:
        return
    assert isinstance(header, Header)
    assert isinstance(message, msgspec.Struct)


@settings(derandomize=True, deadline=None)
@given(attempt=st.text(max_size=40), cut=st.integers(min_value=1, max_value=20))
def test_a_cut_message_is_a_wire_error(attempt, cut):
    first, second = CODEC.encode(HEADER, Settle(attempt, "incarnation"))
    with pytest.raises(WireError):
        CODEC.decode([first, second[:-cut]])


@settings(derandomize=True, deadline=None)
@given(body=st.binary(min_size=1, max_size=200), at=st.integers(min_value=0))
def test_a_changed_body_is_noticed(body, at):
    call = Call(
        attempt="a",
        request="r",
        stage="s",
        incarnation="i",
        operation="o",
        account="c",
        weight=1.0,
        priority="normal",
        budget=1.0,
        repeatable=True,
        streams=False,
        body=body,
        digest=digest(body),
    )
    header, same = CODEC.decode(CODEC.encode(HEADER, call))
    assert header == HEADER
    assert is_whole(same)
    index = at % len(body)
    changed = body[:index] + bytes([body[index] ^ 1]) + body[index + 1 :]
    assert not is_whole(msgspec.structs.replace(same, body=changed))
