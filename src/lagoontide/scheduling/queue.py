"""Order of the work that waits at an agent."""

import heapq
from dataclasses import dataclass
from itertools import count
from typing import Protocol

from lagoontide.scheduling.fair import FairLane
from lagoontide.scheduling.waiting import RANK, Waiting

__all__ = ["ArrivalQueue", "FairQueue", "Queue"]

RANKS = len(RANK)
# Of so many starts one goes to the least urgent class, so that none starves.
TURNS = 16


class Queue(Protocol):
    """Waiting calls in the order in which they start."""

    def __len__(self) -> int:
        """Return how many calls wait."""

    def push(self, item: Waiting) -> None:
        """Add a call."""

    def pop(self, long_slots: int) -> Waiting | None:
        """Remove and return the call to start next, or None.

        Parameters
        ----------
        long_slots : int
            Long calls that may still start now.
        """

    def remove(self, attempt: str) -> Waiting | None:
        """Remove a call that is not to start; return it if it waited."""

    def work_before(self, item: Waiting) -> float:
        """Return the expected seconds of the calls that start before a new one."""


class ArrivalQueue:
    """The most urgent first and then in order of arrival: the first version."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Waiting]] = []
        self._numbers = count()
        self._waiting: dict[str, Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, item: Waiting) -> None:
        """See Queue."""
        self._waiting[item.attempt] = item
        entry = (RANK[item.priority], next(self._numbers), item)
        heapq.heappush(self._heap, entry)

    def pop(self, long_slots: int) -> Waiting | None:
        """See Queue; long calls are no matter here."""
        while self._heap:
            item = heapq.heappop(self._heap)[2]
            if self._waiting.pop(item.attempt, None) is not None:
                return item
        return None

    def remove(self, attempt: str) -> Waiting | None:
        """See Queue."""
        return self._waiting.pop(attempt, None)

    def work_before(self, item: Waiting) -> float:
        """See Queue; nothing is known of it here."""
        return 0.0


@dataclass(slots=True)
class Part:
    """What waits of one account."""

    weight: float
    calls: int = 0
    work: float = 0.0


class Backlog:
    """Expected work of the waiting calls of a class, in all and by account.

    Attributes
    ----------
    work : float
        Expected seconds.
    """

    def __init__(self) -> None:
        self.work = 0.0
        self._weights = 0.0
        self._parts: dict[str, Part] = {}

    def add(self, item: Waiting) -> None:
        """Count a call that waits."""
        part = self._parts.get(item.account)
        if part is None:
            part = self._parts[item.account] = Part(item.weight)
            self._weights += item.weight
        part.calls += 1
        part.work += item.cost
        self.work += item.cost

    def remove(self, item: Waiting) -> None:
        """Count a call that waits no more."""
        part = self._parts[item.account]
        part.calls -= 1
        part.work -= item.cost
        self.work -= item.cost
        if not part.calls:
            del self._parts[item.account]
            self._weights -= part.weight

    def work_before(self, item: Waiting) -> float:
        """Return the work that starts before a new call of an account.

        While its account has its share, what others have beyond theirs does
        not come before it.
        """
        part = self._parts.get(item.account)
        if part is None:
            return 0.0
        return min(self.work, part.work * self._weights / part.weight)


class FairQueue:
    """Priority, then fair shares between accounts, then least slack.

    Long calls have lanes of their own. While they have slots left they come
    first within their class, as their slots are few; otherwise they wait and
    block nobody.
    """

    def __init__(self) -> None:
        self._short = tuple(FairLane() for _ in range(RANKS))
        self._long = tuple(FairLane() for _ in range(RANKS))
        self._waiting: dict[str, Waiting] = {}
        self._backlogs = tuple(Backlog() for _ in range(RANKS))
        self._turns = count(1)

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, item: Waiting) -> None:
        """See Queue."""
        self._waiting[item.attempt] = item
        self._lane_of(item).push(item)
        if not item.is_long:
            self._backlogs[RANK[item.priority]].add(item)

    def pop(self, long_slots: int) -> Waiting | None:
        """See Queue."""
        if not self._waiting:
            return None
        ranks = range(RANKS)
        if next(self._turns) % TURNS == 0:
            ranks = ranks[::-1]
        for rank in ranks:
            item = self._pop_rank(rank, long_slots)
            if item is not None:
                del self._waiting[item.attempt]
                self._leave(item)
                return item
        return None

    def remove(self, attempt: str) -> Waiting | None:
        """See Queue."""
        item = self._waiting.pop(attempt, None)
        if item is not None:
            self._lane_of(item).remove(attempt)
            self._leave(item)
        return item

    def work_before(self, item: Waiting) -> float:
        """See Queue."""
        rank = RANK[item.priority]
        above = sum(backlog.work for backlog in self._backlogs[:rank])
        return max(0.0, above + self._backlogs[rank].work_before(item))

    def _lane_of(self, item: Waiting) -> FairLane:
        lanes = self._long if item.is_long else self._short
        return lanes[RANK[item.priority]]

    def _pop_rank(self, rank: int, long_slots: int) -> Waiting | None:
        if long_slots > 0 and len(self._long[rank]):
            return self._long[rank].pop()
        return self._short[rank].pop()

    def _leave(self, item: Waiting) -> None:
        if not item.is_long:
            self._backlogs[RANK[item.priority]].remove(item)
