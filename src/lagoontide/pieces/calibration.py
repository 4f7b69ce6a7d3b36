"""Correction of forecasts by the observed duration of requests."""

import math
from collections.abc import Callable

__all__ = ["Calibration"]

# Time of a target to its first event or whole answer, before any observation.
DEFAULT_TARGET_TIME_S = 0.15
# Time constant of the means. Once this long has passed without an observation, the
# deviation from the default halves in each further period: service has to be back to
# normal within two seconds after a burst (the users' goals for overload).
TIME_CONSTANT_S = 1.0
# Bounds of the weight of a new observation, and of the factor.
MIN_WEIGHT, MAX_WEIGHT = 0.05, 0.4
DEFAULT_FACTOR = 1.0
MIN_FACTOR, MAX_FACTOR = 0.8, 2.5


class Calibration:
    """Ratio of actual to forecast stage times, and response times of targets.

    Observations count for a second or two only: a forecast that causes all requests
    to be refused prevents the observations that could correct it.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._factor = DecayingMean(DEFAULT_FACTOR, clock())
        self._target_times: dict[str, DecayingMean] = {}

    @property
    def factor(self) -> float:
        """Ratio of actual to forecast time."""
        return self._factor.value(self._clock())

    def target_time(self, route: str) -> float:
        """Return the expected seconds that a route's targets take."""
        estimate = self._target_times.get(route)
        return (
            DEFAULT_TARGET_TIME_S if estimate is None else estimate.value(self._clock())
        )

    def observe_target_time(self, route: str, seconds: float) -> None:
        """Record the seconds that a target took to its first event or whole answer."""
        now = self._clock()
        estimate = self._target_times.setdefault(
            route, DecayingMean(DEFAULT_TARGET_TIME_S, now)
        )
        estimate.observe(min(seconds, MAX_FACTOR * estimate.value(now)), now)

    def observe(self, forecast: float, elapsed: float) -> None:
        """Record the forecast and actual seconds of an admitted request's stages."""
        if forecast <= 0:
            return
        observed = min(max(elapsed / forecast, MIN_FACTOR), MAX_FACTOR)
        self._factor.observe(observed, self._clock())


class DecayingMean:
    """Moving average that decays to a default in the absence of observations.

    Parameters
    ----------
    default : float
        Value without observations.
    now : float
        Clock time.
    """

    def __init__(self, default: float, now: float) -> None:
        self._default = default
        self._mean = default
        self._observed_at = now

    def value(self, now: float) -> float:
        """Return the mean; it moves to the default while there are no observations."""
        idle = max(0.0, now - self._observed_at - TIME_CONSTANT_S)
        return self._default + (self._mean - self._default) * 0.5 ** (
            idle / TIME_CONSTANT_S
        )

    def observe(self, observed: float, now: float) -> None:
        """Add an observation; its weight grows with the time since the last one."""
        weight = 1.0 - math.exp(-(now - self._observed_at) / TIME_CONSTANT_S)
        weight = min(max(weight, MIN_WEIGHT), MAX_WEIGHT)
        estimate = self.value(now)
        self._mean = estimate + weight * (observed - estimate)
        self._observed_at = now
