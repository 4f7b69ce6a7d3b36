"""Relaying of an event stream from a target to the caller."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lagoontide.errors import TargetFailed
from lagoontide.forward.attempt import TargetResponse
from lagoontide.forward.call import Call
from lagoontide.forward.events import Event, EventSplitter
from lagoontide.forward.handover import StallTimer
from lagoontide.forward.inputs import Inputs
from lagoontide.http1.messages import ResponseHead, end_to_end_fields
from lagoontide.http1.server import ResponseWriter

__all__ = ["EventRelay", "Progress", "StreamInterrupted"]

# Comment bytes without an event in between, above which a stream counts as broken.
MAX_COMMENT_BYTES = 16 << 10
# A stream may move to another target when no event arrives for this multiple of its
# longest expected gap.
IDLE_TIMEOUT_GAPS = 4.0
MIN_IDLE_TIMEOUT_S = 0.8


@dataclass(slots=True)
class Progress:
    """What the caller has received of the stream so far.

    Attributes
    ----------
    longest_step : int or None
        Largest difference between an event's id and the one before; None if the caller
        took the stream up and has no event of this response yet.
    """

    last_event_id: int | None
    is_started: bool = False
    first_event_at: float = 0.0
    longest_step: int | None = None

    def record_id(self, event_id: int) -> None:
        """Record the id of the next event."""
        # Ids count from 1, or count what an event holds.
        step = event_id - (self.last_event_id or 0)
        self.longest_step = max(step, self.longest_step or 1)
        self.last_event_id = event_id

    def has(self, event_id: int) -> bool:
        """Return whether the caller has an event."""
        return self.last_event_id is not None and event_id <= self.last_event_id

    def lacks_events_before(self, event_id: int) -> bool:
        """Return whether events are missing if another target goes on with this id.

        Ids increase, by how much is up to the target (PROTOCOL, Requests).
        """
        if self.last_event_id is None or self.longest_step is None:
            return False
        return event_id - self.last_event_id > self.longest_step


class StreamInterrupted(TargetFailed):
    """A stream broke off or stalled before its end."""


class EventRelay:
    """Relays the events of one target to the caller.

    Parameters
    ----------
    timer : StallTimer
        Runs while the next event of the target is waited for.
    on_content : callable
        Called before events are relayed.
    """

    def __init__(
        self,
        call: Call,
        response: TargetResponse,
        reply: ResponseWriter,
        progress: Progress,
        inputs: Inputs,
        timer: StallTimer,
        on_content: Callable[[], None],
    ) -> None:
        self._on_content = on_content
        self._call = call
        self._response = response
        self._reply = reply
        self._progress = progress
        self._inputs = inputs
        self._timer = timer
        self._loop = asyncio.get_running_loop()
        self._comment_bytes = 0
        self._has_ids = False

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
                new_events, gap = self._select_new(events)
                await self._relay_events(new_events)
                if gap:
                    raise self._interrupted(gap)
        self._timer.stop()
        if splitter.has_partial_event:
            raise self._interrupted("stream ended within an event", step="end")
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
            return
        # Comments show that the connection is alive, not that work progresses.
        self._comment_bytes += len(data)
        if self._comment_bytes > MAX_COMMENT_BYTES:
            raise self._interrupted(
                f"more than {MAX_COMMENT_BYTES} bytes of comments without an event"
            )
        if data and self._progress.is_started:
            await self._reply.send_data(data)

    def _select_new(self, events: list[Event]) -> tuple[list[Event], str]:
        """Return the events of one read that the caller lacks, and what is wrong.

        What is returned counts as received: it must not be sent twice. No event is lost
        within a response, so that only its first id can show that some are missing.
        """
        progress = self._progress
        new_events: list[Event] = []
        for event in events:
            if event.id is not None:
                if not self._has_ids and progress.lacks_events_before(event.id):
                    last = progress.last_event_id
                    return new_events, f"gap in event ids: {event.id} after {last}"
                self._has_ids = True
                if progress.has(event.id):
                    continue
                progress.record_id(event.id)
            new_events.append(event)
        return new_events, ""

    async def _relay_content(self, data: bytes) -> None:
        if not self._progress.first_event_at:
            self._progress.first_event_at = self._loop.time()
            self._call.record_step("first_event")
            taken = self._progress.first_event_at - self._response.sent_at
            self._inputs.record_target_time(taken)
        self._on_content()
        # A caller that reads slowly is no silence of the target.
        self._timer.stop()
        if not self._progress.is_started:
            await self._start()
        self._inputs.release()
        await self._reply.send_data(data)
        if self._call.can_retry(after=1):
            self._timer.start(self._longest_gap())

    async def _start(self) -> None:
        head = self._response.head
        self._progress.is_started = True
        self._call.has_begun = True
        await self._reply.start(
            ResponseHead(head.status, end_to_end_fields(head.fields))
        )

    def _longest_gap(self) -> float:
        return max(
            MIN_IDLE_TIMEOUT_S, IDLE_TIMEOUT_GAPS * self._call.route.max_event_gap
        )

    def _interrupted(self, reason: str, step: str = "stream") -> StreamInterrupted:
        return StreamInterrupted(reason, step=step, peer=self._response.target.id)
