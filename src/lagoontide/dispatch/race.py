"""Attempts of one call that run side by side."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from lagoontide.dispatch.call import StageCall
from lagoontide.dispatch.messages import Done, Failed, Unknown
from lagoontide.dispatch.outcomes import Result
from lagoontide.membership.link import Link

__all__ = ["Race", "Try"]

Begin = Callable[[Link, str], Coroutine[Any, Any, Result]]
PickOther = Callable[[], Link | None]

MAX_ACTIVE = 2
MAX_TRIES = 4


@dataclass(slots=True)
class Try:
    """One attempt of a race."""

    id: str
    link: Link
    task: asyncio.Task[Result]
    started: float
    resumed: bool = False
    ended: float = 0.0
    withdrawn: bool = False
    is_late: bool = False

    @property
    def is_done(self) -> bool:
        """Whether it has ended with a result that is one."""
        return not self.task.cancelled() and isinstance(self.task.result(), Done)


@dataclass(slots=True)
class Race:
    """Attempts of one call that run side by side; the first result wins.

    Attributes
    ----------
    number : int
        Of its next attempt within the call.
    leader : str
        The attempt whose tokens the caller gets; empty while that is open.
    """

    call: StageCall
    begin: Begin
    pick_other: PickOther
    number: int
    tries: list[Try] = field(default_factory=list)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    leader: str = ""

    def start(self, link: Link) -> None:
        """Begin one more attempt."""
        loop = asyncio.get_running_loop()
        attempt = f"{self.call.attempt_prefix}.{self.number}"
        self.number += 1
        link.health.begin(loop.time())
        task = loop.create_task(self.begin(link, attempt))
        item = Try(attempt, link, task, loop.time(), bool(self.call.tokens.settled))
        task.add_done_callback(lambda _: self._note_end(item))
        self.tries.append(item)
        link.health.watchers.add(self.wake)

    @property
    def may_grow(self) -> bool:
        """Whether one more attempt may begin; one that was refused does not count."""
        active = [item.id for item in self.tries if not item.task.done()]
        if self.leader in active:
            return False
        return len(active) < MAX_ACTIVE and len(self.tries) < MAX_TRIES

    def give_way(self, leader: str) -> None:
        """Cancel all attempts but the one whose tokens the caller gets."""
        self.leader = leader
        for item in self.tries:
            if item.id != leader and not item.task.done():
                item.task.cancel()

    def _note_end(self, item: Try) -> None:
        item.ended = asyncio.get_running_loop().time()
        item.link.health.end()
        self.wake.set()

    @property
    def winner(self) -> Try | None:
        """The attempt that decides, or None while one may still succeed."""
        ended = [item for item in self.tries if item.task.done()]
        if len(ended) < len(self.tries):
            return next((item for item in ended if item.is_done), None)
        ended = [item for item in ended if not item.task.cancelled()]
        # A result decides; then what is least certain: another's NotRun says
        # nothing of it.
        return max(ended, key=lambda item: _weight(item.task.result()))

    def stop(self) -> None:
        """Cancel the attempts that still run; each tells its agent so."""
        for item in self.tries:
            item.link.health.watchers.discard(self.wake)
            if not item.task.done():
                item.ended = asyncio.get_running_loop().time()
                item.task.cancel()


def _weight(result: Result) -> int:
    match result:
        case Done():
            return 3
        case Unknown():
            return 2
        case Failed():
            return 1
        case _:
            return 0
