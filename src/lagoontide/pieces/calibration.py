"""What entries learn from the time that requests took."""

import math
from collections.abc import Callable

__all__ = ["Calibration"]

# What a target takes to its first event, until it is known.
TARGET_S = 0.15
# What was seen this long ago is half forgotten: service is to be as usual within
# two seconds after a burst (the users' goals for overload).
RECENT_S = 1.0
# Bounds of the weight of a new observation, and of the factor.
LEAST_WEIGHT, MOST_WEIGHT = 0.05, 0.4
USUAL_FACTOR = 1.0
LEAST_FACTOR, MOST_FACTOR = 0.8, 2.5


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
