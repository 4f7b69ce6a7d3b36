"""Deadlines of stages: what the stages that follow are expected to need."""

from collections.abc import Sequence

from lagoontide.configuration.document import Stage
from lagoontide.dispatch.pace import Pace, WorkPace

__all__ = ["find_pace", "least_time", "size_of", "stage_deadline"]


def size_of(stage: Stage) -> int:
    """Return the tokens that a stage may give, or 0 if the document says none."""
    match stage.constants.get("max_tokens"):
        case int(size) if size > 0:
            return size
        case _:
            return 0


def find_pace(pace: Pace, stage: Stage) -> WorkPace:
    """Return what is known of a stage's durations."""
    kind = (stage.operation, size_of(stage).bit_length())
    return pace.of(stage.service).of(kind)


def least_time(pace: Pace, stages: Sequence[Stage]) -> float:
    """Return the seconds that stages hardly ever undercut, one after the other."""
    return sum(find_pace(pace, stage).quick.value for stage in stages)


def stage_deadline(
    pace: Pace, stages: Sequence[Stage], index: int, deadline: float
) -> float:
    """Return the loop time by which a stage must end for the rest to be in time.

    A stage that may not be repeated keeps the whole time: giving it up early
    would leave its outcome unknown for nothing.

    Parameters
    ----------
    index : int
        Of the stage among the route's.
    deadline : float
        Loop time by which the whole answer is due.
    """
    if not stages[index].repeatable:
        return deadline
    return deadline - least_time(pace, stages[index + 1 :])
