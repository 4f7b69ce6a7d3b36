"""Stages of routes of every kind: inputs, their renewal and their release."""

import asyncio
from itertools import chain

import msgspec
import pytest

from lagoontide.http1.messages import Response, field_value
from lagoontide.platform.fields import INPUTS, NOT_RUN, REQUEST_ID
from lagoontide.platform.standins.deployment import (
    make_configuration,
    send,
    start_deployment,
)
from lagoontide.platform.standins.runs import SilentAt, TargetFault
from lagoontide.platform.standins.targets import TargetStandin
from tests.support.waiting import wait_for

KINDS = {
    "safe": {"kind": "safe", "service": "plain", "max_attempts": 2},
    "unsafe": {"kind": "unsafe", "service": "plain"},
    "stream": {"kind": "stream", "service": "engine"},
    "resumable": {
        "kind": "stream",
        "service": "engine",
        "resume_streams": True,
        "max_attempts": 2,
    },
}
STAGES = [
    {"service": "stage", "after": [], "bytes": 1000},
    {"service": "stage", "after": [0], "bytes": 1000},
]
PIECES = 3
NO_PIECES = [(b"X-Lagoontide-Pieces", b"0,0"), (b"X-Lagoontide-Piece-Key", b"key")]
FIELDS = [(b"X-Lagoontide-Pieces", b"2,3"), (b"X-Lagoontide-Piece-Key", b"key")]


def make_routes(kind, **changes):
    """Return the routes of the deployment, and one of a kind with stages."""
    others = msgspec.json.decode(make_configuration(1))["routes"]
    base = {"name": "new", "host": "a.example", "prefix": "/new/", "timeout_ms": 2000}
    base |= {"target_latency_ms": 300, "gap_target_ms": 100, "stages": STAGES}
    return [*others, base | KINDS[kind] | changes]


async def configure(small, version, routes):
    small.configure(version, routes=routes)
    state = small.gateways[0].state
    await wait_for(lambda: state.route_table.version == version)


def run(scenario, kind, **changes):
    async def main():
        async with start_deployment() as small:
            await configure(small, 2, make_routes(kind, **changes))
            await scenario(small)

    asyncio.run(main())


def targets_of(small, kind):
    return small.targets_of(KINDS[kind]["service"])


def runs_of(small, kind):
    logs = chain.from_iterable(target.log for target in targets_of(small, kind))
    return sorted(logs, key=lambda item: item.at)


def inputs_of(small, item):
    """Return the request, stage and piece that each input of a run belongs to."""
    made = {}
    for target in small.targets_of("stage"):
        made |= target.pieces_by_handle
    return sorted(made[handle] for handle in item.inputs)


def whole_inputs(request_id):
    return [(request_id, 1, number) for number in range(PIECES)]


def stored(small):
    return set().union(*(item.result_handles for item in small.targets_of("stage")))


# Guards against requests that run without the results of their route's stages, as only
# streams were given any (MIXED).
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("history", ["added", "gains stages", "changes its kind"])
def test_request_runs_with_all_of_its_inputs_whatever_the_kind_of_its_route(
    kind, history
):
    async def scenario():
        async with start_deployment() as small:
            if history == "gains stages":
                await configure(small, 2, make_routes(kind, stages=[]))
            elif history == "changes its kind":
                await configure(
                    small, 2, make_routes("unsafe" if kind == "stream" else "stream")
                )
            await configure(small, 3, make_routes(kind))
            answer = await send(small.ports[0], "/new/a", "r1", extra=FIELDS)
            assert answer.status == 200
            (only,) = runs_of(small, kind)
            assert inputs_of(small, only) == whole_inputs("r1")
            await wait_for(lambda: not stored(small))

    asyncio.run(scenario())


def lose_results_once(monkeypatch, service):
    """Let the first target of a service that is asked find its inputs gone."""
    lost = []

    async def refuse_or_serve(target, req, reply):
        handles = field_value(req.head.fields, INPUTS.lower())
        if target.service != service or lost or not handles:
            await serve(target, req, reply)
            return
        lost.extend(handles.decode().split(","))
        request_id = field_value(req.head.fields, REQUEST_ID.lower())
        await reply.send(Response(409, [(REQUEST_ID, request_id), (NOT_RUN, b"1")]))

    serve = TargetStandin._serve
    monkeypatch.setattr(TargetStandin, "_serve", refuse_or_serve)
    return lost


# Guards against requests that are rejected, as a target finds their inputs gone and
# only those of streams were made again.
@pytest.mark.parametrize("kind", KINDS)
def test_inputs_that_are_gone_are_made_again_whatever_the_kind(monkeypatch, kind):
    async def scenario(small):
        lost = lose_results_once(monkeypatch, KINDS[kind]["service"])
        answer = await send(small.ports[0], "/new/a", "r1", extra=FIELDS)
        assert answer.status == 200
        (only,) = runs_of(small, kind)
        assert len(lost) == PIECES
        assert not set(lost) & set(only.inputs)
        assert inputs_of(small, only) == whole_inputs("r1")
        await wait_for(lambda: not stored(small))

    run(scenario, kind)


# Guards against a second attempt without inputs, or with inputs that were released.
@pytest.mark.parametrize("fault", [TargetFault.RUNS_AND_CUTS, TargetFault.FAILS])
def test_second_attempt_of_a_safe_request_runs_with_all_of_its_inputs(fault):
    async def scenario(small):
        target = targets_of(small, "safe")[0]
        for number in range(1, 7):
            target.fault, target.faults_left = fault, 1
            request_id = f"r{number}"
            answer = await send(small.ports[0], "/new/a", request_id, extra=FIELDS)
            assert answer.status == 200
            for item in runs_of(small, "safe"):
                if item.request_id == request_id:
                    assert inputs_of(small, item) == whole_inputs(request_id)
        assert len(runs_of(small, "safe")) > 6
        await wait_for(lambda: not stored(small))

    run(scenario, "safe")


# Guards against an answer that is replaced by a refusal, as the inputs of a second
# attempt cannot be made.
def test_failure_is_passed_on_if_inputs_cannot_be_made_again(monkeypatch):
    async def scenario(small):
        for target in targets_of(small, "safe"):
            # It takes longer than the inputs are kept for.
            target.work, target.fault, target.faults_left = 0.2, TargetFault.FAILS, 1
        asked = asyncio.ensure_future(
            send(small.ports[0], "/new/a", "r1", extra=FIELDS, deadline_ms=5000)
        )
        await wait_for(lambda: runs_of(small, "safe"))
        monkeypatch.setattr(
            TargetStandin, "_run_piece", lambda target, item: {"reason": "error"}
        )
        assert (await asked).status == 500
        assert len(runs_of(small, "safe")) == 1

    run(scenario, "safe", timeout_ms=5000, target_latency_ms=1000)


# Guards against safe requests that leave a silent target without inputs for the next.
def test_safe_request_leaves_its_silent_target_once_its_inputs_are_made_again():
    async def scenario(small):
        for target in targets_of(small, "safe"):
            target.fault, target.faults_left, target.silence = (
                TargetFault.SILENT,
                1,
                3600.0,
            )
        asked = asyncio.ensure_future(
            send(small.ports[0], "/new/a", "r1", extra=FIELDS, deadline_ms=5000)
        )
        await wait_for(lambda: runs_of(small, "safe"))
        for target in targets_of(small, "safe"):
            target.faults_left = 0
        assert (await asked).status == 200
        first, second = runs_of(small, "safe")
        assert not set(first.inputs) & set(second.inputs)
        assert inputs_of(small, second) == whole_inputs("r1")

    run(scenario, "safe", timeout_ms=5000)


# Guards against requests that wait for stages of which they have no pieces.
@pytest.mark.parametrize("kind", KINDS)
def test_request_without_pieces_runs_without_inputs(kind):
    async def scenario(small):
        answer = await send(small.ports[0], "/new/a", "r1", extra=NO_PIECES)
        assert answer.status == 200
        assert [item.inputs for item in runs_of(small, kind)] == [()]
        assert not any(target.calls for target in small.targets_of("stage"))

    run(scenario, kind)


# Guards against requests that run with only some of their inputs, as their caller and
# this entry know different versions of the configuration (MIXED).
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("counts", [b"2", b"2,3,1"])
def test_request_does_not_run_with_pieces_of_other_stages_than_those_of_its_route(
    kind, counts
):
    async def scenario(small):
        extra = [(b"X-Lagoontide-Pieces", counts), FIELDS[1]]
        answer = await send(small.ports[0], "/new/a", "r1", extra=extra)
        assert answer.status == 503
        assert field_value(answer.fields, b"retry-after")
        assert not runs_of(small, kind)
        assert not any(target.calls for target in small.targets_of("stage"))

    run(scenario, kind)


# Guards against requests that are refused for naming pieces while their route has no
# stages, or that run without inputs once it has.
@pytest.mark.parametrize("kind", KINDS)
def test_request_with_pieces_runs_without_inputs_until_its_route_has_stages(kind):
    async def scenario(small):
        answer = await send(small.ports[0], "/new/a", "r1", extra=FIELDS)
        assert answer.status == 200
        await configure(small, 3, make_routes(kind))
        answer = await send(small.ports[0], "/new/a", "r2", extra=FIELDS)
        assert answer.status == 200
        first, second = runs_of(small, kind)
        assert first.inputs == ()
        assert inputs_of(small, second) == whole_inputs("r2")

    run(scenario, kind, stages=[])


# Guards against requests that are held until their deadline, as a stage names a service
# that runs no pieces.
def test_request_whose_stage_runs_nowhere_is_refused_at_once():
    async def scenario(small):
        asked = send(small.ports[0], "/new/a", "r1", extra=FIELDS, deadline_ms=5000)
        async with asyncio.timeout(1.0):
            answer = await asked
        assert answer.status == 503
        assert b"runs no pieces" in answer.body

    run(scenario, "safe", stages=[STAGES[0] | {"service": "plain"}, STAGES[1]])


async def end_by_refusal(small, kind):
    for target in targets_of(small, kind):
        target.fault, target.faults_left = TargetFault.FULL, 100
    answer = await send(small.ports[0], "/new/a", "r1", extra=FIELDS)
    assert answer.status == 503


async def end_at_deadline(small, kind):
    for target in targets_of(small, kind):
        target.fault, target.faults_left = TargetFault.SILENT, 100
        target.silence, target.silent_at = 3600.0, SilentAt.HEAD
    answer = await send(small.ports[0], "/new/a", "r1", extra=FIELDS, deadline_ms=700)
    assert answer.status == 504


async def end_by_the_caller(small, kind):
    for target in targets_of(small, kind):
        target.work = 3600.0
    asked = asyncio.ensure_future(
        send(small.ports[0], "/new/a", "r1", extra=FIELDS, deadline_ms=5000)
    )
    await wait_for(lambda: runs_of(small, kind))
    asked.cancel()
    await wait_for(lambda: not small.gateways[0].callers.in_flight)


async def end_in_a_stage(small, kind):
    """End as the caller leaves while the last stage is at work."""
    asked = asyncio.ensure_future(
        send(small.ports[0], "/new/a", "r1", extra=FIELDS, deadline_ms=5000)
    )
    stages = small.targets_of("stage")
    await wait_for(lambda: any(item.calls for item in stages))
    for target in stages:
        target.work = 0.3
    await wait_for(lambda: sum(len(item.calls) for item in stages) > 1)
    asked.cancel()
    await wait_for(lambda: not small.gateways[0].callers.in_flight)


async def end_by_a_stop(small, kind):
    for target in targets_of(small, kind):
        target.work = 3600.0
    asked = asyncio.ensure_future(
        send(small.ports[0], "/new/a", "r1", extra=FIELDS, deadline_ms=5000)
    )
    await wait_for(lambda: runs_of(small, kind))
    now = asyncio.get_running_loop().time()
    small.gateways[0].forwarder.set_drain_deadline(now)
    assert (await asked).status == 504


ENDS = [
    end_by_refusal,
    end_at_deadline,
    end_by_the_caller,
    end_in_a_stage,
    end_by_a_stop,
]


# Guards against results that occupy stage targets after their request has ended.
@pytest.mark.parametrize("kind", ["unsafe", "safe", "stream"])
@pytest.mark.parametrize("end", ENDS)
def test_results_are_freed_however_a_request_ends(end, kind):
    async def scenario(small):
        await end(small, kind)
        made = sum(len(item.pieces_by_handle) for item in small.targets_of("stage"))
        assert made or end is end_in_a_stage
        await asyncio.sleep(0.5)
        await wait_for(lambda: not stored(small))
        assert not small.gateways[0].demand.own()

    run(scenario, kind, timeout_ms=5000)
