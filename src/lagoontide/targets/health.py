"""Recent latency and failure rate of targets, compared with their peers."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from statistics import median

from lagoontide.targets.records import Target

__all__ = ["Health", "HealthRecord"]

# Weight of a new sample in the exponential moving averages.
LATENCY_SAMPLE_WEIGHT = 0.2
FAILURE_SAMPLE_WEIGHT = 0.15
# After this many consecutive losses a target is in back-off; the time doubles with
# each further loss.
BACKOFF_AFTER_LOSSES = 2
MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
MIN_SAMPLES = 4
# A failure rate above the median by up to the tolerance may be chance; what exceeds
# it is weighted.
FAILURE_RATE_TOLERANCE = 0.1
EXCESS_FAILURE_WEIGHT = 8.0
# A target that gets no requests for its penalty shows no change either: without a
# response for this long, half of the penalty is left.
PENALTY_HALF_LIFE_S = 4.0
# A response time holds the lateness of the process that measures it, which is of this
# order while the process is busy.
MEASURING_LATENESS_S = 0.01


@dataclass(slots=True)
class HealthRecord:
    """Latency, failures and back-off of one target, as observed by this process.

    Attributes
    ----------
    mean_seconds : float
        Moving average of the seconds to a response; 0 before the first response.
    failure_rate : float
        Moving average of the share of requests that failed.
    losses : int
        Requests without a complete response since the last response.
    backoff_until : float
        Clock time until which the target gets no work while enough others are
        available.
    samples : int
        Number of responses with a known latency.
    observed_at : float
        Clock time of the last response or loss.
    """

    mean_seconds: float = 0.0
    failure_rate: float = 0.0
    losses: int = 0
    backoff_until: float = 0.0
    samples: int = 0
    observed_at: float = 0.0


class Health:
    """Health records of all targets.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[tuple[str, int], HealthRecord] = defaultdict(HealthRecord)

    def record_of(self, target: Target) -> HealthRecord:
        """Return the health record of a target."""
        return self._records[target.key]

    def record_response(
        self, target: Target, seconds: float | None, has_failed: bool
    ) -> None:
        """Record a response; if its latency is not known, it only ends a back-off."""
        record = self._records[target.key]
        record.losses = 0
        record.backoff_until = 0.0
        if seconds is None:
            return
        faded = self._fade(record)
        if not has_failed:
            # A failure confirms the record, a good response only what has not faded.
            record.failure_rate *= faded
        record.failure_rate += FAILURE_SAMPLE_WEIGHT * (
            has_failed - record.failure_rate
        )
        record.samples += 1
        if record.mean_seconds:
            weight = 1.0 - (1.0 - LATENCY_SAMPLE_WEIGHT) * faded
            record.mean_seconds += weight * (seconds - record.mean_seconds)
        else:
            record.mean_seconds = seconds

    def record_loss(self, target: Target) -> None:
        """Record a request without a complete response."""
        record = self._records[target.key]
        record.losses += 1
        self._fade(record)
        record.failure_rate += FAILURE_SAMPLE_WEIGHT * (1.0 - record.failure_rate)
        if record.losses >= BACKOFF_AFTER_LOSSES:
            backoff = MIN_BACKOFF_S * 2 ** (record.losses - BACKOFF_AFTER_LOSSES)
            record.backoff_until = self._clock() + min(backoff, MAX_BACKOFF_S)

    def _fade(self, record: HealthRecord) -> float:
        """Return the share of a record that has not faded, and make it current."""
        now = self._clock()
        share = _share_left(record, now)
        record.observed_at = now
        return share

    def is_backed_off(self, target: Target) -> bool:
        """Return whether a target is in back-off."""
        return self._records[target.key].backoff_until > self._clock()

    def available(self, targets: Iterable[Target]) -> list[Target]:
        """Return those of some targets that are not in back-off."""
        now, records = self._clock(), self._records
        return [
            target for target in targets if records[target.key].backoff_until <= now
        ]

    def median_time(self, targets: Iterable[Target], default: float) -> float:
        """Return the median of the targets' mean seconds to a response.

        Targets with few samples are not counted.

        Parameters
        ----------
        default : float
            Returned if no target has enough samples.
        """
        return _median_time(map(self.record_of, targets), default)

    def penalties(self, targets: Sequence[Target]) -> dict[str, float]:
        """Return the factor by which each target's cost is raised, by id.

        It is 1 for a target that is no slower and no less reliable than the median,
        and approaches 1 while nothing new is known of a target.
        """
        if not targets:
            return {}
        now = self._clock()
        records = [self._records[target.key] for target in targets]
        median_time = _median_time(records, 0.0)
        median_failures = median([record.failure_rate for record in records])
        return {
            target.id: _penalty(record, median_time, median_failures, now)
            for target, record in zip(targets, records, strict=True)
        }

    def keep_only(self, keep: Iterable[tuple[str, int]]) -> None:
        """Drop the records of all targets but those with the given keys."""
        for key in self._records.keys() - set(keep):
            del self._records[key]


def _median_time(records: Iterable[HealthRecord], default: float) -> float:
    times = [record.mean_seconds for record in records if record.samples >= MIN_SAMPLES]
    return median(times) if times else default


def _penalty(
    record: HealthRecord, median_time: float, median_failures: float, now: float
) -> float:
    penalty = 1.0
    if median_time > 0 and record.samples >= MIN_SAMPLES:
        slowness = (record.mean_seconds + MEASURING_LATENESS_S) / (
            median_time + MEASURING_LATENESS_S
        )
        if slowness > 1.0:
            penalty = slowness
    excess = record.failure_rate - median_failures - FAILURE_RATE_TOLERANCE
    if excess > 0.0:
        penalty *= 1.0 + EXCESS_FAILURE_WEIGHT * excess
    if penalty == 1.0:
        return penalty
    return 1.0 + (penalty - 1.0) * _share_left(record, now)


def _share_left(record: HealthRecord, now: float) -> float:
    return 0.5 ** (max(0.0, now - record.observed_at) / PENALTY_HALF_LIFE_S)
