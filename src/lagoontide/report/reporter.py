"""An entry's part in reports: what it hands over when it is asked."""

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from lagoontide.configuration.document import Document
from lagoontide.configuration.holder import Holder
from lagoontide.pipeline.story import Story
from lagoontide.report.burn import DEFAULT_OBJECTIVE
from lagoontide.report.messages import (
    EntryReport,
    Objectives,
    Point,
    SlotData,
    Snapshot,
    Span,
)
from lagoontide.report.recorder import Recorder
from lagoontide.report.shrink import shrink
from lagoontide.report.slots import Slot
from lagoontide.report.tally import Tally
from lagoontide.report.trace import Trace, TraceRing
from lagoontide.report.window import Window

__all__ = ["Reporter", "make_objectives", "make_points"]

# Ended requests, with their bodies, that are held at most before they are counted.
BATCH = 16

Run = Callable[..., Awaitable[Any]]


class Reporter:
    """Counts and traces of one entry; all methods run on its loop.

    Parameters
    ----------
    find_domain : callable
        Gives a target's failure domain, or an empty string.
    clock : callable, optional
        Gives the time in which stories are told; else the loop's.
    run : callable
        Runs what would hold up requests, apart from the loop.

    Attributes
    ----------
    incarnation : str
        New with each start, so that counts of two processes are told apart.
    """

    def __init__(
        self,
        entry: str,
        failure_domain: str,
        holder: Holder,
        find_domain: Callable[[str], str],
        clock: Callable[[], float] | None = None,
        run: Run = asyncio.to_thread,
    ) -> None:
        self.entry = entry
        self.failure_domain = failure_domain
        self.incarnation = uuid.uuid4().hex[:12]
        self._holder = holder
        self._run = run
        self._clock = clock or asyncio.get_running_loop().time
        self._recorder = Recorder(find_domain, self._is_route, self._clock())
        self._ring = TraceRing(entry)
        self._pending: list[Story] = []

    def take(self, story: Story) -> None:
        """Take a request that has ended; it is counted with others or when read."""
        self._pending.append(story)
        if len(self._pending) >= BATCH:
            self._count_pending()

    def _count_pending(self) -> None:
        """Count in one go, which a processor's caches make cheaper."""
        stories, self._pending = self._pending, []
        for story in stories:
            self._ring.take(story, self._recorder.take(story))

    def find_trace(self, request: str) -> Trace | None:
        """Return the trace of a request, if it is kept here."""
        self._count_pending()
        return self._ring.find(request)

    @property
    def covered(self) -> float:
        """Seconds since this entry began to count."""
        return self._clock() - self._recorder.slots.started

    async def report(self, seconds: tuple[float, ...]) -> EntryReport:
        """Return what ended in each of the last so many seconds."""
        now = self._clock()
        self._count_pending()
        slots = self._recorder.slots.list(now)
        return EntryReport(
            entry=self.entry,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            covered=self.covered,
            objectives=self.objectives,
            spans=await self._run(_make_spans, slots, now, seconds),
            points=make_points(slots, now),
        )

    async def snapshot(self) -> bytes:
        """Return the coded snapshot of now."""
        now = self._clock()
        self._count_pending()
        slots = self._recorder.slots.list(now)
        head = Snapshot(
            entry=self.entry,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            written=time.time(),
            covered=self.covered,
            objectives=self.objectives,
            slots=(),
        )
        return await self._run(_code_snapshot, head, slots, now)

    @property
    def objectives(self) -> Objectives:
        """Objectives of the document in force."""
        if not self._holder.is_ready:
            return Objectives()
        return make_objectives(self._holder.version, self._holder.document)

    def _is_route(self, name: str) -> bool:
        return self._holder.is_ready and name in self._holder.document.routes


def _make_spans(
    slots: list[Slot], now: float, seconds: tuple[float, ...]
) -> tuple[Span, ...]:
    windows = {second: Window() for second in seconds}
    for slot in slots:
        for second, window in windows.items():
            if slot.end > now - second:
                window.merge(slot.window)
    return tuple(Span(second, window.to_data()) for second, window in windows.items())


def _code_snapshot(head: Snapshot, slots: list[Slot], now: float) -> bytes:
    data = tuple(
        SlotData(now - slot.start, slot.end - slot.start, slot.window.to_data())
        for slot in slots
    )
    return shrink(msgspec.structs.replace(head, slots=data))


def make_objectives(version: int, document: Document) -> Objectives:
    """Return the objectives of a document."""
    own = {
        name: getattr(account, "objective", None)
        for name, account in document.accounts.items()
    }
    return Objectives(
        version,
        {
            name: getattr(route, "objective", DEFAULT_OBJECTIVE)
            for name, route in document.routes.items()
        },
        {name: share for name, share in own.items() if share is not None},
        getattr(document, "objective_window", 0.0),
    )


def make_points(slots: list[Slot], now: float) -> tuple[Point, ...]:
    """Return the requests of each route in each slot."""
    points = []
    for slot in slots:
        routes: dict[str, Tally] = {}
        for key, tally in slot.window.requests.items():
            routes.setdefault(key.route, Tally()).merge(tally)
        age = now - slot.start
        points += [
            Point(name, age, slot.end - slot.start, x) for name, x in routes.items()
        ]
    return tuple(points)
