"""Whether a request with stages is begun, or asked to come back."""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass

from lagoontide.routes.urgency import LATE_URGENCY

__all__ = ["Calibration", "Forecast", "Verdict", "judge", "share_of"]

# What a target takes to its first event, until it is known.
TARGET_S = 0.15
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
# What was seen this long ago is half forgotten: service is to be as usual within
# two seconds after a burst (the users' goals for overload).
RECENT_S = 1.0
# Bounds of the weight of a new observation, and of the factor.
LEAST_WEIGHT, MOST_WEIGHT = 0.05, 0.4
USUAL_FACTOR = 1.0
LEAST_FACTOR, MOST_FACTOR = 0.8, 2.5


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


class Calibration:
    """How much longer stages take than was forecast, and what targets take.

    What is learnt counts for a second or two only: while a forecast keeps requests
    out, nothing is learnt that could mend it.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a steady clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._factor = Estimate(USUAL_FACTOR, clock())
        self._target_times: dict[str, Estimate] = {}

    @property
    def factor(self) -> float:
        """The time taken over the time forecast."""
        return self._factor.value(self._clock())

    def target_time(self, route: str) -> float:
        """Return the seconds that a target takes to its first event."""
        known = self._target_times.get(route)
        return TARGET_S if known is None else known.value(self._clock())

    def learn_target(self, route: str, seconds: float) -> None:
        """Take note of the seconds that a target took to its first event."""
        now = self._clock()
        known = self._target_times.setdefault(route, Estimate(TARGET_S, now))
        known.learn(min(seconds, MOST_FACTOR * known.value(now)), now)

    def learn(self, forecast: float, taken: float) -> None:
        """Take note of the seconds that an admitted request's stages took."""
        if forecast <= 0:
            return
        seen = min(max(taken / forecast, LEAST_FACTOR), MOST_FACTOR)
        self._factor.learn(seen, self._clock())


class Estimate:
    """A running mean over time that goes back to the usual when nothing is seen.

    Parameters
    ----------
    usual : float
        What holds until something else is seen.
    now : float
        Clock time.
    """

    def __init__(self, usual: float, now: float) -> None:
        self._usual = usual
        self._mean = usual
        self._seen_at = now

    def value(self, now: float) -> float:
        """Return the mean, nearer to the usual the longer nothing was seen."""
        unseen = max(0.0, now - self._seen_at - RECENT_S)
        return self._usual + (self._mean - self._usual) * 0.5 ** (unseen / RECENT_S)

    def learn(self, seen: float, now: float) -> None:
        """Take an observation; it weighs more the longer none was there."""
        weight = 1.0 - math.exp(-(now - self._seen_at) / RECENT_S)
        weight = min(max(weight, LEAST_WEIGHT), MOST_WEIGHT)
        known = self.value(now)
        self._mean = known + weight * (seen - known)
        self._seen_at = now
