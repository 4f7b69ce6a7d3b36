"""An entry's part in reports: what it hands over when it is asked."""

import asyncio
import uuid
from collections.abc import Callable

from lagoontide.configuration.document import Document
from lagoontide.configuration.holder import Holder
from lagoontide.pipeline.story import Story
from lagoontide.report.burn import DEFAULT_OBJECTIVE
from lagoontide.report.messages import (
    EntryReport,
    Objectives,
    Point,
    SlotData,
    Span,
)
from lagoontide.report.recorder import Recorder
from lagoontide.report.slots import Slot
from lagoontide.report.tally import Tally
from lagoontide.report.trace import Trace, TraceRing
from lagoontide.report.window import Window

__all__ = ["Reporter", "make_objectives", "make_points"]


class Reporter:
    """Counts and traces of one entry; all methods run on its loop.

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
    ) -> None:
        self.entry = entry
        self.failure_domain = failure_domain
        self.incarnation = uuid.uuid4().hex[:12]
        self._holder = holder
        self._loop = asyncio.get_running_loop()
        self._recorder = Recorder(find_domain, self._is_route, self._loop.time())
        self._ring = TraceRing(entry)

    def take(self, story: Story) -> None:
        """Take a request that has ended."""
        self._ring.take(story, self._recorder.take(story))

    def find_trace(self, request: str) -> Trace | None:
        """Return the trace of a request, if it is kept here."""
        return self._ring.find(request)

    def list_traces(self) -> list[Trace]:
        """Return all traces that are kept."""
        return self._ring.list()

    @property
    def covered(self) -> float:
        """Seconds since this entry began to count."""
        return self._loop.time() - self._recorder.slots.started

    async def report(self, seconds: tuple[float, ...]) -> EntryReport:
        """Return what ended in each of the last so many seconds.

        Gives way to requests after each slot.
        """
        now = self._loop.time()
        slots = self._recorder.slots.list(now)
        windows = {second: Window() for second in seconds}
        for slot in slots:
            for second, window in windows.items():
                if slot.end > now - second:
                    window.merge(slot.window)
            await asyncio.sleep(0)
        spans = [Span(second, window.to_data()) for second, window in windows.items()]
        return EntryReport(
            entry=self.entry,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            covered=self.covered,
            objectives=self.objectives,
            spans=tuple(spans),
            points=make_points(slots, now),
        )

    async def list_slots(self) -> tuple[SlotData, ...]:
        """Return all slots as a snapshot keeps them."""
        now = self._loop.time()
        slots = []
        for slot in self._recorder.slots.list(now):
            data = slot.window.to_data()
            slots.append(SlotData(now - slot.start, slot.end - slot.start, data))
            await asyncio.sleep(0)
        return tuple(slots)

    @property
    def objectives(self) -> Objectives:
        """Objectives of the document in force."""
        if not self._holder.is_ready:
            return Objectives()
        return make_objectives(self._holder.version, self._holder.document)

    def _is_route(self, name: str) -> bool:
        return self._holder.is_ready and name in self._holder.document.routes


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
