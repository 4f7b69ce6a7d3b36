"""Which attempt of a request spent its error budget."""

from dataclasses import dataclass

from lagoontide.pipeline.story import Story
from lagoontide.pipeline.walk import StageReport

__all__ = ["Blame", "Typical", "find_blame"]

NO_TARGET = "(none)"
SMOOTHING = 0.05
# A share of the budget that an ended request must have left for its end not
# to count as a matter of time.
TIME_LEFT = 0.1


@dataclass(frozen=True, slots=True)
class Blame:
    """Where a request lost its answer or most of its time."""

    stage: str
    target: str


class Typical:
    """Running means of how long the stages of each route take, in seconds."""

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def get(self, route: str, stage: str) -> float:
        """Return the mean; 0 before the first good request."""
        return self._means.get((route, stage), 0.0)

    def observe(self, story: Story) -> None:
        """Take the stages of a good request."""
        for report in story.stages:
            key = (story.route, report.stage)
            elapsed = report.ended - report.started
            mean = self._means.get(key, elapsed)
            self._means[key] = mean + SMOOTHING * (elapsed - mean)


def find_blame(story: Story, typical: Typical) -> Blame:
    """Return the stage and target that spent the budget of a bad request.

    One that ended with time in hand is put down to the attempt that ended it; one
    that ran out of time to the longest attempt of the stage that took the most
    over its usual time.
    """
    if not story.stages:
        return Blame(story.step or NO_TARGET, story.peer or NO_TARGET)
    last = story.stages[-1]
    left = story.started + story.budget - story.ended
    if left > TIME_LEFT * story.budget:
        return Blame(last.stage, _last_target(last))
    worst = max(
        story.stages,
        key=lambda x: x.ended - x.started - typical.get(story.route, x.stage),
    )
    return Blame(worst.stage, _longest_target(worst))


def _last_target(report: StageReport) -> str:
    attempts = report.outcome.attempts
    return attempts[-1].target if attempts else NO_TARGET


def _longest_target(report: StageReport) -> str:
    attempts = report.outcome.attempts
    longest = max(attempts, key=lambda x: x.ended - x.started, default=None)
    return longest.target if longest else NO_TARGET
