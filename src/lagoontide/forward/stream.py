"""Forwarding of requests that a model engine answers with an event stream."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass

from loguru import logger

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.forward.attempt import (
    InputsGone,
    SendOptions,
    TargetResponse,
    record_losses,
    start_attempt,
)
from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.events import Event, EventSplitter
from lagoontide.forward.inputs import Inputs
from lagoontide.forward.outcome import Answered, Outcome, Relayed
from lagoontide.forward.retry_after import pick_limited_retry_after
from lagoontide.forward.selection import candidates, wait_for_turn
from lagoontide.forward.unary import (
    MAX_ERROR_BODY_BYTES,
    describe_choice,
    is_server_error,
)
from lagoontide.http1.messages import (
    Response,
    ResponseHead,
    end_to_end_fields,
    is_success,
)
from lagoontide.http1.server import ResponseWriter
from lagoontide.targets.choose import (
    TOKENS_PER_LOAD_UNIT,
    Choice,
    choose_engine_target,
    choose_lowest_cost,
    choose_stream_target,
)
from lagoontide.targets.records import Target

__all__ = ["choose_engine", "forward_stream"]

# A refusal after this many sends in total ends the request.
MAX_SENDS_ON_REFUSAL = 4
NO_INPUT_BYTES: Mapping[str, float] = {}
# A resumable stream moves to another target when no event arrives for this multiple
# of its longest expected gap; before its first event, for this share of its objective.
IDLE_TIMEOUT_GAPS = 4.0
MIN_IDLE_TIMEOUT_S = 0.8
FIRST_EVENT_TIMEOUT_SHARE = 1.0
MIN_FIRST_EVENT_TIMEOUT_S = 1.2
# Comment bytes without an event in between, above which a stream counts as broken.
MAX_COMMENT_BYTES = 16 << 10
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


@dataclass(slots=True)
class _Progress:
    """What the caller has received of the stream so far."""

    last_event_id: int | None
    is_started: bool = False
    first_event_at: float = 0.0


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


class StreamInterrupted(TargetFailed):
    """A stream broke off or stalled before its end."""


async def forward_stream(
    state: ForwardingState,
    call: Call,
    reply: ResponseWriter,
    inputs: Inputs,
    rng: random.Random,
) -> Outcome:
    """Relay a stream, and resume it on another target where that is allowed."""
    progress = _Progress(call.metadata.last_event_id)
    tried: set[str] = set()
    reason = "no target"
    while True:
        handles = await inputs.ready()
        call.record_step("inputs")
        choice = choose_engine(state, call, tried, rng, inputs.bytes_by_domain())
        is_retry = call.send_tracker.sends > 0
        if choice is None and not is_retry:
            choice = await wait_for_turn(state, call, tried)
        if choice is None or (is_retry and not state.budget.take(call.service)):
            break
        target = choice.target
        tried.add(target.id)
        ready = len(state.directory.ready(call.service))
        call.choices.append(describe_choice(state, choice, ready))
        options = SendOptions(
            _urgency_level(call), handles, progress.last_event_id, choice.has_turn
        )
        log = logger.bind(request=call.metadata.request_id, target=target.id)
        try:
            outcome = await _relay_from_target(
                state, call, target, options, reply, progress, inputs
            )
        except TargetUnreachable as exc:
            reason = str(exc)
            log.info("request did not run at the target: {}", exc)
            if isinstance(exc, InputsGone):
                tried.discard(target.id)
                inputs.renew()
            if call.send_tracker.sends >= MAX_SENDS_ON_REFUSAL:
                break
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
        else:
            return outcome
        if not call.can_retry():
            break
    if progress.is_started:
        return Relayed(is_complete=False, reason=reason)
    after = pick_limited_retry_after(state, call, rng)
    return call.send_tracker.failure_outcome(reason, after)


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
    targets = candidates(state, call.service, tried)
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
    progress: _Progress,
    inputs: Inputs,
) -> Outcome:
    loop = asyncio.get_running_loop()
    share = _LoadShare(state, call, target)
    started_at = loop.time()
    response: TargetResponse | None = None
    release_timer = loop.call_later(INPUT_FETCH_S, inputs.release)
    try:
        with record_losses(state.health, target):
            async with asyncio.timeout(_first_event_timeout(call)) as wait:
                response = await start_attempt(state, call, target, options)
                if not is_success(response.head.status):
                    return await _read_error(call, response, progress.is_started)
                relay = _Relay(call, response, reply, progress, inputs, wait, share)
                await relay.run()
            state.health.record_response(
                target, progress.first_event_at - started_at, False
            )
            return Relayed(is_complete=True)
    except TimeoutError:
        state.health.record_loss(target)
        raise StreamInterrupted(
            "no event within the timeout", step="stream", peer=target.id
        ) from None
    finally:
        release_timer.cancel()
        if response is not None:
            response.close()
        share.end()


def _first_event_timeout(call: Call) -> float | None:
    """Return the seconds to wait for the first event, or None for no limit.

    Only a stream that may be resumed on another target is given up when it stalls.
    """
    if not call.can_retry(after=1):
        return None
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
        raise TargetFailed(
            f"error response with status {status}", step="head", peer=response.target.id
        )
    return Answered(Response(status, end_to_end_fields(response.head.fields), body))


class _Relay:
    """Relays the events of one target to the caller."""

    def __init__(
        self,
        call: Call,
        response: TargetResponse,
        reply: ResponseWriter,
        progress: _Progress,
        inputs: Inputs,
        wait: asyncio.Timeout,
        share: "_LoadShare",
    ) -> None:
        self._share = share
        self._call = call
        self._response = response
        self._reply = reply
        self._progress = progress
        self._inputs = inputs
        self._timeout = wait
        self._loop = asyncio.get_running_loop()
        self._comment_bytes = 0

    async def run(self) -> None:
        """Relay all events; raises TargetFailed if the stream is interrupted."""
        metadata = self._response.metadata
        if not metadata.is_sealed or metadata.is_encoded:
            raise self._interrupted("stream lacks a seal or has a content encoding")
        splitter = EventSplitter()
        async for data in self._response.body():
            for begin in range(0, len(data), MAX_COMMENT_BYTES):
                try:
                    events = splitter.feed(data[begin : begin + MAX_COMMENT_BYTES])
                except ValueError as exc:
                    raise self._interrupted(str(exc)) from exc
                await self._relay_events(
                    [event for event in events if self._is_new(event)]
                )
        if splitter.has_partial_event:
            raise self._interrupted("stream ended within an event")
        if not self._progress.is_started:
            await self._start()
        await self._reply.finish()
        self._response.close(is_complete=True)

    async def _relay_events(self, new_events: list[Event]) -> None:
        """Relay events that the caller does not have yet, in order."""
        data = b"".join(event.data for event in new_events)
        if any(event.has_content for event in new_events):
            self._comment_bytes = 0
            await self._relay_content(data)
            self._progress.last_event_id = _last_event_id(
                new_events, self._progress.last_event_id
            )
            return
        # Comments show that the connection is alive, not that work progresses.
        self._comment_bytes += len(data)
        if self._comment_bytes > MAX_COMMENT_BYTES:
            raise self._interrupted(
                f"more than {MAX_COMMENT_BYTES} bytes of comments without an event"
            )
        if data and self._progress.is_started:
            await self._reply.send_data(data)

    def _is_new(self, event: Event) -> bool:
        """Return whether the caller lacks an event; raises if some were skipped."""
        last = self._progress.last_event_id
        if event.id is None or last is None:
            return True
        if event.id > last + 1:
            raise self._interrupted(
                f"gap in event ids: received {event.id} after {last}"
            )
        return event.id > last

    async def _relay_content(self, data: bytes) -> None:
        if not self._progress.first_event_at:
            self._progress.first_event_at = self._loop.time()
            self._call.record_step("first_event")
            taken = self._progress.first_event_at - self._response.sent_at
            self._inputs.record_first_event_time(taken)
        self._share.remove_prompt()
        if not self._progress.is_started:
            await self._start()
        self._inputs.release()
        self._extend_timeout()
        await self._reply.send_data(data)

    async def _start(self) -> None:
        head = self._response.head
        self._progress.is_started = True
        await self._reply.start(
            ResponseHead(head.status, end_to_end_fields(head.fields))
        )

    def _extend_timeout(self) -> None:
        if self._timeout.when() is None:
            return
        silence = max(
            MIN_IDLE_TIMEOUT_S, IDLE_TIMEOUT_GAPS * self._call.route.max_event_gap
        )
        self._timeout.reschedule(self._loop.time() + silence)

    def _interrupted(self, reason: str) -> StreamInterrupted:
        return StreamInterrupted(reason, step="stream", peer=self._response.target.id)


def _last_event_id(events: list[Event], last: int | None) -> int | None:
    return next((event.id for event in reversed(events) if event.id is not None), last)
