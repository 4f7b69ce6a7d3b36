"""Requests that are answered by a stream of events from a model engine."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass

from loguru import logger

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.forward.attempt import (
    InputsGone,
    Opened,
    SendOptions,
    losses_noted,
    open_attempt,
)
from lagoontide.forward.call import Call, World
from lagoontide.forward.events import Event, EventSplitter
from lagoontide.forward.inputs import Inputs
from lagoontide.forward.outcome import Answer, Ended, Outcome
from lagoontide.forward.plain import (
    MAX_FAILURE_BYTES,
    describe_choice,
    has_failed,
    retry_after,
)
from lagoontide.http1.messages import Response, ResponseHead, end_to_end, is_success
from lagoontide.http1.server import Reply
from lagoontide.targets.choose import (
    TOKENS_A_LOAD,
    Choice,
    choose_engine_target,
    choose_least,
    choose_stream_target,
    usable,
)
from lagoontide.targets.records import Target

__all__ = ["choose_engine", "forward_stream"]

MOST_REFUSALS = 4
NOTHING: Mapping[str, float] = {}
# A stream that may be resumed is taken elsewhere after a silence of so many of
# its longest gaps; before its first event after this share of its objective.
SILENCE_GAPS = 4.0
SILENCE_MIN_S = 0.8
FIRST_EVENT_SHARE = 1.0
FIRST_EVENT_MIN_S = 1.2
# Comments of a stream without an event between them; more are taken for no stream.
MAX_COMMENT_BYTES = 16 << 10
# A target fetches results of stages before it reads the prompt (PROTOCOL,
# Stages); they take room that other requests wait for.
FETCH_S = 0.12
# A request that is past its prompt slows others as much as reading this much.
RUNNING_LOAD = 0.1
# A request with more output tokens than this share of its prompt is a long stream.
WRITES_SHARE = 0.2
# Seconds to the objective below which a request is more urgent by one step, from
# step 1 on; the least urgent number that is told is 5 (PROTOCOL, Requests).
URGENCY_STEPS_S = (0.4, 0.8, 1.5, 2.5)


@dataclass(slots=True)
class _Progress:
    """What the caller has of the stream."""

    last_event: int | None
    is_started: bool = False
    first_event_at: float = 0.0


class _Share:
    """What one request adds to the load of its target."""

    def __init__(self, world: World, call: Call, target: Target) -> None:
        self._loads = world.loads
        self._streams = world.streams if _writes(call) else None
        self._target = target
        self._unread = call.asked.prompt_tokens / TOKENS_A_LOAD
        self._loads.begin(target, self._unread + RUNNING_LOAD)
        if self._streams is not None:
            self._streams.begin(target)

    def note_read(self) -> None:
        """Count the prompt as read."""
        self._loads.change(self._target, -self._unread)
        self._unread = 0.0

    def end(self) -> None:
        """Count the request as ended."""
        self._loads.end(self._target, self._unread + RUNNING_LOAD)
        if self._streams is not None:
            self._streams.end(self._target)


class StreamCut(TargetFailed):
    """A stream ended or fell silent before its end."""


async def forward_stream(
    world: World, call: Call, reply: Reply, inputs: Inputs, rng: random.Random
) -> Outcome:
    """Pass a stream on; go on at another target where that is allowed."""
    progress = _Progress(call.asked.last_event)
    tried: set[str] = set()
    why = "no target"
    while True:
        handles = await inputs.ready()
        call.note_time("inputs")
        choice = choose_engine(world, call, tried, rng, inputs.bytes_by_domain())
        is_repeat = call.ledger.sends > 0
        if choice is None or (is_repeat and not world.budget.take(call.service)):
            break
        target = choice.target
        tried.add(target.id)
        ready = len(world.directory.ready(call.service))
        call.choices.append(describe_choice(world, choice, ready))
        options = SendOptions(_urgency(call), handles, progress.last_event)
        log = logger.bind(request=call.asked.request_id, target=target.id)
        try:
            outcome = await _run(world, call, target, options, reply, progress, inputs)
        except TargetUnreachable as exc:
            why = str(exc)
            log.info("not run: {}", exc)
            if isinstance(exc, InputsGone):
                tried.discard(target.id)
                inputs.renew()
            if call.ledger.sends >= MOST_REFUSALS:
                break
            continue
        except TargetFailed as exc:
            why = str(exc)
            call.attempts += 1
            log.warning("stream cut after event {}: {}", progress.last_event, exc)
            if progress.is_started and progress.last_event is None:
                # Without numbers nobody can say where to go on.
                break
        else:
            return outcome
        if not call.may_go_on():
            break
    if progress.is_started:
        return Ended(is_whole=False, why=why)
    return call.ledger.give_up(why, retry_after(rng))


def choose_engine(
    world: World,
    call: Call,
    tried: set[str],
    rng: random.Random,
    inputs: Mapping[str, float] = NOTHING,
) -> Choice | None:
    """Return the target that should run a request, as things are now."""
    targets = usable(world.directory.ready(call.service), world.health, tried)
    parts = call.asked.parts
    if not parts:
        return choose_least(
            targets, world.loads, world.health, world.failure_domain, rng
        )
    if _writes(call):
        return choose_stream_target(targets, world.streams, world.health)
    return choose_engine_target(
        targets,
        [(part.id, part.tokens) for part in parts],
        world.loads,
        world.health,
        inputs,
        world.streams,
    )


def _writes(call: Call) -> bool:
    """Return whether a request writes much for what it reads."""
    asked = call.asked
    return asked.output_tokens > WRITES_SHARE * asked.prompt_tokens


def _urgency(call: Call) -> int:
    left = call.objective_at - asyncio.get_running_loop().time()
    if left < 0:
        return len(URGENCY_STEPS_S) + 1
    return 1 + sum(left > step for step in URGENCY_STEPS_S)


async def _run(
    world: World,
    call: Call,
    target: Target,
    options: SendOptions,
    reply: Reply,
    progress: _Progress,
    inputs: Inputs,
) -> Outcome:
    loop = asyncio.get_running_loop()
    share = _Share(world, call, target)
    began = loop.time()
    opened: Opened | None = None
    fetched = loop.call_later(FETCH_S, inputs.release)
    try:
        with losses_noted(world.health, target):
            async with asyncio.timeout(_first_wait(call)) as wait:
                opened = await open_attempt(world, call, target, options)
                if not is_success(opened.head.status):
                    return await _read_failure(call, opened, progress.is_started)
                relay = _Relay(call, opened, reply, progress, inputs, wait, share)
                await relay.run()
            world.health.note_answer(target, progress.first_event_at - began, False)
            return Ended(is_whole=True)
    except TimeoutError:
        world.health.note_loss(target)
        raise StreamCut("silent", step="stream", peer=target.id) from None
    finally:
        fetched.cancel()
        if opened is not None:
            opened.close()
        share.end()


def _first_wait(call: Call) -> float | None:
    """Return the seconds to wait for the first event, or None for as long as it takes.

    Only a stream that another target may go on with is given up for silence.
    """
    if not call.may_go_on(after=1):
        return None
    return max(FIRST_EVENT_MIN_S, FIRST_EVENT_SHARE * call.route.objective)


async def _read_failure(call: Call, opened: Opened, is_started: bool) -> Outcome:
    body = b"".join([data async for data in opened.body(MAX_FAILURE_BYTES)])
    opened.close(is_whole=True)
    status = opened.head.status
    if is_started or (has_failed(status) and call.may_go_on(after=1)):
        raise TargetFailed(f"status {status}", step="head", peer=opened.target.id)
    return Answer(Response(status, end_to_end(opened.head.fields), body))


class _Relay:
    """Passes the events of one target on to the caller."""

    def __init__(
        self,
        call: Call,
        opened: Opened,
        reply: Reply,
        progress: _Progress,
        inputs: Inputs,
        wait: asyncio.Timeout,
        share: "_Share",
    ) -> None:
        self._share = share
        self._call = call
        self._opened = opened
        self._reply = reply
        self._progress = progress
        self._inputs = inputs
        self._wait = wait
        self._loop = asyncio.get_running_loop()
        self._comment_bytes = 0

    async def run(self) -> None:
        """Pass on all events; raises TargetFailed if the stream breaks."""
        marks = self._opened.marks
        if not marks.is_sealed or marks.is_encoded:
            raise self._cut("no sealed stream")
        splitter = EventSplitter()
        async for data in self._opened.body():
            for begin in range(0, len(data), MAX_COMMENT_BYTES):
                try:
                    events = splitter.feed(data[begin : begin + MAX_COMMENT_BYTES])
                except ValueError as exc:
                    raise self._cut(str(exc)) from exc
                await self._take([event for event in events if self._is_next(event)])
        if splitter.has_rest:
            raise self._cut("ended within an event")
        if not self._progress.is_started:
            await self._start()
        await self._reply.finish()
        self._opened.close(is_whole=True)

    async def _take(self, fresh: list[Event]) -> None:
        """Pass on what the caller lacks, in the order of its arrival."""
        data = b"".join(event.data for event in fresh)
        if any(event.has_content for event in fresh):
            self._comment_bytes = 0
            await self._pass_on(data)
            self._progress.last_event = _last_id(fresh, self._progress.last_event)
            return
        # Comments say that the connection is there, not that work goes on.
        self._comment_bytes += len(data)
        if self._comment_bytes > MAX_COMMENT_BYTES:
            raise self._cut(f"over {MAX_COMMENT_BYTES} bytes of comments")
        if data and self._progress.is_started:
            await self._reply.send_data(data)

    def _is_next(self, event: Event) -> bool:
        """Return whether the caller lacks an event; raises if some are missing."""
        last = self._progress.last_event
        if event.id is None or last is None:
            return True
        if event.id > last + 1:
            raise self._cut(f"event {event.id} after {last}")
        return event.id > last

    async def _pass_on(self, data: bytes) -> None:
        if not self._progress.first_event_at:
            self._progress.first_event_at = self._loop.time()
            self._call.note_time("first_event")
            taken = self._progress.first_event_at - self._opened.sent_at
            self._inputs.note_answer(taken)
        self._share.note_read()
        if not self._progress.is_started:
            await self._start()
        self._inputs.release()
        self._keep_waiting()
        await self._reply.send_data(data)

    async def _start(self) -> None:
        head = self._opened.head
        self._progress.is_started = True
        await self._reply.start(ResponseHead(head.status, end_to_end(head.fields)))

    def _keep_waiting(self) -> None:
        if self._wait.when() is None:
            return
        silence = max(SILENCE_MIN_S, SILENCE_GAPS * self._call.route.longest_gap)
        self._wait.reschedule(self._loop.time() + silence)

    def _cut(self, why: str) -> StreamCut:
        return StreamCut(why, step="stream", peer=self._opened.target.id)


def _last_id(events: list[Event], last: int | None) -> int | None:
    return next((event.id for event in reversed(events) if event.id is not None), last)
