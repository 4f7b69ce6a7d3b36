"""Forwarding of requests that a model engine answers with an event stream."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping

from loguru import logger

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.forward.attempt import (
    InputsGone,
    SendOptions,
    TargetPauses,
    TargetResponse,
    record_losses,
    start_attempt,
)
from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.event_relay import EventRelay, Progress
from lagoontide.forward.guard import RequestWithheld
from lagoontide.forward.handover import (
    HandedOver,
    Reservation,
    Retake,
    make_stall_timer,
)
from lagoontide.forward.inputs import Inputs, InputsFailed
from lagoontide.forward.outcome import Answered, EndReason, Outcome, Relayed
from lagoontide.forward.resumption import record_begin, record_end
from lagoontide.forward.retry_after import pick_limited_retry_after
from lagoontide.forward.selection import candidates, wait_for_turn
from lagoontide.forward.unary import (
    MAX_ERROR_BODY_BYTES,
    describe_choice,
    is_server_error,
)
from lagoontide.http1.messages import Response, end_to_end_fields, is_success
from lagoontide.http1.server import ResponseWriter
from lagoontide.targets.choose import (
    TOKENS_PER_LOAD_UNIT,
    Choice,
    choose_engine_target,
    choose_lowest_cost,
    choose_stream_target,
)
from lagoontide.targets.records import Target
from lagoontide.timers import Stopwatch

__all__ = ["choose_engine", "forward_stream"]

# A refusal after this many sends in total ends the request.
MAX_SENDS_ON_REFUSAL = 4
NO_INPUT_BYTES: Mapping[str, float] = {}
# A resumable stream may move to another target when no event arrives for this share
# of its objective.
FIRST_EVENT_TIMEOUT_SHARE = 1.0
MIN_FIRST_EVENT_TIMEOUT_S = 1.2
# A target fetches its inputs before it reads the prompt (PROTOCOL, Stages). They are
# released after this time, as they occupy memory that other requests wait for.
INPUT_FETCH_S = 0.12
# In the decode phase, a request slows others as much as the prefill of a prompt of
# this load does, in units of TOKENS_PER_LOAD_UNIT.
DECODE_LOAD = 0.1
# A request is decode-heavy, a long stream, if its output tokens exceed this share of
# its prompt tokens.
DECODE_HEAVY_SHARE = 0.2
# Each step that the time left to the objective exceeds makes a request one level less
# urgent, from level 1 on; a request past its objective gets 5, the least urgent level
# that is sent (PROTOCOL, Requests).
URGENCY_STEPS_S = (0.4, 0.8, 1.5, 2.5)


class _LoadShare:
    """The load that one request adds to its target."""

    def __init__(self, state: ForwardingState, call: Call, target: Target) -> None:
        self._loads = state.loads
        self._streams = state.streams if _is_decode_heavy(call) else None
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
    with contextlib.closing(Reservation(state, call)) as reservation:
        return await _forward(state, call, reply, inputs, rng, reservation)


async def _forward(
    state: ForwardingState,
    call: Call,
    reply: ResponseWriter,
    inputs: Inputs,
    rng: random.Random,
    reservation: Reservation,
) -> Outcome:
    progress = Progress(call.metadata.last_event_id)
    tried: set[str] = set()
    reason = "no target"
    withheld: RequestWithheld | None = None
    successor: Choice | None = None
    retake: Retake | None = None
    log = logger.bind(request=call.metadata.request_id)

    def choose() -> Choice | None:
        return choose_engine(state, call, tried, rng, inputs.bytes_by_domain())

    while True:
        try:
            handles = await inputs.ready()
        except InputsFailed as exc:
            if retake is None:
                raise
            reason = str(exc)
            log.info("inputs of a successor failed: {}", exc)
            reservation.close()
            successor = None
            await retake.pause()
            continue
        call.record_step("inputs")
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
        record_begin(state, call, target)
        ready = len(state.directory.ready(call.service))
        call.choices.append(describe_choice(state, choice, ready))
        options = SendOptions(
            _urgency_level(call), handles, progress.last_event_id, choice.has_turn
        )
        log = log.bind(target=target.id)
        try:
            async with state.guard.watch(call, target) as run:
                outcome = await _relay_from_target(
                    state, call, target, options, reply, progress, inputs, choose
                )
                run.is_complete = outcome == Relayed(is_complete=True)
        except RequestWithheld as exc:
            reason, withheld = str(exc), exc
            break
        except TargetUnreachable as exc:
            reason = str(exc)
            log.info("request did not run at the target: {}", exc)
            if isinstance(exc, InputsGone):
                tried.discard(target.id)
                inputs.renew()
            if call.send_tracker.sends >= MAX_SENDS_ON_REFUSAL:
                if retake is None:
                    break
                await retake.pause()
            continue
        except TargetFailed as exc:
            reason = str(exc)
            call.attempts += 1
            log.warning(
                "stream interrupted after event {}: {}", progress.last_event_id, exc
            )
            if progress.is_started and progress.last_event_id is None:
                # Without event ids the point to resume from is unknown.
                break
            if isinstance(exc, HandedOver):
                successor, retake = exc.successor, Retake()
                reservation.hold(successor, is_successor=True)
            else:
                retake = None
        else:
            if outcome == Relayed(is_complete=True):
                record_end(state, call)
            return outcome
        if not call.can_retry():
            break
    if progress.is_started:
        return Relayed(is_complete=False, reason=reason, end=_end_reason(call))
    if withheld is not None:
        after = withheld.retry_after
    else:
        after = pick_limited_retry_after(state, call, rng)
    return call.send_tracker.failure_outcome(reason, after)


def _end_reason(call: Call) -> EndReason:
    """Return why a stream that has begun ends before it is complete."""
    if call.can_retry():
        return EndReason.NO_SUCCESSOR
    return EndReason.TARGET_BROKE_OFF


def choose_engine(
    state: ForwardingState,
    call: Call,
    tried: set[str],
    rng: random.Random,
    inputs: Mapping[str, float] = NO_INPUT_BYTES,
) -> Choice | None:
    """Return the best target for a request at present, or None if there is none.

    Parameters
    ----------
    tried : set of str
        Ids of targets to leave out.
    inputs : mapping
        Bytes of stage results that the target has to fetch, by failure domain.
    """
    targets = candidates(state, call, tried)
    parts = call.metadata.prompt_parts
    if not parts:
        return choose_lowest_cost(
            targets, state.loads, state.health, state.failure_domain, rng
        )
    if _is_decode_heavy(call):
        return choose_stream_target(targets, state.streams, state.health)
    return choose_engine_target(
        targets,
        [(part.id, part.tokens) for part in parts],
        state.loads,
        state.health,
        inputs,
        state.streams,
    )


def _is_decode_heavy(call: Call) -> bool:
    """Return whether a request's output is long in relation to its prompt."""
    metadata = call.metadata
    return metadata.output_tokens > DECODE_HEAVY_SHARE * metadata.prompt_tokens


def _urgency_level(call: Call) -> int:
    left = call.objective_at - asyncio.get_running_loop().time()
    if left < 0:
        return len(URGENCY_STEPS_S) + 1
    return 1 + sum(left > step for step in URGENCY_STEPS_S)


async def _relay_from_target(
    state: ForwardingState,
    call: Call,
    target: Target,
    options: SendOptions,
    reply: ResponseWriter,
    progress: Progress,
    inputs: Inputs,
    choose: Callable[[], Choice | None],
) -> Outcome:
    loop = asyncio.get_running_loop()
    share = _LoadShare(state, call, target)
    started_at = loop.time()
    watch = Stopwatch(state.run_clock)
    has_content, taken = False, None
    response: TargetResponse | None = None

    def on_content() -> None:
        nonlocal taken, has_content
        share.remove_prompt()
        if not has_content:
            has_content, taken = True, watch.seconds()

    def choose_successor() -> Choice | None:
        # Without event ids the point to resume from is unknown.
        is_unknown = progress.is_started and progress.last_event_id is None
        return None if is_unknown else choose()

    release_timer = loop.call_later(INPUT_FETCH_S, inputs.release)
    wait = asyncio.timeout(None)
    timer = make_stall_timer(state, call, wait, choose_successor, inputs.prepare)
    try:
        with record_losses(state.health, target):
            async with wait:
                if call.can_retry(after=1):
                    timer.start(_first_event_timeout(call))
                try:
                    response = await start_attempt(state, call, target, options)
                    if not is_success(response.head.status):
                        return await _read_error(call, response, progress.is_started)
                    relay = EventRelay(
                        call,
                        response,
                        reply,
                        progress,
                        inputs,
                        timer,
                        on_content,
                    )
                    await relay.run()
                finally:
                    timer.stop()
            # The first event of a resumed stream came from the target before.
            if progress.first_event_at > started_at:
                state.health.record_response(target, taken, False)
            return Relayed(is_complete=True)
    except TimeoutError:
        state.health.record_loss(target)
        raise timer.handed_over(step="stream", peer=target.id) from None
    finally:
        timer.close()
        release_timer.cancel()
        if response is not None:
            response.close()
        share.end()


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
