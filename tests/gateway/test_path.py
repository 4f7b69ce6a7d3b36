"""End-to-end requests through entries, with a stand-in store and stand-in targets."""

import asyncio

import msgspec
import pytest

from lagoontide.http1.client import InvalidResponse
from lagoontide.http1.messages import field_value
from lagoontide.http1.tcp import connect_tcp
from lagoontide.mesh.registration import ENTRIES_PREFIX
from lagoontide.platform.standins.deployment import (
    make_configuration,
    send,
    start_deployment,
)
from lagoontide.platform.standins.runs import TargetFault
from lagoontide.platform.standins.store import StoreFault
from tests.support.waiting import wait_for

GRACE_PERIOD_S = 3.0


def run_scenario(scenario, entries=1):
    """Run a scenario against a small deployment."""

    async def main():
        async with start_deployment(entries) as small:
            await scenario(small)

    asyncio.run(main())


def runs(small, request_id):
    return sum(target.runs[request_id] for target in small.targets)


def set_fault(small, service, fault, times=1):
    for target in small.targets_of(service):
        target.fault, target.faults_left = fault, times


def test_answer_is_forwarded_with_seal_and_body():
    async def scenario(small):
        answer = await send(small.ports[0], "/safe/a?b=c", "r1", body=b"hello")
        assert (answer.status, answer.body) == (200, b"done:hello")
        assert field_value(answer.fields, b"x-lagoontide-response-seal")
        target = next(item for item in small.targets if item.received_requests)
        seen = target.received_requests[0].head
        assert seen.path == b"/safe/a?b=c"
        assert field_value(seen.fields, b"x-lagoontide-tenant") == b"first"
        assert field_value(seen.fields, b"authorization") is None
        assert 0 < int(field_value(seen.fields, b"x-lagoontide-deadline-ms")) <= 2000

    run_scenario(scenario)


def test_internal_header_fields_of_callers_are_removed():
    async def scenario(small):
        extra = [(b"X-Lagoontide-Tenant", b"other"), (b"X-Lagoontide-Kv-Hold", b"7")]
        extra.append((b"X-Own", b"kept"))
        await send(small.ports[0], "/safe/a", "r1", extra=extra)
        target = next(item for item in small.targets if item.received_requests)
        fields = target.received_requests[0].head.fields
        assert field_value(fields, b"x-lagoontide-tenant") == b"first"
        assert field_value(fields, b"x-lagoontide-kv-hold") is None
        assert (b"X-Own", b"kept") in fields

    run_scenario(scenario)


def test_unknown_key_and_unknown_route_are_rejected_without_a_run():
    async def scenario(small):
        bad_key = [(b"Authorization", b"Bearer nobody")]
        answer = await send(small.ports[0], "/safe/a", "r1", extra=bad_key)
        assert answer.status == 400  # A duplicate Authorization field is ambiguous.
        small.configure(2, tenants=[{"name": "x", "api_keys": ["other"]}])
        await wait_for(lambda: small.gateways[0].state.route_table.version == 2)
        assert (await send(small.ports[0], "/safe/a", "r2")).status == 401
        assert (await send(small.ports[0], "/nowhere/a", "r3")).status == 404
        assert not any(target.runs for target in small.targets)

    run_scenario(scenario)


def test_unsafe_request_is_not_retried_after_a_lost_answer():
    async def scenario(small):
        set_fault(small, "plain", TargetFault.RUNS_AND_CUTS)
        answer = await send(small.ports[0], "/once/a", "r1")
        assert answer.status == 502
        assert runs(small, "r1") == 1

    run_scenario(scenario)


def test_safe_request_is_retried_on_another_target_after_a_lost_answer():
    async def scenario(small):
        small.targets_of("plain")[0].fault = TargetFault.RUNS_AND_CUTS
        for number in range(6):
            small.targets_of("plain")[0].faults_left = 1
            assert (await send(small.ports[0], "/safe/a", f"r{number}")).status == 200

    run_scenario(scenario)


def test_not_run_is_reported_only_when_no_target_ran_the_request():
    async def scenario(small):
        set_fault(small, "plain", TargetFault.FULL, times=10)
        answer = await send(small.ports[0], "/once/a", "r1")
        assert answer.status == 503
        assert float(field_value(answer.fields, b"retry-after")) > 0
        assert runs(small, "r1") == 0

    run_scenario(scenario)


def test_full_target_is_skipped():
    async def scenario(small):
        for target in small.targets_of("plain")[:2]:
            target.fault, target.faults_left = TargetFault.FULL, 5
        assert (await send(small.ports[0], "/once/a", "r1")).status == 200
        assert runs(small, "r1") == 1

    run_scenario(scenario)


def test_success_without_a_seal_is_not_forwarded():
    async def scenario(small):
        set_fault(small, "plain", TargetFault.NO_SEAL)
        assert (await send(small.ports[0], "/once/a", "r1")).status == 502

    run_scenario(scenario)


def test_extra_answer_never_reaches_the_next_request():
    async def scenario(small):
        set_fault(small, "plain", TargetFault.EXTRA_ANSWER, times=3)
        for number in range(9):
            body = f"b{number}".encode()
            answer = await send(small.ports[0], "/safe/a", f"r{number}", body=body)
            assert answer.body == b"done:" + body

    run_scenario(scenario)


def events(answer):
    return [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]


@pytest.mark.parametrize("fault", [TargetFault.RUNS_AND_CUTS, TargetFault.STALLS])
def test_broken_stream_resumes_on_another_target_without_gap_or_duplicate(fault):
    async def scenario(small):
        for target in small.targets_of("engine"):
            target.fault, target.faults_left = fault, 1
        small.targets_of("engine")[1].faults_left = 0
        found = set()
        for number in range(8):
            small.targets_of("engine")[0].faults_left = 1
            answer = await send(
                small.ports[0], "/events/a", f"r{number}", deadline_ms=8000
            )
            assert events(answer) == [b"id: %d" % n for n in range(1, 7)]
            found.add(runs(small, f"r{number}"))
        assert 2 in found

    run_scenario(scenario)


# Guards against streams that are not continued as their ids increase by more than one.
def test_broken_stream_with_steps_between_its_ids_is_resumed_whole():
    async def scenario(small):
        for target in small.targets_of("engine"):
            target.id_step = 4
        found = set()
        for number in range(8):
            small.targets_of("engine")[0].fault = TargetFault.RUNS_AND_CUTS
            small.targets_of("engine")[0].faults_left = 1
            answer = await send(small.ports[0], "/events/a", f"r{number}")
            assert events(answer) == [b"id: %d" % n for n in range(4, 25, 4)]
            found.add(runs(small, f"r{number}"))
        assert 2 in found
        extra = [(b"Last-Event-Id", b"8")]
        answer = await send(small.ports[0], "/events/a", "again", extra=extra)
        assert events(answer) == [b"id: %d" % n for n in range(12, 25, 4)]

    run_scenario(scenario)


def test_broken_stream_without_resume_is_cut_off():
    async def scenario(small):
        set_fault(small, "engine", TargetFault.RUNS_AND_CUTS, times=2)
        small.configure(2, routes=[_unresumable_route()])
        await wait_for(lambda: small.gateways[0].state.route_table.version == 2)
        with pytest.raises((InvalidResponse, ConnectionError)):
            await send(small.ports[0], "/events/a", "r1")
        assert runs(small, "r1") == 1

    run_scenario(scenario)


def test_broken_stream_without_event_ids_is_not_resumed():
    async def scenario(small):
        for target in small.targets_of("engine"):
            target.fault, target.faults_left = TargetFault.RUNS_AND_CUTS, 1
            target.sends_event_ids = False
        with pytest.raises((InvalidResponse, ConnectionError)):
            await send(small.ports[0], "/events/a", "r1")
        assert runs(small, "r1") == 1

    run_scenario(scenario)


def _unresumable_route():
    return {
        "name": "events",
        "host": "a.example",
        "prefix": "/events/",
        "kind": "stream",
        "service": "engine",
        "timeout_ms": 2000,
    }


async def lengthen_stage_calls(small):
    """Let calls of stages take long, so that none is late on a busy machine.

    The pieces of a late call are made at another target as well.
    """
    body = msgspec.json.decode(make_configuration(2))
    for route in body["routes"]:
        route |= {"timeout_ms": 20_000, "target_latency_ms": 20_000}
    for service in body["services"]:
        if "pieces" in service:
            service["pieces"]["call_ms"] = 1000
    small.configure(2, routes=body["routes"], services=body["services"])
    await wait_for(
        lambda: all(item.state.route_table.version == 2 for item in small.gateways)
    )


def test_stage_results_are_made_for_the_engine_and_then_freed():
    async def scenario(small):
        await lengthen_stage_calls(small)
        pieces = [(b"X-Lagoontide-Pieces", b"2,3"), (b"X-Lagoontide-Piece-Key", b"k")]
        answers = await asyncio.gather(
            *(
                send(port, "/staged/a", f"r{number}", extra=pieces, deadline_ms=20_000)
                for number, port in enumerate(small.ports * 3)
            )
        )
        assert [len(events(answer)) for answer in answers] == [6] * len(answers)
        made = sum(len(target.runs) for target in small.targets_of("stage"))
        assert made == 5 * len(answers)
        await wait_for(
            lambda: not any(item.result_handles for item in small.targets_of("stage"))
        )

    run_scenario(scenario, entries=2)


def test_caller_disconnect_is_propagated_to_the_target():
    async def scenario(small):
        set_fault(small, "plain", TargetFault.STALLS, times=1)
        task = asyncio.create_task(send(small.ports[0], "/once/a", "r1"))
        await wait_for(lambda: runs(small, "r1") == 1)
        task.cancel()
        await wait_for(
            lambda: any(target.cancelled_requests for target in small.targets)
        )

    run_scenario(scenario)


def test_draining_target_gets_no_new_requests():
    async def scenario(small):
        leaving, *others = small.targets_of("plain")
        leaving.register(small.store, state="draining")
        directory = small.gateways[0].state.directory
        await wait_for(lambda: len(directory.ready("plain")) == len(others))
        for number in range(6):
            assert (await send(small.ports[0], "/safe/a", f"r{number}")).status == 200
        assert not leaving.runs

    run_scenario(scenario)


def test_entry_refused_by_the_store_catches_up_from_its_peer():
    async def scenario(small):
        small.store_endpoints[1].trouble = StoreFault.BUSY
        small.configure(2, tenants=[{"name": "x", "api_keys": ["other"]}])
        small.targets_of("plain")[0].register(small.store, state="draining")
        state = small.gateways[1].state
        await wait_for(lambda: state.route_table.version == 2, seconds=5.0)
        await wait_for(lambda: len(state.directory.ready("plain")) == 2)
        assert (await send(small.ports[1], "/safe/a", "r1")).status == 401

    run_scenario(scenario, entries=2)


BAD_REQUESTS = {
    "content-length with chunked body": (
        b"POST /safe/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b" 400 ",
    ),
    "space before the colon": (
        b"GET /safe/a HTTP/1.1\r\nHost : a.example\r\n\r\n",
        b" 400 ",
    ),
    "two lengths": (
        b"POST /safe/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n"
        b"Content-Length: 4\r\n\r\nabcd",
        b" 400 ",
    ),
    "long head": (
        b"GET /safe/a HTTP/1.1\r\nHost: a.example\r\nX: " + b"y" * 9000 + b"\r\n\r\n",
        b" 431 ",
    ),
    "long body": (
        b"POST /safe/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 70000\r\n\r\n"
        + b"z" * 70000,
        b" 413 ",
    ),
    "no id": (b"GET /safe/a HTTP/1.1\r\nHost: a.example\r\n\r\n", b" 400 "),
    "TLS handshake": (b"\x16\x03\x01\x02\x00\x01\x00\x01\r\n\r\n", b" 400 "),
}


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_malformed_request_gets_an_error_status(name):
    data, status = BAD_REQUESTS[name]

    async def scenario(small):
        tcp = await connect_tcp("127.0.0.1", small.ports[0], 1.0)
        await tcp.write(data)
        answer = b""
        while part := await tcp.read():
            answer += part
            if b"\r\n\r\n" in answer:
                break
        tcp.close()
        assert status in answer.split(b"\r\n")[0] + b" "
        assert not any(target.runs for target in small.targets)
        assert (await send(small.ports[0], "/safe/a", "r1")).status == 200

    run_scenario(scenario)


def test_invalid_store_values_are_ignored():
    async def scenario(small):
        store = small.store
        store.put("servers/odd", b"\xff\x00 not json")
        store.put("servers/odder", b'{"service": 3}')
        store.put("op/config", b'{"version": "none"}')
        store.put("op/other", b"{}")
        gateway = small.gateways[0]
        await wait_for(lambda: gateway.follower.as_of.number == store.revision)
        assert gateway.state.route_table.version == 1
        assert (await send(small.ports[0], "/safe/a", "r1")).status == 200

    run_scenario(scenario)


def test_unregistered_entry_does_not_register_again():
    async def scenario(small):
        registration = small.gateways[0].registration
        await wait_for(lambda: small.store.keys(ENTRIES_PREFIX))
        await registration.unregister()
        assert not small.store.keys(ENTRIES_PREFIX)
        # Run again, as when the next renewal finds the lease gone.
        running = asyncio.create_task(registration.run())
        await asyncio.sleep(0.3)
        assert not small.store.keys(ENTRIES_PREFIX)
        running.cancel()

    run_scenario(scenario)
