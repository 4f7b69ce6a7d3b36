"""How attempts and stage calls ended, for the request's story."""

from dataclasses import dataclass
from enum import StrEnum

from lagoontide.dispatch.messages import Done, Failed, NotRun, Unknown

__all__ = ["Attempt", "AttemptOutcome", "Outcome", "Result", "find_outcome"]

Result = Done | NotRun | Failed | Unknown


class AttemptOutcome(StrEnum):
    """How one attempt ended."""

    DONE = "Done"
    NOT_RUN = "NotRun"
    FAILED = "Failed"
    UNKNOWN = "Unknown"
    CANCELLED = "Cancelled"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try of a stage call.

    Attributes
    ----------
    started, ended : float
        Loop times.
    """

    id: str
    target: str
    outcome: AttemptOutcome
    started: float
    ended: float
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a stage call ended, at which peer and after which attempts."""

    result: Result
    peer: str
    attempts: tuple[Attempt, ...]


def find_outcome(result: Result) -> AttemptOutcome:
    """Return the outcome that a result stands for."""
    match result:
        case Done():
            return AttemptOutcome.DONE
        case NotRun():
            return AttemptOutcome.NOT_RUN
        case Failed():
            return AttemptOutcome.FAILED
        case Unknown():
            return AttemptOutcome.UNKNOWN
