"""Small running estimates: a quantile, and a mean for each kind of work."""

import math
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass

__all__ = ["Estimates", "Quantile"]

MEAN_WEIGHT = 0.1
MAX_KEYS = 512


@dataclass(slots=True)
class Quantile:
    """A running quantile that follows its samples in relative steps.

    Attributes
    ----------
    share : float
        Which quantile, between 0 and 1.
    step : float
        Relative change for a sample on the other side.
    value : float
        The estimate; 0 before the first sample.
    """

    share: float
    step: float = 0.03
    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Take a positive sample in."""
        self.count += 1
        if self.value <= 0:
            self.value = sample
            return
        # Large steps at first, so that a poor first sample is soon forgotten.
        step = max(self.step, 0.5 / self.count)
        if sample > self.value:
            self.value *= math.exp(step * self.share)
        else:
            self.value *= math.exp(-step * (1 - self.share))


@dataclass(slots=True)
class Estimate:
    """Mean and mean deviation of the durations of one kind of work, in seconds."""

    mean: float
    deviation: float = 0.0

    def add(self, seconds: float) -> None:
        """Take a duration in."""
        error = seconds - self.mean
        self.mean += MEAN_WEIGHT * error
        self.deviation += MEAN_WEIGHT * (abs(error) - self.deviation)


class Estimates:
    """Durations by kind of work; the kinds used least recently are dropped.

    Parameters
    ----------
    unknown : float
        Seconds for a kind of work while none at all has been seen.
    """

    def __init__(self, unknown: float) -> None:
        self._by_kind: OrderedDict[Hashable, Estimate] = OrderedDict()
        self._all = Estimate(unknown)
        self.typical = Quantile(0.5)

    def add(self, kind: Hashable, seconds: float) -> None:
        """Take the duration of a piece of work in."""
        self._all.add(seconds)
        self.typical.add(seconds)
        estimate = self._by_kind.get(kind)
        if estimate is None:
            self._by_kind[kind] = Estimate(seconds, seconds / 2)
            if len(self._by_kind) > MAX_KEYS:
                self._by_kind.popitem(last=False)
            return
        estimate.add(seconds)
        self._by_kind.move_to_end(kind)

    def get(self, kind: Hashable) -> Estimate:
        """Return what is expected of a kind; for an unknown one, of all work."""
        return self._by_kind.get(kind, self._all)
