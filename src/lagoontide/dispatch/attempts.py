"""The agent's record of attempts: what ran, what runs and what never will."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

from lagoontide.dispatch.messages import Done, Failed, NotRun, Unknown

__all__ = ["AttemptLog", "AttemptState", "Final", "Record"]

Final = Done | NotRun | Failed | Unknown


class AttemptState(Enum):
    """How far an attempt has come."""

    QUEUED = auto()
    RUNNING = auto()
    ENDED = auto()


@dataclass(slots=True)
class Record:
    """What the agent knows of one attempt.

    Attributes
    ----------
    final : Future
        Resolves with the attempt's last message.
    ended_at : float
        Loop time of its end.
    """

    attempt: str
    state: AttemptState
    final: asyncio.Future[Final] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    ended_at: float = 0.0

    def end(self, result: Final, now: float) -> None:
        """Resolve the record once; a later result is ignored."""
        if self.final.done():
            return
        self.state = AttemptState.ENDED
        self.ended_at = now
        self.final.set_result(result)


class AttemptLog:
    """Records by attempt id; ended ones are kept for a window and a size.

    Parameters
    ----------
    window : float
        Seconds that an ended record is kept.
    max_bytes : int
        Bytes of results kept at most.
    """

    def __init__(self, window: float, max_bytes: int) -> None:
        self._window = window
        self._max_bytes = max_bytes
        self._records: dict[str, Record] = {}
        self._ended: OrderedDict[str, int] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, attempt: str) -> Record | None:
        """Return the record of an attempt, or None if it was never seen."""
        return self._records.get(attempt)

    def add(self, attempt: str) -> Record:
        """Record an attempt that now waits."""
        record = Record(attempt, AttemptState.QUEUED)
        self._records[attempt] = record
        return record

    def end(self, record: Record, result: Final, now: float) -> None:
        """Keep the last message of an attempt and let go of what is too old."""
        record.end(result, now)
        size = len(result.body) if isinstance(result, Done) else 0
        self._ended[record.attempt] = size
        self._bytes += size
        self._evict(now)

    def bury(self, attempt: str, reason: str, now: float) -> Record:
        """Record that an attempt never seen will not run."""
        record = self.add(attempt)
        self.end(record, NotRun(attempt, reason), now)
        return record

    def _evict(self, now: float) -> None:
        while self._ended:
            attempt, size = next(iter(self._ended.items()))
            fresh = now - self._records[attempt].ended_at < self._window
            if fresh and self._bytes <= self._max_bytes:
                return
            del self._ended[attempt]
            del self._records[attempt]
            self._bytes -= size
