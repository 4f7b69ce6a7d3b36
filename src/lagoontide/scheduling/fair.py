"""Fair shares between client accounts, and least slack within each."""

import heapq
from itertools import count

from lagoontide.scheduling.waiting import Waiting

__all__ = ["FairLane"]


class FairLane:
    """Waiting calls of one class, by start-time fair queueing over accounts.

    Each account has a virtual time that moves on by cost over weight with each
    call it starts; the account that is furthest behind comes next. An account
    that comes back after a pause starts at the lane's time, so that nobody
    saves up a claim by staying away.
    """

    def __init__(self) -> None:
        self._calls: dict[str, list[tuple[float, int, Waiting]]] = {}
        self._times: dict[str, float] = {}
        self._order: list[tuple[float, int, str]] = []
        self._numbers = count()
        self._now = 0.0
        self._gone: set[str] = set()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(self, item: Waiting) -> None:
        """Add a call."""
        calls = self._calls.setdefault(item.account, [])
        if not calls:
            start = max(self._now, self._times.get(item.account, 0.0))
            self._times[item.account] = start
            entry = (start, next(self._numbers), item.account)
            heapq.heappush(self._order, entry)
        heapq.heappush(calls, (item.latest_start, next(self._numbers), item))
        self._size += 1

    def remove(self, attempt: str) -> None:
        """Take out a call that waits here."""
        self._gone.add(attempt)
        self._size -= 1

    def pop(self) -> Waiting | None:
        """Remove and return the call to start next, or None."""
        while self._order:
            start, _, account = heapq.heappop(self._order)
            item = self._pop_of(account)
            if item is None:
                del self._calls[account]
                continue
            self._size -= 1
            self._now = max(self._now, start)
            self._times[account] = start + item.cost / item.weight
            if self._calls[account]:
                again = (self._times[account], next(self._numbers), account)
                heapq.heappush(self._order, again)
            else:
                del self._calls[account]
            self._forget_idle()
            return item
        return None

    def _pop_of(self, account: str) -> Waiting | None:
        calls = self._calls[account]
        while calls:
            item = heapq.heappop(calls)[2]
            if item.attempt not in self._gone:
                return item
            self._gone.discard(item.attempt)
        return None

    def _forget_idle(self) -> None:
        """Drop the times of accounts that are no longer ahead of the lane."""
        if len(self._times) <= 2 * len(self._calls) + 64:
            return
        self._times = {
            name: at
            for name, at in self._times.items()
            if name in self._calls or at > self._now
        }
