"""What decoders of outside bytes accept can be calculated with and encoded again."""

import os

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from msgspec import inspect

from lagoontide.errors import WireError
from lagoontide.forward.fields import InvalidField
from lagoontide.gateway import store_view
from lagoontide.http1.messages import RequestHead, ResponseHead
from lagoontide.mesh import registration
from lagoontide.mesh.messages import MESSAGES as MESH_MESSAGES
from lagoontide.mesh.turn_loans import MESSAGES as TURN_MESSAGES
from lagoontide.origins import keeper as origins
from lagoontide.origins.messages import MESSAGES as ORIGIN_MESSAGES, Batch
from lagoontide.pieces.messages import MESSAGES as PIECE_MESSAGES
from lagoontide.platform import configuration, directory, pieces, store
from lagoontide.platform.fields import (
    RATE_LIMIT,
    PlatformFieldCodec,
    decode_rate_limit,
)
from lagoontide.quarantine import keeper as quarantine
from lagoontide.quarantine.messages import MESSAGES as QUARANTINE_MESSAGES
from lagoontide.quarantine.records import CrashReport
from lagoontide.store.revision_store import Revision
from lagoontide.wire.codec import make_codec
from tests.support.odd_values import vary

# By hand: FUZZ_EXAMPLES=1000000.
EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "300"))
JSON_TYPES = (
    configuration._Configuration,
    directory._Registration,
    pieces._Report,
    pieces._Results,
    store._Events,
    store._Item,
    store._Lease,
    store._RangePage,
    registration.EntryRecord,
    list[CrashReport],
    Batch,
    origins._Versions,
)
MESSAGES = (
    *MESH_MESSAGES,
    *PIECE_MESSAGES,
    *QUARANTINE_MESSAGES,
    *TURN_MESSAGES,
    *ORIGIN_MESSAGES,
)


def unbounded(node, kinds, place="", seen=()):
    """Yield the places of numbers without bounds in a type."""
    if isinstance(node, kinds) and (node.ge is None and node.gt is None):
        yield place
    if isinstance(node, kinds) and (node.le is None and node.lt is None):
        yield place
    if getattr(node, "cls", None) in seen:
        return
    seen = (*seen, node.cls) if hasattr(node, "cls") else seen
    for field in getattr(node, "fields", ()):
        yield from unbounded(field.type, kinds, f"{place}.{field.name}", seen)
    for name in ("item_type", "key_type", "value_type"):
        if hasattr(node, name):
            yield from unbounded(getattr(node, name), kinds, f"{place}[]", seen)
    inner = (*getattr(node, "item_types", ()), *getattr(node, "types", ()))
    for place_in, part in enumerate(inner):
        yield from unbounded(part, kinds, f"{place}[{place_in}]", seen)


# Guards against numbers that are accepted and end a task where they are used.
@pytest.mark.parametrize("kind", JSON_TYPES, ids=str)
def test_numbers_in_json_are_bounded(kind):
    node = inspect.type_info(kind)
    assert list(unbounded(node, (inspect.IntType, inspect.FloatType))) == []


# Integers in msgpack have at most 64 bits.
@pytest.mark.parametrize("kind", MESSAGES, ids=str)
def test_numbers_in_messages_are_bounded(kind):
    assert list(unbounded(inspect.type_info(kind), inspect.FloatType)) == []


REVISION = Revision(1, 1)


def read_page(value):
    page = store._page_decoder.decode(value)
    return page.as_of, list(store._read_items(page.items, 1))


VALID = {
    "registration": (
        lambda value: directory.decode_target("i-1", value, REVISION),
        {
            "service": "s",
            "address": "1.2.3.4:5",
            "zone": "z",
            "state": "ready",
            "version": "v1",
            "slots": 1,
            "born": 1,
            "cold_left_ms": 1.5,
            "seq": 1,
        },
    ),
    "configuration": (
        configuration.decode_config,
        {
            "version": 1,
            "routes": [
                {
                    "name": "r",
                    "host": "h",
                    "prefix": "/",
                    "kind": "safe",
                    "timeout_ms": 1,
                    "priority": 1,
                    "traffic_split": [{"service": "s", "weight": 1.0}],
                    "stages": [{"service": "s", "after": [0], "bytes": 1.0}],
                }
            ],
            "services": [{"name": "s", "max_conns": 1, "pieces": {"slots": 1}}],
            "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1}],
            "limits": {"max_body_bytes": 1, "idle_timeout_ms": 1.0},
        },
    ),
    "entry": (
        store_view._entry_decoder.decode,
        {"address": "1.2.3.4:5", "capacity": 1.0, "failure_domain": "z"},
    ),
    "quarantine": (quarantine._decoder.decode, [["t", 1, ["a"], ["b"], True, 1.0]]),
    "origins": (origins._batch_decoder.decode, {"s": {"v": ["r"]}}),
    "versions": (origins._versions_decoder.decode, {"s": ["v"]}),
    "listing": (
        read_page,
        {"as_of": 1, "items": [{"key": "k", "revision": 1}], "more_pages": False},
    ),
    "item": (
        lambda value: store._item_decoder.decode(value).to_item(1),
        {"key": "k", "revision": 1, "value": "eA==", "deleted": False},
    ),
    "lease": (store._lease_decoder.decode, {"lease": 1, "ttl_ms": 1.0}),
    "results": (pieces._results_decoder.decode, {"items": [{"handle": "a/1"}]}),
    "report": (
        pieces._report_decoder.decode,
        {"free_mb": 1.0, "busy": False, "queued": 1},
    ),
}


def check(decode, value):
    """Whatever the bytes, there is a result that peers can be sent, or WireError."""
    try:
        result = decode(value)
    except WireError as exc:
        assert len(str(exc)) < 1000
        return
    again = msgspec.msgpack.encode(result)
    msgspec.msgpack.decode(again)
    msgspec.json.encode(result)


@pytest.mark.parametrize("name", VALID)
def test_odd_value_is_decoded_or_a_wire_error(name):
    decode, valid = VALID[name]
    check(decode, msgspec.json.encode(valid))
    for value in vary(valid):
        check(decode, value)


@settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
@given(st.data())
def test_changed_bytes_are_decoded_or_a_wire_error(data):
    decode, valid = VALID[data.draw(st.sampled_from(sorted(VALID)))]
    value = bytearray(msgspec.json.encode(valid))
    for _ in range(data.draw(st.integers(1, 4))):
        begin = data.draw(st.integers(0, len(value)))
        end = data.draw(st.integers(begin, min(begin + 12, len(value))))
        value[begin:end] = data.draw(
            st.binary(max_size=8)
            | st.integers().map(lambda number: b"%d" % number)
            | st.floats().map(lambda number: repr(number).encode())
            | st.sampled_from([b"[" * 2000, b"null", b'"', b"{}", b"1e400", b"\xff"])
        )
    check(decode, bytes(value))


@settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
@given(st.data())
def test_changed_frame_of_a_peer_is_a_message_or_a_wire_error(data):
    codec = make_codec(MESSAGES)
    kind = data.draw(st.sampled_from(MESSAGES))
    length = len(kind.__struct_fields__)
    tree = st.recursive(
        st.none()
        | st.booleans()
        | st.integers(-(2**63), 2**64 - 1)
        | st.floats()
        | st.text(max_size=8)
        | st.sampled_from(["1.2.3.4:5", "x:99999"]),
        lambda inner: st.lists(inner, max_size=4),
        max_leaves=12,
    )
    parts = [data.draw(tree) for _ in range(length)]
    frame = msgspec.msgpack.encode([kind.__struct_config__.tag, *parts])
    head = msgspec.msgpack.encode(data.draw(tree))
    good_head = msgspec.msgpack.encode(["peer", 1, 1])
    for frames in ([good_head, frame], [head, frame], [good_head, b"\x91" * 3000]):
        try:
            header, message = codec.decode(frames)
        except WireError:
            continue
        codec.encode(header, message)


FIELD = st.sampled_from(
    [
        b"X-Lagoontide-Request-Id",
        b"X-Lagoontide-Deadline-Ms",
        b"X-Lagoontide-Token-Counts",
        b"X-Lagoontide-Prompt-Prefix",
        b"X-Lagoontide-Pieces",
        b"X-Lagoontide-Server-Load",
        b"X-Lagoontide-Not-Executed",
        b"X-Lagoontide-Response-Seal",
        b"Last-Event-Id",
        b"Retry-After",
    ]
)
TEXT = st.binary(max_size=12) | st.sampled_from(
    [b"9" * 16, b"9" * 400, b"9" * 5000, b"a:" + b"9" * 5000, b"1," + b"9" * 5000]
)


# Guards against a long number in a field that resets a caller's connection.
@settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
@given(st.lists(st.tuples(FIELD, TEXT), max_size=6), st.integers(100, 599))
def test_fields_are_decoded_or_invalid(fields, status):
    codec = PlatformFieldCodec()
    for decode in (
        lambda: codec.decode_request(RequestHead(b"GET", b"/", fields)),
        lambda: codec.decode_response(ResponseHead(status, fields)),
    ):
        try:
            msgspec.msgpack.encode(decode())
        except InvalidField:
            continue


# Guards against a limit that is ignored for the digits of its fraction.
@pytest.mark.parametrize("text", ["0.30000000000000004", "12", "7." + "0" * 300 + "1"])
def test_fraction_of_any_length_is_read(text):
    fields = [(RATE_LIMIT, text.encode())]
    assert decode_rate_limit(fields) == (float(text), "")
    assert decode_rate_limit([(RATE_LIMIT, b"9" * 16)]) == (None, "9" * 16)
