"""Whether a request with stages is begun, or asked to come back."""

from collections.abc import Collection
from dataclasses import dataclass

from lagoontide.routes.urgency import LATE_URGENCY

__all__ = ["Forecast", "Verdict", "judge", "share_of"]

RETURN_MIN_S = 0.1
# Callers come back within a third of the time that they have left (PROTOCOL,
# Answers).
RETURN_SHARE = 0.3
# Work that can only be late is begun where no more than this waits, and where it
# should end within this share of the time that is left.
LATE_WAIT_S = 1.2
LATE_SHARE = 0.6
# One that was asked to come back and did is begun if it should end within this.
RETURNED_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class Forecast:
    """What a request may expect.

    Attributes
    ----------
    work : float
        Seconds that its own stages and its target take.
    wait, kind_wait, late_wait : float
        Seconds that it waits for the work of others: in the order of urgency; if
        its urgency had only its own share of the targets; behind all others.
    objective_left, time_left : float
        Seconds until its objective, and until its final answer is due.
    is_return : bool
        Whether its caller was refused before.
    spread : float
        By chance, 0.7 to 1, so that callers do not come back together.
    binds : str
        Service at which it waits longest, for the logs.
    """

    work: float
    wait: float
    kind_wait: float
    late_wait: float
    objective_left: float
    time_left: float
    is_return: bool
    urgency: int
    spread: float = 1.0
    binds: str = ""

    def __str__(self) -> str:
        return (
            f"work {self.work:.3f} s, "
            f"wait {self.wait:.3f} s at {self.binds or 'none'}, "
            f"own share {self.kind_wait:.3f} s, late {self.late_wait:.3f} s, "
            f"objective in {self.objective_left:.3f} s"
        )


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request is begun, and how urgent it is then."""

    is_admitted: bool
    why: str
    urgency: int = 0
    retry_after: float | None = None


def share_of(urgency: int, urgencies: Collection[int]) -> float:
    """Return the share of the targets that an urgency has in any case.

    Shares fall as 1, 1/2, 1/3 and so on with the rank, so that what is more urgent
    is served more often, and nothing is starved.
    """
    ranked = sorted({urgency, *urgencies})
    total = sum(1.0 / rank for rank in range(1, len(ranked) + 1))
    return 1.0 / (ranked.index(urgency) + 1) / total


def judge(forecast: Forecast) -> Verdict:
    """Return whether to begin a request.

    One that should meet its objective is begun, in the order of urgency or by the
    share of its own urgency. Any other is begun behind all of these while little
    waits, and else asked to come back as late as it may; then it is begun if it can
    be of use at all.
    """
    wait = min(forecast.wait, forecast.kind_wait)
    if forecast.work + wait <= forecast.objective_left:
        return Verdict(True, "in time", forecast.urgency)
    late = forecast.work + forecast.late_wait
    if forecast.is_return:
        is_useful = late <= RETURNED_SHARE * forecast.time_left
    else:
        is_useful = (
            forecast.late_wait <= LATE_WAIT_S
            and late <= LATE_SHARE * forecast.time_left
        )
    if is_useful:
        return Verdict(True, "late", LATE_URGENCY)
    # It will not be in time any more: the later it comes, the likelier is room.
    can_return = RETURN_SHARE * forecast.time_left * forecast.spread
    retry_after = round(max(RETURN_MIN_S, can_return), 2)
    return Verdict(False, "no room in time", retry_after=retry_after)
