"""Streams with stages whose engine falls silent, and what the handover depends on."""

import asyncio
import collections

import msgspec
import pytest

from lagoontide.forward import stream as stream_module
from lagoontide.forward.guard import Guard
from lagoontide.http1.messages import Response, field_value
from lagoontide.pieces.inputs import StageInputs
from lagoontide.platform.fields import NOT_RUN, REQUEST_ID
from lagoontide.platform.standins.deployment import (
    make_configuration,
    send,
    start_deployment,
)
from lagoontide.platform.standins.runs import SilentAt, TargetFault
from lagoontide.platform.standins.targets import TargetStandin
from lagoontide.targets.rate_shares import RateShares
from tests.support.waiting import wait_for

EVENTS = 6
SILENCE_S = 1.6
DEADLINE_MS = 5000
STAGES_FAIL_S = 0.5
STAGE_FIELDS = [
    (b"X-Lagoontide-Token-Counts", b"1200,%d" % EVENTS),
    (b"X-Lagoontide-Pieces", b"2,2"),
    (b"X-Lagoontide-Piece-Key", b"key"),
]


def make_resumable(small):
    """Return the routes of the deployment; streams with stages may be resumed."""
    routes = msgspec.json.decode(make_configuration(2))["routes"]
    for route in routes:
        route["timeout_ms"] = DEADLINE_MS
        if route["name"] == "staged":
            route |= {"resume_streams": True, "max_attempts": 2}
    return routes


def silence_engines(small, silent_at, count):
    for target in small.targets_of("engine")[:count]:
        target.fault, target.faults_left = TargetFault.SILENT, 1
        target.silence, target.silent_at = SILENCE_S, silent_at


def hang_stages(small):
    for target in small.targets_of("stage"):
        target.work = 3600.0


async def ask_staged(small, beside):
    """Send a request; act once an engine runs it; return its answer and runs."""
    engines = small.targets_of("engine")
    asked = asyncio.ensure_future(
        send(
            small.ports[0],
            "/staged/a",
            "r1",
            extra=STAGE_FIELDS,
            deadline_ms=DEADLINE_MS,
        )
    )
    await wait_for(lambda: asked.done() or any(item.runs["r1"] for item in engines))
    beside(small)
    answer = await asked
    return answer, sum(item.runs["r1"] for item in engines)


def run(scenario):
    async def with_deployment():
        async with start_deployment() as small:
            small.configure(2, routes=make_resumable(small))
            state = small.gateways[0].state
            await wait_for(lambda: state.route_table.version == 2)
            await scenario(small)

    asyncio.run(with_deployment())


def check_whole(answer):
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
    assert answer.status == 200
    assert ids == [b"id: %d" % number for number in range(1, EVENTS + 1)]


# Guards against streams that end early as their engine is silent for a second and the
# inputs of another one cannot be made (LOST).
@pytest.mark.parametrize("silent_at", SilentAt)
def test_stream_stays_at_its_silent_engine_while_inputs_cannot_be_made(silent_at):
    async def scenario(small):
        silence_engines(small, silent_at, count=2)
        answer, runs = await ask_staged(small, hang_stages)
        check_whole(answer)
        assert runs == 1

    run(scenario)


# Guards against streams with stages that never leave an engine that hangs.
@pytest.mark.parametrize("silent_at", SilentAt)
def test_stream_leaves_its_silent_engine_once_inputs_are_made(silent_at):
    async def scenario(small):
        silence_engines(small, silent_at, count=2)
        for target in small.targets_of("engine"):
            target.silence = 3600.0

        def spare_others(small):
            for target in small.targets_of("engine"):
                target.faults_left = 0

        answer, runs = await ask_staged(small, spare_others)
        check_whole(answer)
        assert runs == 2

    run(scenario)


def lose_inputs_at_successor(monkeypatch):
    """Let the successor of a silent engine lack its inputs, and no stage make them.

    Both last for ``STAGES_FAIL_S``, from the first request to the successor.
    """
    failing_until = []

    def lacks_inputs(target):
        if target.service != "engine" or target.fault is TargetFault.SILENT:
            return False
        if not failing_until:
            now = asyncio.get_running_loop().time()
            failing_until.append(now + STAGES_FAIL_S)
            return True
        return False

    def run_piece(target, item):
        now = asyncio.get_running_loop().time()
        if failing_until and now < failing_until[0]:
            return {"reason": "error"}
        return make_piece(target, item)

    async def refuse_or_serve(target, req, reply):
        if not lacks_inputs(target):
            await serve(target, req, reply)
            return
        request_id = field_value(req.head.fields, REQUEST_ID.lower())
        await reply.send(Response(409, [(REQUEST_ID, request_id), (NOT_RUN, b"1")]))

    make_piece, serve = TargetStandin._run_piece, TargetStandin._serve
    monkeypatch.setattr(TargetStandin, "_serve", refuse_or_serve)
    monkeypatch.setattr(TargetStandin, "_run_piece", run_piece)


def spare_idle_engines(small):
    for target in small.targets_of("engine"):
        if not target.log:
            target.fault = TargetFault.NONE


# Guards against streams that end early as the successor of their silent engine lacks
# their inputs, and making them again fails for a moment (LOST).
@pytest.mark.parametrize("silent_at", SilentAt)
def test_stream_goes_on_if_the_inputs_of_its_successor_fail_for_a_moment(
    monkeypatch, silent_at
):
    async def scenario(small):
        silence_engines(small, silent_at, count=2)
        lose_inputs_at_successor(monkeypatch)
        answer, runs = await ask_staged(small, spare_idle_engines)
        check_whole(answer)
        assert runs == 2

    run(scenario)


async def hang(*args, **kwargs):
    await asyncio.Event().wait()


WAITS = {
    "inputs": (StageInputs, "ready"),
    "trial": (Guard, "_admit"),
    "connection": (stream_module, "start_attempt"),
}


# Guards against turns and retry budget that are lost for good with each caller that
# leaves before its request is sent to the successor of a silent engine.
@pytest.mark.parametrize("wait", WAITS)
def test_successor_is_given_back_if_its_request_is_not_sent_there(monkeypatch, wait):
    turns = collections.Counter()

    def count(name):
        inner = getattr(RateShares, name)

        def counted(shares, target):
            turns[target.id] += 1 if name == "charge" else -1
            return inner(shares, target)

        monkeypatch.setattr(RateShares, name, counted)

    async def scenario(small):
        silence_engines(small, SilentAt.HEAD, count=2)
        state, engines = small.gateways[0].state, small.targets_of("engine")
        count("charge")
        count("refund")
        asked = asyncio.ensure_future(
            send(small.ports[0], "/staged/a", "r1", extra=STAGE_FIELDS)
        )
        await wait_for(lambda: any(item.log for item in engines))
        first = next(item.id for item in engines if item.log)
        left = state.budget.left("engine")
        monkeypatch.setattr(*WAITS[wait], hang)
        await wait_for(lambda: state.budget.left("engine") < left)
        await asyncio.sleep(0.05)
        asked.cancel()
        await wait_for(lambda: not small.gateways[0].callers.in_flight)
        assert state.budget.left("engine") == left
        assert [turns[item.id] for item in engines if item.id != first] == [0]

    run(scenario)
