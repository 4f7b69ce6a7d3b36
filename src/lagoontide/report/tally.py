"""Counts of how requests and attempts ended."""

from enum import Enum

import msgspec

from lagoontide.pipeline.story import Story

__all__ = ["AttemptTally", "Result", "Tally", "classify"]


class Result(Enum):
    """How a request counts towards its objective."""

    GOOD = "good"
    LATE = "late"
    FAILED = "failed"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"
    REFUSED = "refused"


_BY_OUTCOME = {
    "failed": Result.FAILED,
    "unknown": Result.UNKNOWN,
    "not_run": Result.NOT_RUN,
    "refused": Result.REFUSED,
}


def classify(story: Story) -> Result:
    """Return how an ended request counts; a right answer may still be late."""
    if story.outcome != "done":
        return _BY_OUTCOME.get(story.outcome, Result.FAILED)
    elapsed = story.ended - story.started
    return Result.GOOD if elapsed <= story.budget else Result.LATE


class Tally(msgspec.Struct, array_like=True, gc=False):
    """Requests by result.

    Attributes
    ----------
    refused : int
        Refused at the door before any work; in neither ``total`` nor ``bad``.
    """

    good: int = 0
    late: int = 0
    failed: int = 0
    unknown: int = 0
    not_run: int = 0
    refused: int = 0

    @property
    def bad(self) -> int:
        """Accepted requests that got no right answer in time."""
        return self.late + self.failed + self.unknown + self.not_run

    @property
    def total(self) -> int:
        """Accepted requests."""
        return self.good + self.bad

    def add(self, result: Result) -> None:
        """Count one request."""
        match result:
            case Result.GOOD:
                self.good += 1
            case Result.LATE:
                self.late += 1
            case Result.FAILED:
                self.failed += 1
            case Result.UNKNOWN:
                self.unknown += 1
            case Result.NOT_RUN:
                self.not_run += 1
            case Result.REFUSED:
                self.refused += 1

    def merge(self, other: "Tally") -> None:
        """Add the counts of another tally."""
        self.good += other.good
        self.late += other.late
        self.failed += other.failed
        self.unknown += other.unknown
        self.not_run += other.not_run
        self.refused += other.refused


class AttemptTally(msgspec.Struct, array_like=True, gc=False):
    """Attempts of a stage at one target.

    Attributes
    ----------
    lost : int
        Attempts that ended without their result, but for not_run and overtaken.
    overtaken : int
        Attempts that were given up because another one was faster.
    spent : int
        Requests that missed their objective mostly because of this target.
    waste_ms : int
        Milliseconds that requests waited for attempts that gave nothing.
    """

    done: int = 0
    not_run: int = 0
    lost: int = 0
    overtaken: int = 0
    spent: int = 0
    waste_ms: int = 0

    @property
    def total(self) -> int:
        """All attempts."""
        return self.done + self.not_run + self.lost + self.overtaken

    def merge(self, other: "AttemptTally") -> None:
        """Add the counts of another tally."""
        self.done += other.done
        self.not_run += other.not_run
        self.lost += other.lost
        self.overtaken += other.overtaken
        self.spent += other.spent
        self.waste_ms += other.waste_ms
