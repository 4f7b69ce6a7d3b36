"""Rate limits that targets name in their responses."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from lagoontide.targets.records import Target

__all__ = ["RateLimit", "RateLimits"]

# At most one line is logged in this time about the unreadable limits of a target.
UNREADABLE_LOG_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What a target's latest known response says about its rate limit.

    Attributes
    ----------
    rate : float or None
        Requests a second that the target takes from all entries together; None if it
        named no limit.
    observed_at : float
        Clock time of the response.
    """

    rate: float | None
    observed_at: float


class RateLimits:
    """Rate limits of all targets, by id and start time.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[tuple[str, int], RateLimit] = {}
        self._unreadable_logged_at: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        """Return the number of targets with a limit."""
        return sum(record.rate is not None for record in self._records.values())

    def observe(self, target: Target, rate: float | None, unreadable: str = "") -> None:
        """Record the limit in a response of a target.

        Parameters
        ----------
        rate : float or None
            The limit; None if the response names none.
        unreadable : str
            Text that is no valid limit; what was known before then stays.
        """
        now = self._clock()
        if unreadable:
            self._log_unreadable(target, unreadable, now)
            return
        known = self._records.get(target.key)
        if known is None and rate is None:
            return
        self._records[target.key] = RateLimit(rate, now)
        before = None if known is None else known.rate
        if before != rate:
            logger.bind(target=target.id, service=target.service).info(
                "target names rate limit: {}, before: {}",
                _describe(rate),
                _describe(before),
            )

    def rate_of(self, target: Target) -> float | None:
        """Return the requests a second that a target takes; None for no limit."""
        record = self._records.get(target.key)
        return None if record is None else record.rate

    def describe(self, target: Target) -> str:
        """Return the limit of a target and its age, for the log; empty if none."""
        record = self._records.get(target.key)
        if record is None or record.rate is None:
            return ""
        age = self._clock() - record.observed_at
        return f"limit {_describe(record.rate)} named {age:.2f} s ago"

    def keep_only(self, keep: Iterable[tuple[str, int]]) -> None:
        """Drop the limits of all targets but those with the given keys."""
        kept = set(keep)
        for records in (self._records, self._unreadable_logged_at):
            for key in records.keys() - kept:
                del records[key]

    def _log_unreadable(self, target: Target, text: str, now: float) -> None:
        logged_at = self._unreadable_logged_at.get(target.key)
        if logged_at is None or now - logged_at > UNREADABLE_LOG_INTERVAL_S:
            self._unreadable_logged_at[target.key] = now
            logger.bind(target=target.id, service=target.service).warning(
                "unreadable rate limit ignored: {!r:.80}", text
            )


def _describe(rate: float | None) -> str:
    return "none" if rate is None else f"{rate:g}/s"
