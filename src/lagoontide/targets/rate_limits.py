"""Rate limits that targets name in their responses, as known to all entries."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from loguru import logger

from lagoontide.decoding import Int64, Number
from lagoontide.targets.cold import ColdTargets
from lagoontide.targets.pauses import Pauses
from lagoontide.targets.records import Target

__all__ = ["LimitReport", "RateLimit", "RateLimits"]

# At most one line is logged in this time about the unreadable limits of a target.
UNREADABLE_LOG_INTERVAL_S = 5.0
# For this long peers are told that a target names a limit no more.
ENDED_ADVERTISED_S = 3.0
# A report replaces only what is older by more than its own time in transit.
TRANSIT_S = 0.05

# Id and start time of a target, its limit or None, and the age in seconds of the
# response that named it.
LimitReport = tuple[str, Int64, Number | None, Number]


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
    is_own : bool
        Whether this entry received the response, rather than a peer.
    """

    rate: float | None
    observed_at: float
    is_own: bool = True


class RateLimits:
    """Rate limits of all targets, by id and start time.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    cold : ColdTargets, optional
        Targets that take fewer requests as they are cold.

    Attributes
    ----------
    pauses : Pauses
        Targets that have asked this entry for no requests for a while.
    """

    def __init__(
        self, clock: Callable[[], float], cold: ColdTargets | None = None
    ) -> None:
        self.cold = ColdTargets(clock) if cold is None else cold
        self.pauses = Pauses(clock)
        self._clock = clock
        self._records: dict[tuple[str, int], RateLimit] = {}
        self._unreadable_logged_at: dict[tuple[str, int], float] = {}

    @property
    def limited_targets(self) -> int:
        """The number of targets with a limit."""
        return sum(record.rate is not None for record in self._records.values())

    @property
    def is_empty(self) -> bool:
        """Whether no target has named a limit lately, is cold or pauses."""
        return not self._records and self.cold.is_empty and self.pauses.is_empty

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
        elif rate is not None or target.key in self._records:
            self._record(target.key, RateLimit(rate, now), "its response")

    def merge(self, peer: str, reports: Iterable[LimitReport]) -> None:
        """Record the limits that a peer has observed, where they are the latest."""
        now = self._clock()
        for name, born, rate, age in reports:
            known = self._records.get((name, born))
            observed_at = now - max(0.0, age)
            if known is None:
                is_news = rate is not None
            else:
                is_news = observed_at > known.observed_at + TRANSIT_S
            if is_news:
                self._record(
                    (name, born), RateLimit(rate, observed_at, is_own=False), peer
                )

    def own_reports(self) -> list[LimitReport]:
        """Return the limits that no peer has observed later than this entry."""
        now = self._clock()
        return [
            (*key, record.rate, round(now - record.observed_at, 3))
            for key, record in self._records.items()
            if record.is_own
        ]

    def get(self, target: Target) -> RateLimit | None:
        """Return the limit of a target, the lower one if it is also cold, or None."""
        record = self._records.get(target.key)
        if record is not None and record.rate is None:
            record = None
        cold_rate = None if self.cold.is_empty else self.cold.rate(target)
        if cold_rate is None:
            return record
        if record is None:
            return RateLimit(cold_rate, self._clock())
        return replace(record, rate=min(cold_rate, record.rate or 0.0))

    def rate_of(self, target: Target) -> float | None:
        """Return the requests a second that a target takes; None for no limit."""
        record = self.get(target)
        return None if record is None else record.rate

    def describe(self, target: Target) -> str:
        """Return the limit of a target and its age, for the log; empty if none."""
        record = self.get(target)
        if record is None:
            return ""
        age = self._clock() - record.observed_at
        return f"limit {_describe(record.rate)} named {age:.2f} s ago"

    def keep_only(self, keep: Iterable[tuple[str, int]]) -> None:
        """Drop limits that have ended, and those of targets without a given key."""
        kept = set(keep)
        self.cold.keep_only(kept)
        self.pauses.drop_ended()
        oldest = self._clock() - ENDED_ADVERTISED_S
        for key, record in tuple(self._records.items()):
            if key not in kept or (record.rate is None and record.observed_at < oldest):
                del self._records[key]
        for key in self._unreadable_logged_at.keys() - kept:
            del self._unreadable_logged_at[key]

    def _record(self, key: tuple[str, int], record: RateLimit, source: str) -> None:
        known = self._records.get(key)
        self._records[key] = record
        before = None if known is None else known.rate
        if before != record.rate:
            logger.bind(target=key[0]).info(
                "target names rate limit: {}, before: {}, from {}, {:.2f} s ago",
                _describe(record.rate),
                _describe(before),
                source,
                self._clock() - record.observed_at,
            )

    def _log_unreadable(self, target: Target, text: str, now: float) -> None:
        logged_at = self._unreadable_logged_at.get(target.key)
        if logged_at is None or now - logged_at > UNREADABLE_LOG_INTERVAL_S:
            self._unreadable_logged_at[target.key] = now
            logger.bind(target=target.id, service=target.service).warning(
                "unreadable rate limit ignored: {!r:.80}", text
            )


def _describe(rate: float | None) -> str:
    return "none" if rate is None else f"{rate:g}/s"
