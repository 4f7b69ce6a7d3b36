"""Forwarding of requests that get a single response, not an event stream."""

import asyncio
import random

from lagoontide.errors import TargetFailed
from lagoontide.forward.attempt import SendOptions, TargetResponse, start_attempt
from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.delivery import Choose, deliver
from lagoontide.forward.handover import StallTimer, until_handover
from lagoontide.forward.inputs import Inputs
from lagoontide.forward.outcome import Answered, Outcome, Relayed
from lagoontide.http1.messages import (
    Response,
    ResponseHead,
    end_to_end_fields,
    is_success,
)
from lagoontide.http1.server import ResponseWriter
from lagoontide.targets.choose import Choice
from lagoontide.targets.records import Target
from lagoontide.timers import Stopwatch

__all__ = [
    "MAX_ERROR_BODY_BYTES",
    "forward_unary",
    "is_server_error",
    "read_response",
]

# Longer responses are relayed as they arrive, after which no retry is possible. So are
# shorter ones while too much is kept of others.
MAX_BUFFERED_BYTES = 1 << 20
# Error responses are short, and passed on completely or not at all.
MAX_ERROR_BODY_BYTES = 256 << 10
# A longer response is taken to be endless and is aborted.
MAX_RESPONSE_BYTES = 256 << 20
MIN_SERVER_ERROR_STATUS = 500
UNAVAILABLE_STATUS = 503
# A repeatable request is sent to another target after this multiple of the typical
# response time, but not before this share of its objective.
ATTEMPT_TIMEOUT_FACTOR = 4.0
MIN_ATTEMPT_TIMEOUT_SHARE = 0.4


def is_server_error(status: int) -> bool:
    """Return whether a status reports a failure of the target."""
    return status >= MIN_SERVER_ERROR_STATUS


async def forward_unary(
    state: ForwardingState,
    call: Call,
    reply: ResponseWriter,
    inputs: Inputs,
    rng: random.Random,
) -> Outcome:
    """Forward a request, and retry on other targets where that is allowed."""
    delivery = _UnaryDelivery(state, call, reply, inputs)
    return await deliver(state, call, inputs, delivery, rng)


class _UnaryDelivery:
    """Delivers a single response; see lagoontide.forward.delivery.Delivery."""

    max_refused_sends = 3

    def __init__(
        self, state: ForwardingState, call: Call, reply: ResponseWriter, inputs: Inputs
    ) -> None:
        self._state = state
        self._call = call
        self._reply = reply
        self._inputs = inputs
        self._error: Answered | None = None

    @property
    def can_move(self) -> bool:
        """See Delivery."""
        return not self._reply.is_started

    def make_options(self, inputs: tuple[str, ...], has_turn: bool) -> SendOptions:
        """See Delivery."""
        return SendOptions(inputs=inputs, has_turn=has_turn)

    async def send(
        self, target: Target, options: SendOptions, choose: Choose
    ) -> Outcome:
        """See Delivery; records the target's load and health."""
        state = self._state

        def choose_successor() -> Choice | None:
            return choose() if self.can_move else None

        async def attempt(timer: StallTimer) -> Answered | Relayed:
            response = await start_attempt(state, self._call, target, options)
            try:
                if is_success(response.head.status):
                    self._inputs.release()
                outcome = await read_response(response, self._reply, timer)
            finally:
                response.close()
            self._record_time(response, outcome)
            return outcome

        watch = Stopwatch(state.run_clock)
        state.loads.begin(target)
        try:
            outcome = await until_handover(
                state,
                self._call,
                target,
                self._inputs,
                self._patience(),
                choose_successor,
                attempt,
            )
        finally:
            state.loads.end(target)
        status = outcome.response.status if isinstance(outcome, Answered) else 0
        if status == UNAVAILABLE_STATUS and state.rate_limits.pauses.left(target):
            # A penalty would outlast the pause.
            return outcome
        failed = is_server_error(status)
        state.health.record_response(target, watch.seconds(), failed)
        return outcome

    def describe_failure(self) -> str:
        """See Delivery."""
        return "request may have run at the target"

    def failure_of(self, outcome: Outcome) -> str:
        """See Delivery."""
        match outcome:
            case Answered(response) if is_server_error(response.status):
                self._error = outcome
                return f"status {response.status}"
        return ""

    def partial_outcome(self, reason: str) -> Outcome | None:
        """See Delivery."""
        if self._reply.is_started:
            return Relayed(is_complete=False, reason=reason)
        return self._error

    def _record_time(
        self, response: TargetResponse, outcome: Answered | Relayed
    ) -> None:
        """Record how long the target took, unless its caller may have delayed it."""
        if isinstance(outcome, Answered) and is_success(outcome.response.status):
            now = asyncio.get_running_loop().time()
            self._inputs.record_target_time(now - response.sent_at)

    def _patience(self) -> float:
        """Return the seconds without a whole response until a successor is sought."""
        state, objective = self._state, self._call.route.objective
        peers = state.directory.ready(self._call.service)
        typical = state.health.median_time(peers, objective)
        return max(
            ATTEMPT_TIMEOUT_FACTOR * typical, MIN_ATTEMPT_TIMEOUT_SHARE * objective
        )


async def read_response(
    response: TargetResponse, reply: ResponseWriter, timer: StallTimer
) -> Answered | Relayed:
    """Buffer a short response; relay a long one as it arrives."""
    head = response.head
    peer = response.target.id
    if response.metadata.is_encoded:
        raise TargetFailed(
            "response has an unsupported content encoding", step="head", peer=peer
        )
    if is_success(head.status) and not response.metadata.is_sealed:
        raise TargetFailed("successful response has no seal", step="head", peer=peer)
    body = bytearray()
    is_error = is_server_error(head.status)
    chunks = response.body(MAX_ERROR_BODY_BYTES if is_error else MAX_RESPONSE_BYTES)
    async for data in chunks:
        body += data
        reply.account_for(len(body))
        if len(body) > MAX_BUFFERED_BYTES or not reply.may_buffer:
            # From here on the request can no longer move.
            timer.stop()
            await reply.start(
                ResponseHead(
                    head.status, end_to_end_fields(head.fields), length=head.length
                )
            )
            await reply.send_data(bytes(body))
            body.clear()
            reply.account_for(0)
            async for rest in chunks:
                await reply.send_data(rest)
            await reply.finish()
            response.close(is_complete=True)
            return Relayed(is_complete=True)
    response.close(is_complete=True)
    return Answered(Response(head.status, end_to_end_fields(head.fields), bytes(body)))
