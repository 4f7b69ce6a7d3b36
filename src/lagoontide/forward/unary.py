"""Forwarding of requests that get a single response, not an event stream."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from loguru import logger

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.forward.attempt import (
    SendOptions,
    TargetResponse,
    record_losses,
    start_attempt,
)
from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.guard import RequestWithheld
from lagoontide.forward.handover import (
    HandedOver,
    Reservation,
    Retake,
    StallTimer,
    make_stall_timer,
)
from lagoontide.forward.outcome import Answered, Outcome, Relayed
from lagoontide.forward.retry_after import pick_limited_retry_after
from lagoontide.forward.selection import candidates, wait_for_turn
from lagoontide.http1.messages import (
    Response,
    ResponseHead,
    end_to_end_fields,
    is_success,
)
from lagoontide.http1.server import ResponseWriter
from lagoontide.targets.choose import Choice, choose_lowest_cost
from lagoontide.targets.records import Target
from lagoontide.timers import Stopwatch

__all__ = [
    "MAX_ERROR_BODY_BYTES",
    "describe_choice",
    "forward_unary",
    "is_server_error",
    "read_response",
]

# A refusal after this many sends in total ends the request.
MAX_SENDS_ON_REFUSAL = 3
# Longer responses are relayed as they arrive, after which no retry is possible.
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


def describe_choice(state: ForwardingState, choice: Choice, targets: int) -> str:
    """Return the chosen target and the values behind the choice, for the log.

    Parameters
    ----------
    targets : int
        Number of targets of the service that accept work.
    """
    target = choice.target
    record = state.health.record_of(target)
    limit = state.rate_limits.describe(target)
    return (
        f"{target.id} of {targets}: {choice.reason}, cost {choice.cost:.3g}, "
        f"load {state.loads.total_of(target):.3g}, mean {record.mean_seconds:.3f} s, "
        f"failures {record.failure_rate:.2f}, revision {target.revision}"
        f"{limit and f', {limit}'}"
    )


async def forward_unary(
    state: ForwardingState, call: Call, reply: ResponseWriter, rng: random.Random
) -> Outcome:
    """Forward a request, and retry on other targets where that is allowed."""
    with contextlib.closing(Reservation(state, call)) as reservation:
        return await _forward(state, call, reply, rng, reservation)


async def _forward(
    state: ForwardingState,
    call: Call,
    reply: ResponseWriter,
    rng: random.Random,
    reservation: Reservation,
) -> Outcome:
    tried: set[str] = set()
    failure: Answered | None = None
    reason = "no target"
    withheld: RequestWithheld | None = None
    successor: Choice | None = None
    retake: Retake | None = None

    def choose() -> Choice | None:
        return choose_lowest_cost(
            candidates(state, call, tried),
            state.loads,
            state.health,
            state.failure_domain,
            rng,
        )

    while True:
        is_retry = call.send_tracker.sends > 0
        choice, successor = successor, None
        if choice is None:
            choice = choose()
            if choice is None and not is_retry:
                choice = await wait_for_turn(state, call, tried)
                if choice is not None:
                    reservation.hold(choice)
            if choice is None or (is_retry and not state.budget.take(call.service)):
                if retake is None:
                    break
                await retake.pause()
                tried.clear()
                continue
        target = choice.target
        tried.add(target.id)
        ready = len(state.directory.ready(call.service))
        call.choices.append(describe_choice(state, choice, ready))
        options = SendOptions(has_turn=choice.has_turn)
        log = logger.bind(request=call.metadata.request_id, target=target.id)
        try:
            async with state.guard.watch(call, target) as run:
                answer = await _try_target(state, call, target, options, reply, choose)
                run.is_complete = _is_complete_success(answer)
        except RequestWithheld as exc:
            reason, withheld = str(exc), exc
            break
        except TargetUnreachable as exc:
            reason = str(exc)
            log.info("request did not run at the target: {}", exc)
            if call.send_tracker.sends >= MAX_SENDS_ON_REFUSAL:
                if retake is None:
                    break
                await retake.pause()
            continue
        except TargetFailed as exc:
            reason = str(exc)
            log.warning("request may have run at the target: {}", exc)
            call.attempts += 1
            if reply.is_started:
                return Relayed(is_complete=False, reason=reason)
            if isinstance(exc, HandedOver):
                successor, retake = exc.successor, Retake()
                reservation.hold(successor, is_successor=True)
            else:
                retake = None
        else:
            if isinstance(answer, Relayed) or not is_server_error(
                answer.response.status
            ):
                return answer
            failure = answer
            reason = f"status {answer.response.status}"
            call.attempts += 1
            log.info("target responded with status {}", answer.response.status)
        if not call.can_retry():
            break
    if withheld is not None:
        after = withheld.retry_after
    else:
        after = pick_limited_retry_after(state, call, rng)
    return failure or call.send_tracker.failure_outcome(reason, after)


def _is_complete_success(answer: Answered | Relayed) -> bool:
    match answer:
        case Answered(response):
            return is_success(response.status)
        case Relayed(is_complete):
            return is_complete


async def _try_target(
    state: ForwardingState,
    call: Call,
    target: Target,
    options: SendOptions,
    reply: ResponseWriter,
    choose: Callable[[], Choice | None],
) -> Answered | Relayed:
    """Send the request to one target, and record its load and health."""
    watch = Stopwatch(state.run_clock)
    state.loads.begin(target)
    try:
        with record_losses(state.health, target):
            answer = await _send_until_handover(
                state, call, target, options, reply, choose
            )
    finally:
        state.loads.end(target)
    status = answer.response.status if isinstance(answer, Answered) else 0
    if status == UNAVAILABLE_STATUS and state.rate_limits.pauses.left(target):
        # A penalty would outlast the pause.
        return answer
    failed = is_server_error(status)
    state.health.record_response(target, watch.seconds(), failed)
    return answer


async def _send_until_handover(
    state: ForwardingState,
    call: Call,
    target: Target,
    options: SendOptions,
    reply: ResponseWriter,
    choose: Callable[[], Choice | None],
) -> Answered | Relayed:
    def choose_successor() -> Choice | None:
        return None if reply.is_started else choose()

    wait = asyncio.timeout(None)
    timer = make_stall_timer(state, call, wait, choose_successor)
    try:
        async with wait:
            if call.can_retry(after=1):
                timer.start(_attempt_timeout(state, call))
            try:
                response = await start_attempt(state, call, target, options)
                try:
                    return await read_response(response, reply, timer)
                finally:
                    response.close()
            finally:
                timer.stop()
    except TimeoutError:
        raise timer.handed_over(step="wait", peer=target.id) from None
    finally:
        timer.close()


def _attempt_timeout(state: ForwardingState, call: Call) -> float:
    """Return the seconds without a whole response until a successor is looked for."""
    peers = state.directory.ready(call.service)
    typical = state.health.median_time(peers, call.route.objective)
    return max(
        ATTEMPT_TIMEOUT_FACTOR * typical,
        MIN_ATTEMPT_TIMEOUT_SHARE * call.route.objective,
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
        if len(body) > MAX_BUFFERED_BYTES:
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
