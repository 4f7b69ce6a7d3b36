"""Forwarding of requests that a model engine answers with an event stream."""

import asyncio
import random

from lagoontide.errors import TargetFailed
from lagoontide.forward.attempt import (
    SendOptions,
    TargetPauses,
    TargetResponse,
    start_attempt,
)
from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.delivery import Choose, deliver
from lagoontide.forward.event_relay import EventRelay, Progress
from lagoontide.forward.handover import StallTimer, until_handover
from lagoontide.forward.inputs import Inputs
from lagoontide.forward.outcome import Answered, EndReason, Outcome, Relayed
from lagoontide.forward.resumption import record_begin, record_end
from lagoontide.forward.selection import is_decode_heavy
from lagoontide.forward.unary import MAX_ERROR_BODY_BYTES, is_server_error
from lagoontide.http1.messages import Response, end_to_end_fields, is_success
from lagoontide.http1.server import ResponseWriter
from lagoontide.targets.choose import TOKENS_PER_LOAD_UNIT, Choice
from lagoontide.targets.records import Target
from lagoontide.timers import Stopwatch

__all__ = ["forward_stream"]

# A resumable stream may move to another target when no event arrives for this share
# of its objective.
FIRST_EVENT_TIMEOUT_SHARE = 1.0
MIN_FIRST_EVENT_TIMEOUT_S = 1.2
# In the decode phase, a request slows others as much as the prefill of a prompt of
# this load does, in units of TOKENS_PER_LOAD_UNIT.
DECODE_LOAD = 0.1
# Each step that the time left to the objective exceeds makes a request one level less
# urgent, from level 1 on; a request past its objective gets 5, the least urgent level
# that is sent (PROTOCOL, Requests).
URGENCY_STEPS_S = (0.4, 0.8, 1.5, 2.5)


class _LoadShare:
    """The load that one request adds to its target."""

    def __init__(self, state: ForwardingState, call: Call, target: Target) -> None:
        self._loads = state.loads
        self._streams = state.streams if is_decode_heavy(call) else None
        self._target = target
        self._prompt_load = call.metadata.prompt_tokens / TOKENS_PER_LOAD_UNIT
        self._loads.begin(target, self._prompt_load + DECODE_LOAD)
        if self._streams is not None:
            self._streams.begin(target)

    def remove_prompt(self) -> None:
        """Remove the load of the prompt, which the target has read."""
        self._loads.adjust(self._target, -self._prompt_load)
        self._prompt_load = 0.0

    def end(self) -> None:
        """Remove the whole load; the request has ended."""
        self._loads.end(self._target, self._prompt_load + DECODE_LOAD)
        if self._streams is not None:
            self._streams.end(self._target)


async def forward_stream(
    state: ForwardingState,
    call: Call,
    reply: ResponseWriter,
    inputs: Inputs,
    rng: random.Random,
) -> Outcome:
    """Relay a stream, and resume it on another target where that is allowed."""
    delivery = _StreamDelivery(state, call, reply, inputs)
    return await deliver(state, call, inputs, delivery, rng)


class _StreamDelivery:
    """Delivers an event stream; see lagoontide.forward.delivery.Delivery."""

    max_refused_sends = 4

    def __init__(
        self, state: ForwardingState, call: Call, reply: ResponseWriter, inputs: Inputs
    ) -> None:
        self._state = state
        self._call = call
        self._reply = reply
        self._inputs = inputs
        self._progress = Progress(call.metadata.last_event_id)

    @property
    def can_move(self) -> bool:
        """See Delivery."""
        # Without event ids the point to resume from is unknown.
        return not self._progress.is_started or self._progress.last_event_id is not None

    def make_options(self, inputs: tuple[str, ...], has_turn: bool) -> SendOptions:
        """See Delivery."""
        level = _urgency_level(self._call)
        return SendOptions(level, inputs, self._progress.last_event_id, has_turn)

    async def send(
        self, target: Target, options: SendOptions, choose: Choose
    ) -> Outcome:
        """See Delivery; records the target's load and health."""
        state, call, progress = self._state, self._call, self._progress
        record_begin(state, call, target)
        share = _LoadShare(state, call, target)
        started_at = asyncio.get_running_loop().time()
        watch = Stopwatch(state.run_clock)
        response: TargetResponse | None = None
        taken: float | None = None

        def on_content() -> None:
            nonlocal taken
            share.remove_prompt()
            if taken is None:
                taken = watch.seconds()

        def choose_successor() -> Choice | None:
            return choose() if self.can_move else None

        async def attempt(timer: StallTimer) -> Outcome:
            nonlocal response
            response = await start_attempt(state, call, target, options)
            if not is_success(response.head.status):
                return await _read_error(call, response, progress.is_started)
            relay = EventRelay(
                call, response, self._reply, progress, self._inputs, timer, on_content
            )
            await relay.run()
            return Relayed(is_complete=True)

        try:
            outcome = await until_handover(
                state,
                call,
                target,
                self._inputs,
                _first_event_timeout(call),
                choose_successor,
                attempt,
            )
        finally:
            if response is not None:
                response.close()
            share.end()
        if isinstance(outcome, Relayed):
            # The first event of a resumed stream came from the target before.
            if progress.first_event_at > started_at:
                state.health.record_response(target, taken, False)
            record_end(state, call)
        return outcome

    def describe_failure(self) -> str:
        """See Delivery."""
        return f"stream interrupted after event {self._progress.last_event_id}"

    def failure_of(self, outcome: Outcome) -> str:
        """See Delivery; ``send`` raises the failures of targets."""
        return ""

    def partial_outcome(self, reason: str) -> Outcome | None:
        """See Delivery."""
        if not self._progress.is_started:
            return None
        is_last = not self._call.can_retry()
        end = EndReason.TARGET_BROKE_OFF if is_last else EndReason.NO_SUCCESSOR
        return Relayed(is_complete=False, reason=reason, end=end)


def _urgency_level(call: Call) -> int:
    left = call.objective_at - asyncio.get_running_loop().time()
    if left < 0:
        return len(URGENCY_STEPS_S) + 1
    return 1 + sum(left > step for step in URGENCY_STEPS_S)


def _first_event_timeout(call: Call) -> float:
    """Return the seconds without a first event until a successor is looked for."""
    return max(
        MIN_FIRST_EVENT_TIMEOUT_S, FIRST_EVENT_TIMEOUT_SHARE * call.route.objective
    )


async def _read_error(
    call: Call, response: TargetResponse, is_started: bool
) -> Outcome:
    body = b"".join([data async for data in response.body(MAX_ERROR_BODY_BYTES)])
    response.close(is_complete=True)
    status = response.head.status
    if is_started or (is_server_error(status) and call.can_retry(after=1)):
        kind = TargetPauses if response.metadata.pause else TargetFailed
        raise kind(
            f"error response with status {status}", step="head", peer=response.target.id
        )
    return Answered(Response(status, end_to_end_fields(response.head.fields), body))
