"""The agent's record of attempts: what ran, what runs and what never will."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

from lagoontide.dispatch.messages import Done, Failed, NotRun, Unknown

__all__ = [
    "EPOCH_S",
    "MAX_EPOCH_AGE",
    "AttemptLog",
    "AttemptState",
    "Final",
    "Record",
    "is_stale",
]

# An agent numbers its time in epochs; a message names the newest that its sender
# had heard of. One that names an older epoch than these is refused, so a record
# that is kept for longer than (MAX_EPOCH_AGE + 1) * EPOCH_S cannot be missed by a
# copy that comes late.
EPOCH_S = 60.0
MAX_EPOCH_AGE = 2

Final = Done | NotRun | Failed | Unknown


def is_stale(epoch: int, now_epoch: int) -> bool:
    """Whether a message of ``epoch`` may concern a record that is gone."""
    return now_epoch - epoch > MAX_EPOCH_AGE


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
    repeatable : bool
        Whether its result may be let go of before its time.
    tokens : list of str
        Tokens that the attempt has given, after those it resumed from.
    first : int
        Position of the first of these tokens.
    final : Future
        Resolves with the attempt's last message.
    ended_at : float
        Loop time of its end.
    """

    attempt: str
    state: AttemptState
    repeatable: bool = True
    first: int = 0
    tokens: list[str] = field(default_factory=list)
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

    def tokens_from(self, position: int) -> list[str]:
        """Return the tokens from a position of the whole generation on."""
        return self.tokens[max(0, position - self.first) :]

    def drop_result(self) -> int:
        """Let go of the result but not of the record; return the bytes freed."""
        result = self.final.result()
        if not isinstance(result, Done):
            return 0
        self.final = asyncio.get_running_loop().create_future()
        gone = Failed(self.attempt, "the result is no longer kept", result.load)
        self.final.set_result(gone)
        self.tokens = []
        return len(result.body)


class AttemptLog:
    """Records by attempt id, ended ones kept for a window.

    Results of repeatable attempts are let go of early when there are too many
    bytes; their records stay. Results that may not be produced again stay for
    the window; `is_full` tells when no more of them should be taken on.

    Parameters
    ----------
    window : float
        Seconds that an ended record is kept; more than the time for which
        copies of its call are taken.
    max_bytes : int
        Bytes of results.
    """

    def __init__(self, window: float, max_bytes: int) -> None:
        if window <= (MAX_EPOCH_AGE + 1) * EPOCH_S:
            raise ValueError(f"a window of {window} s lets late copies run again")
        self._window = window
        self._max_bytes = max_bytes
        self._records: dict[str, Record] = {}
        self._ended: OrderedDict[str, None] = OrderedDict()
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._repeatable_bytes = 0
        self._lasting_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def kept_bytes(self) -> int:
        """Bytes of results kept."""
        return self._repeatable_bytes + self._lasting_bytes

    @property
    def is_full(self) -> bool:
        """Whether results that must stay take all the room there is."""
        return self._lasting_bytes >= self._max_bytes

    def get(self, attempt: str) -> Record | None:
        """Return the record of an attempt, or None if it was never seen."""
        return self._records.get(attempt)

    def add(self, attempt: str, repeatable: bool = True, first: int = 0) -> Record:
        """Record an attempt that now waits."""
        record = Record(attempt, AttemptState.QUEUED, repeatable, first)
        self._records[attempt] = record
        return record

    def end(self, record: Record, result: Final, now: float) -> None:
        """Keep the last message of an attempt and let go of what is too old."""
        if record.final.done():
            return
        record.end(result, now)
        size = len(result.body) if isinstance(result, Done) else 0
        self._ended[record.attempt] = None
        if record.repeatable:
            self._sizes[record.attempt] = size
            self._repeatable_bytes += size
        else:
            self._lasting_bytes += size
        self.evict(now)

    def bury(self, attempt: str, reason: str, now: float) -> Record:
        """Record that an attempt never seen will not run."""
        record = self.add(attempt)
        self.end(record, NotRun(attempt, reason), now)
        return record

    def evict(self, now: float) -> None:
        """Let go of records past their window and of results past the bytes."""
        while self._ended:
            attempt = next(iter(self._ended))
            if now - self._records[attempt].ended_at < self._window:
                break
            self._forget(attempt)
        while self._sizes and self.kept_bytes > self._max_bytes:
            attempt, size = self._sizes.popitem(last=False)
            self._repeatable_bytes -= size
            self._records[attempt].drop_result()

    def _forget(self, attempt: str) -> None:
        del self._ended[attempt]
        record = self._records.pop(attempt)
        if record.repeatable:
            self._repeatable_bytes -= self._sizes.pop(attempt, 0)
            return
        result = record.final.result()
        self._lasting_bytes -= len(result.body) if isinstance(result, Done) else 0
