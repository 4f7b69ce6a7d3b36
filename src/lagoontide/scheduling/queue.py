"""Order of the work that waits at an agent."""

import heapq
from dataclasses import dataclass
from itertools import count

from lagoontide.configuration.document import Priority

__all__ = ["Queue", "Waiting"]

RANK = {Priority.HIGH: 0, Priority.NORMAL: 1, Priority.LOW: 2}


@dataclass(frozen=True, slots=True)
class Waiting:
    """A call that waits for its start.

    Attributes
    ----------
    deadline : float
        Loop time after which its answer is of no use.
    cost : float
        Expected seconds of the target's time.
    """

    attempt: str
    account: str
    priority: Priority
    deadline: float
    cost: float = 1.0


class Queue:
    """Waiting calls, the most urgent first and then in order of arrival."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Waiting]] = []
        self._numbers = count()
        self._waiting: dict[str, Waiting] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, item: Waiting) -> None:
        """Add a call."""
        self._waiting[item.attempt] = item
        entry = (RANK[item.priority], next(self._numbers), item)
        heapq.heappush(self._heap, entry)

    def pop(self) -> Waiting | None:
        """Remove and return the call to start next, or None."""
        while self._heap:
            item = heapq.heappop(self._heap)[2]
            if self._waiting.pop(item.attempt, None) is not None:
                return item
        return None

    def remove(self, attempt: str) -> Waiting | None:
        """Remove a call that is not to start; return it if it waited."""
        return self._waiting.pop(attempt, None)
