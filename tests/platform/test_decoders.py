"""Decoders of the platform's data accept valid input and reject malformed bytes."""

import msgspec
import pytest
from hypothesis import given, strategies as st

from lagoontide.errors import SettingsError, WireError
from lagoontide.forward.fields import ForwardMetadata, InvalidField, PromptPart
from lagoontide.http1.messages import RequestHead, ResponseHead, field_value
from lagoontide.platform.configuration import decode_config
from lagoontide.platform.directory import decode_target, target_id
from lagoontide.platform.fields import PlatformFieldCodec
from lagoontide.platform.settings import load_platform_settings
from lagoontide.platform.standins.deployment import make_configuration
from lagoontide.routes.records import RouteKind
from lagoontide.targets.records import TargetState

FIELD_CODEC = PlatformFieldCodec()
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["version", "routes", "services", "tenants", "limits", "name"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=10,
)


@given(st.binary(max_size=100) | JSON.map(msgspec.json.encode))
def test_arbitrary_configuration_decodes_or_raises_wire_error(value):
    try:
        decode_config(value)
    except WireError as exc:
        assert exc.step == "configuration"


def test_configuration_fields_are_decoded():
    config = decode_config(make_configuration(7))
    events = next(route for route in config.routes if route.name == "events")
    assert (config.version, events.kind, events.is_resumable) == (
        7,
        RouteKind.STREAM,
        True,
    )
    assert events.objective == 0.3
    assert events.max_event_gap == 0.1
    assert config.services["stage"].piece_settings.result_memory_bytes == 1e6
    assert config.accounts[0].keys == {"key-one"}


def configuration_with_stages(*after):
    value = msgspec.json.decode(make_configuration(7))
    value["routes"][0]["stages"] = [{"service": "stage", "after": x} for x in after]
    return msgspec.json.encode(value)


# Guards against a version that is applied although each request of a route would fail,
# as its stages need stages that are not there, or each other.
@pytest.mark.parametrize("after", [([0],), ([], [2]), ([-1], []), ([1], [0])])
def test_stages_that_are_no_acyclic_graph_are_malformed(after):
    with pytest.raises(WireError, match="route 'safe'"):
        decode_config(configuration_with_stages(*after))


# Guards against pieces that are given an input twice (MIXED).
def test_stage_that_is_named_twice_gives_its_results_once():
    config = decode_config(configuration_with_stages([], [0, 0]))
    assert [stage.after for stage in config.routes[0].stages] == [(), (0,)]


def test_unknown_configuration_fields_are_ignored():
    config = decode_config(make_configuration(7, surprise={"a": 1}))
    assert config.version == 7


@given(st.binary(max_size=100) | JSON.map(msgspec.json.encode))
def test_arbitrary_target_registration_raises_wire_error(value):
    with pytest.raises(WireError):
        decode_target("i-1", value, 3)


REGISTRATION = {
    "service": "s",
    "address": "1.2.3.4:5",
    "zone": "z",
    "state": "draining",
    "version": "v1.2",
    "slots": 8,
    "cold_left_ms": 250,
    "seq": 4,
}


# Guards against a target that an entry of another writer names, which lacks a field or
# has one of another type (ROUTE).
@pytest.mark.parametrize("field", REGISTRATION)
@pytest.mark.parametrize("change", ["missing", None, [], {}, True, "other type"])
def test_registration_names_a_target_only_with_each_field_as_it_should_be(
    field, change
):
    entry = dict(REGISTRATION)
    if change == "missing":
        del entry[field]
    elif change == "other type":
        entry[field] = 3 if isinstance(entry[field], str) else "3"
    else:
        entry[field] = change
    with pytest.raises(WireError):
        decode_target("i-1", msgspec.json.encode(entry), 3)


@pytest.mark.parametrize("field", ["slots", "seq", "born"])
def test_registration_with_a_negative_count_names_no_target(field):
    with pytest.raises(WireError):
        decode_target("i-1", msgspec.json.encode(REGISTRATION | {field: -1}), 3)


@pytest.mark.parametrize("version", [None, 3, ["v1"]])
def test_registration_without_a_readable_version_raises_wire_error(version):
    without = {key: REGISTRATION[key] for key in REGISTRATION if key != "version"}
    with pytest.raises(WireError):
        decode_target("i-1", msgspec.json.encode(without), 3)
    with pytest.raises(WireError):
        decode_target("i-1", msgspec.json.encode(without | {"version": version}), 3)


def test_target_registration_is_decoded():
    target = decode_target("i-1", msgspec.json.encode(REGISTRATION), 3)
    assert (target.version, target.slots, target.cold_left) == ("v1.2", 8, 0.25)
    assert (target.host, target.port, target.state) == (
        "1.2.3.4",
        5,
        TargetState.LEAVING,
    )
    assert target_id("servers/i-1") == "i-1"
    assert target_id("op/config") is None


FIELD = st.tuples(
    st.sampled_from(
        [
            b"X-Lagoontide-Request-Id",
            b"X-Lagoontide-Deadline-Ms",
            b"X-Lagoontide-Token-Counts",
            b"X-Lagoontide-Prompt-Prefix",
            b"X-Lagoontide-Pieces",
            b"Last-Event-Id",
            b"Authorization",
        ]
    ),
    st.binary(max_size=12),
)


@given(st.lists(FIELD, max_size=6))
def test_arbitrary_request_fields_decode_or_raise_bad_fields(fields):
    try:
        parsed = FIELD_CODEC.decode_request(RequestHead(b"GET", b"/", fields))
    except InvalidField:
        return
    assert parsed.request_id


def test_prompt_parts_keep_their_order():
    fields = [
        (b"X-Lagoontide-Request-Id", b"r"),
        (b"X-Lagoontide-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410"),
        (b"X-Lagoontide-Token-Counts", b"1210,80"),
        (b"X-Lagoontide-Pieces", b"2,0,6"),
    ]
    parsed = FIELD_CODEC.decode_request(RequestHead(b"POST", b"/", fields))
    assert parsed.prompt_parts == (
        PromptPart("5c1e07a2", 800),
        PromptPart("91bd3f06", 410),
    )
    assert (parsed.prompt_tokens, parsed.output_tokens) == (1210, 80)
    assert parsed.piece_counts == (2, 0, 6)


def test_reserved_fields_from_callers_are_replaced():
    fields = [
        (b"X-Lagoontide-Request-Id", b"r"),
        (b"x-lagoontide-tenant", b"forged"),
        (b"X-LAGOONTIDE-PIN-MS", b"4000"),
        (b"Kv-From", b"1.2.3.4:5/6"),
        (b"Connection", b"X-Hop"),
        (b"X-Hop", b"1"),
        (b"Other", b"kept"),
    ]
    metadata = ForwardMetadata(
        time_left=1.5, target="i-1", account="first", inputs=("a/1", "b/2")
    )
    head = FIELD_CODEC.encode_request(RequestHead(b"POST", b"/p", fields), metadata)
    names = [name.lower() for name, _ in head.fields]
    assert b"x-lagoontide-pin-ms" not in names
    assert b"kv-from" not in names
    assert b"x-hop" not in names
    assert (b"Other", b"kept") in head.fields
    assert field_value(head.fields, b"x-lagoontide-tenant") == b"first"
    assert field_value(head.fields, b"x-lagoontide-deadline-ms") == b"1500"
    assert field_value(head.fields, b"x-lagoontide-inputs") == b"a/1,b/2"


@pytest.mark.parametrize(
    ("status", "fields", "has_not_run"),
    [
        (503, [(b"X-Lagoontide-Not-Executed", b"1")], True),
        (421, [(b"X-Lagoontide-Not-Executed", b"1")], True),
        (421, [], False),
        (503, [], False),
        (500, [(b"X-Lagoontide-Response-Seal", b"s")], False),
    ],
)
def test_not_run_requires_the_field(status, fields, has_not_run):
    metadata = FIELD_CODEC.decode_response(ResponseHead(status, fields))
    assert metadata.has_not_run is has_not_run


@pytest.mark.parametrize(
    ("fields", "answered_by"),
    [
        ([], None),
        ([(b"X-Lagoontide-Instance-Id", b" i-2 ")], "i-2"),
        ([(b"X-Lagoontide-Instance-Id", b"")], None),
        ([(b"X-Lagoontide-Instance-Id", b"i-1")] * 2, None),
    ],
)
def test_421_is_misdirected_and_may_name_who_answered(fields, answered_by):
    metadata = FIELD_CODEC.decode_response(ResponseHead(421, fields))
    assert metadata.is_misdirected
    assert metadata.answered_by == answered_by


@pytest.mark.parametrize("status", range(200, 600))
def test_statuses_by_which_callers_repeat_what_may_run_once(status):
    metadata = FIELD_CODEC.decode_response(ResponseHead(status, []))
    assert metadata.promises_not_run is (status in {408, 421, 429, 503})


def test_settings_with_missing_fields_name_the_file(tmp_path):
    path = tmp_path / "boot.json"
    path.write_text('{"node": "n"}')
    with pytest.raises(SettingsError, match=r"boot\.json"):
        load_platform_settings(path)


def test_settings_with_unknown_fields_are_read(tmp_path):
    path = tmp_path / "boot.json"
    data = {
        "node": "front-1",
        "ip": "10.0.0.1",
        "zone": "z1",
        "listen": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
        "port_range": [7740, 7755],
        "platform": {"address": "10.0.0.9:3"},
        "surprise": True,
    }
    path.write_bytes(msgspec.json.encode(data))
    cfg = load_platform_settings(path)
    assert cfg.peers == ("10.0.0.1", 7740)
    assert cfg.failure_domain == "z1"
