"""Sound targets that fall silent for a second and go on."""

import asyncio

import pytest

from lagoontide.forward import (
    delivery as delivery_module,
    forwarder,
    selection as selection_module,
    unary as unary_module,
)
from lagoontide.forward.inputs import NoInputs
from lagoontide.http1.server import ResponseWriter
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.runs import SilentAt, TargetFault
from lagoontide.targets.choose import Choice
from lagoontide.targets.rate_shares import RateShares
from tests.support.waiting import wait_for

EVENTS = 6
SILENCE_S = 1.6


def make_silent(small, service, silent_at=SilentAt.BETWEEN):
    for target in small.targets_of(service):
        target.fault, target.faults_left = TargetFault.SILENT, 100
        target.silence, target.silent_at = SILENCE_S, silent_at


def spend_retry_budget(small):
    for gateway in small.gateways:
        gateway.state.budget.set_limits(0.0, 0.0, 10.0)


def remove_other_targets(small, service):
    first, *others = small.targets_of(service)
    for gateway in small.gateways:
        for target in map(gateway.state.directory.get, (item.id for item in others)):
            gateway.state.directory.mark_leaving(target, "test")


LACKS = {
    "no retry budget": lambda small, service: spend_retry_budget(small),
    "no other target": remove_other_targets,
}


async def ask(small, path, service, request_id):
    answer = await send(small.ports[0], path, request_id, deadline_ms=5000)
    runs = sum(target.runs[request_id] for target in small.targets_of(service))
    return answer, runs


def run(scenario):
    async def with_deployment():
        async with start_deployment() as small:
            small.configure(2, **long_timeouts())
            state = small.gateways[0].state
            await wait_for(lambda: state.route_table.version == 2)
            await scenario(small)

    asyncio.run(with_deployment())


def long_timeouts():
    """Return the routes of the deployment, which wait for longer than any silence."""
    plain = {"host": "a.example", "timeout_ms": 5000, "target_latency_ms": 300}
    stream = plain | {"kind": "stream", "service": "engine", "gap_target_ms": 100}
    return {
        "routes": [
            plain
            | {"name": "safe", "prefix": "/safe/", "kind": "safe", "max_attempts": 2}
            | {"service": "plain"},
            stream
            | {"name": "events", "prefix": "/events/", "max_attempts": 2}
            | {"resume_streams": True},
        ]
    }


# Guards against streams that end early as their target is silent for a second and no
# other target may go on with them.
@pytest.mark.parametrize("lack", LACKS)
@pytest.mark.parametrize("silent_at", SilentAt)
def test_stream_waits_for_its_silent_target_if_no_other_may_continue(silent_at, lack):
    async def scenario(small):
        make_silent(small, "engine", silent_at)
        LACKS[lack](small, "engine")
        answer, runs = await ask(small, "/events/a", "engine", "r1")
        ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
        assert (answer.status, runs) == (200, 1)
        assert ids == [b"id: %d" % number for number in range(1, EVENTS + 1)]

    run(scenario)


# Guards against requests that fail as their target is silent for a second and no other
# target may be asked.
@pytest.mark.parametrize("lack", LACKS)
def test_request_waits_for_its_silent_target_if_no_other_may_run_it(lack):
    async def scenario(small):
        make_silent(small, "plain")
        LACKS[lack](small, "plain")
        answer, runs = await ask(small, "/safe/a", "plain", "r1")
        assert (answer.status, answer.body, runs) == (200, b"done:x", 1)

    run(scenario)


# Guards against a reserve that is lost between the timeout of a request and its retry.
def test_requests_do_not_give_up_their_target_for_a_retry_that_others_took():
    async def scenario(small):
        make_silent(small, "plain")
        small.gateways[0].state.budget.set_limits(0.0, 1.25, 10.0)
        answers = await asyncio.gather(
            *(ask(small, "/safe/a", "plain", f"r{number}") for number in range(4))
        )
        assert [answer.status for answer, _ in answers] == [200] * 4
        assert sorted(runs for _, runs in answers) == [1, 1, 1, 2]

    run(scenario)


REFUSALS = (TargetFault.FULL, TargetFault.NONE)


async def refuse_elsewhere(small, service, refusal):
    """Let the targets of a service that run nothing refuse requests or connections."""
    targets = small.targets_of(service)
    await wait_for(lambda: any(target.log for target in targets))
    for target in targets:
        if not target.log:
            target.fault = refusal
            if refusal is TargetFault.NONE:
                await target.close()


# Guards against streams that end early as the target that they move to, from a silent
# one, refuses them (LOST).
@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("silent_at", SilentAt)
def test_stream_goes_on_if_the_successor_of_its_silent_target_refuses(
    silent_at, refusal
):
    async def scenario(small):
        make_silent(small, "engine", silent_at)
        for target in small.targets_of("engine"):
            target.faults_left = 1 if refusal is TargetFault.NONE else 2
        asked = asyncio.ensure_future(ask(small, "/events/a", "engine", "r1"))
        await refuse_elsewhere(small, "engine", refusal)
        answer, runs = await asked
        ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
        assert answer.status == 200
        assert ids == [b"id: %d" % number for number in range(1, EVENTS + 1)]
        assert runs == 2

    run(scenario)


# The same for other requests.
@pytest.mark.parametrize("refusal", REFUSALS)
def test_request_is_answered_if_the_successor_of_its_silent_target_refuses(refusal):
    async def scenario(small):
        make_silent(small, "plain")
        for target in small.targets_of("plain"):
            target.faults_left = 1
        asked = asyncio.ensure_future(ask(small, "/safe/a", "plain", "r1"))
        await refuse_elsewhere(small, "plain", refusal)
        answer, runs = await asked
        assert (answer.status, answer.body, runs) == (200, b"done:x", 2)

    run(scenario)


# Guards against a sound target that is given up as its caller reads slowly, and against
# events that come twice then.
def test_stream_of_a_slow_caller_stays_at_its_target(monkeypatch):
    sending = []
    send_data = ResponseWriter.send_data

    async def send_slowly(reply, data):
        # Targets use the same class; their events have no caller to wait for.
        if not reply.is_target and data.startswith(b"id: 2\n"):
            sending.append(data)
            await asyncio.sleep(SILENCE_S)
        await send_data(reply, data)

    async def scenario(small):
        listener = small.gateways[0].callers
        handle = listener._handle

        async def handle_slowly(req, reply):
            reply.is_target = False
            await handle(req, reply)

        monkeypatch.setattr(listener, "_handle", handle_slowly)
        answer, runs = await ask(small, "/events/a", "engine", "r1")
        ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: %d" % number for number in range(1, EVENTS + 1)]
        assert (len(sending), runs) == (1, 1)

    monkeypatch.setattr(ResponseWriter, "is_target", True, raising=False)
    monkeypatch.setattr(ResponseWriter, "send_data", send_slowly)
    run(scenario)


# Guards against retry budget that is lost for good with each caller that leaves before
# its request is sent to the successor of a silent target.
def test_successor_of_a_request_that_is_not_sent_there_is_given_back(monkeypatch):
    async def hang(*args):
        await asyncio.Event().wait()

    async def scenario(small):
        make_silent(small, "plain")
        budget, targets = small.gateways[0].state.budget, small.targets_of("plain")
        asked = asyncio.ensure_future(ask(small, "/safe/a", "plain", "r1"))
        await wait_for(lambda: any(target.log for target in targets))
        left = budget.left("plain")
        monkeypatch.setattr(unary_module, "start_attempt", hang)
        await wait_for(lambda: budget.left("plain") < left)
        await asyncio.sleep(0.05)
        asked.cancel()
        await wait_for(lambda: not small.gateways[0].callers.in_flight)
        assert budget.left("plain") == left

    run(scenario)


# The same for a turn that a request has waited for.
def test_turn_of_a_request_that_is_not_sent_is_given_back(monkeypatch):
    reached, refunded = [], []

    async def wait_for_turn(state, call, tried):
        target = state.directory.ready(call.service)[0]
        return Choice(target, 0.0, "turn", has_turn=True)

    async def hang(state, call, target, options):
        reached.append(options.has_turn)
        await asyncio.Event().wait()

    async def scenario(small):
        monkeypatch.setattr(selection_module, "candidates", lambda *args: [])
        monkeypatch.setattr(delivery_module, "wait_for_turn", wait_for_turn)
        monkeypatch.setattr(unary_module, "start_attempt", hang)
        monkeypatch.setattr(
            RateShares, "refund", lambda shares, target: refunded.append(target.id)
        )
        asked = asyncio.ensure_future(ask(small, "/safe/a", "plain", "r1"))
        await wait_for(lambda: reached)
        asked.cancel()
        await wait_for(lambda: not small.gateways[0].callers.in_flight)
        assert (reached, len(refunded)) == ([True], 1)

    run(scenario)


class InputsGoneLater(NoInputs):
    """Inputs that are not ready for a second target."""

    def __init__(self):
        super().__init__()
        self.asked = 0

    async def ready(self):
        self.asked += 1
        if self.asked > 1:
            await asyncio.Event().wait()
        return ()


# Guards against retry budget and turns that are lost with each stream that ends
# between its handover and its next send.
def test_successor_is_given_back_if_the_request_ends_before_it_is_sent(monkeypatch):
    monkeypatch.setattr(forwarder, "NoInputs", InputsGoneLater)

    async def scenario(small):
        make_silent(small, "engine", SilentAt.HEAD)
        budget = small.gateways[0].state.budget
        budget.set_limits(0.0, 5.0, 60.0)
        before = budget.left("engine")
        answer = await send(small.ports[0], "/events/a", "r1", deadline_ms=2000)
        assert answer.status == 504
        assert budget.left("engine") == before

    run(scenario)
