"""State of the targets of a stage service as seen by their owner."""

from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from lagoontide.pieces.batch import DomainCapacity
from lagoontide.routes.records import PieceSettings
from lagoontide.targets.rate_shares import RateShares
from lagoontide.targets.records import Target

__all__ = ["TargetTracker", "TrackedTarget"]

# Weight of a new observation in the moving average of a target's slowness.
SLOWNESS_WEIGHT = 0.5
# A target that is slower than the median by this factor gets only a probe call every
# ``PROBE_INTERVAL_S``.
SLOW_RATIO = 1.8
PROBE_INTERVAL_S = 3.0
# The size of the results of other owners at a target counts for at most this long.
FOREIGN_TTL_S = 1.0
# A target that reported full memory counts as full for this long.
FULL_TTL_S = 0.15
MIN_BACKOFF_S = 0.15
MAX_BACKOFF_S = 2.0
# The same while all targets are in back-off, so that work goes on soon after the first
# of them answers again.
MAX_COMMON_BACKOFF_S = 0.3


@dataclass(frozen=True, slots=True)
class StoredResult:
    """A result stored at the target that made it.

    Attributes
    ----------
    size_bytes : float
        Size of the result.
    expires_at : float
        Clock time at which the target drops it.
    peer : str
        Entry that it was made for.
    """

    size_bytes: float
    expires_at: float
    peer: str


@dataclass(slots=True)
class TrackedTarget:
    """State of one target.

    Attributes
    ----------
    calls : int
        Calls in progress.
    reserved_bytes : float
        Approximate size of the results of the calls in progress.
    results : dict of str to StoredResult
        Results of this owner stored at the target, by handle.
    foreign_bytes : float
        Size of the results that this owner does not know, such as those of other
        owners; counts until ``foreign_valid_until``.
    is_memory_queried : bool
        Whether the target has been asked for its free memory.
    slowness : float
        Moving average of actual over expected call duration.
    has_answered : bool
        Whether a call of this owner has ended. Before that, a call of another owner
        may be in progress, for whose end calls have to wait.
    consecutive_failures : int
        Consecutive failures.
    backoff_until : float
        Clock time until which the target gets no calls while others may get some.
    common_backoff_until : float
        The same if all targets are in back-off.
    last_call_at : float
        Clock time at which the last call started.
    busy_until : float
        Clock time at which the last call is expected to end.
    """

    target: Target
    calls: int = 0
    reserved_bytes: float = 0.0
    results: dict[str, StoredResult] = field(default_factory=dict)
    foreign_bytes: float = 0.0
    foreign_valid_until: float = 0.0
    is_memory_queried: bool = False
    slowness: float = 1.0
    has_answered: bool = False
    consecutive_failures: int = 0
    backoff_until: float = 0.0
    common_backoff_until: float = 0.0
    last_call_at: float = 0.0
    busy_until: float = 0.0

    def free_bytes(self, settings: PieceSettings, now: float) -> float:
        """Remove expired results and return the bytes that are left for new ones."""
        for handle, result in tuple(self.results.items()):
            if result.expires_at <= now:
                del self.results[handle]
        foreign_bytes = self.foreign_bytes if now < self.foreign_valid_until else 0.0
        return (
            settings.result_memory_bytes
            - self.reserved_bytes
            - self.used_bytes()
            - foreign_bytes
        )

    def used_bytes(self) -> float:
        """Return the bytes of the results of this owner."""
        return sum(result.size_bytes for result in self.results.values())

    def set_reported_free_bytes(
        self, settings: PieceSettings, free: float, now: float
    ) -> None:
        """Derive the size of other owners' results from the reported free bytes."""
        own_bytes = self.reserved_bytes + self.used_bytes()
        self.foreign_bytes = max(0.0, settings.result_memory_bytes - free - own_bytes)
        self.foreign_valid_until = now + min(settings.result_ttl, FOREIGN_TTL_S)

    def mark_full(self, settings: PieceSettings, now: float) -> None:
        """Treat the target as full for a while, after it reported full memory."""
        self.foreign_bytes = max(
            0.0, settings.result_memory_bytes - self.reserved_bytes - self.used_bytes()
        )
        self.foreign_valid_until = now + FULL_TTL_S

    def observe_duration(self, seconds: float | None, expected: float) -> None:
        """Record the actual duration of an answered call; None if it is not known.

        That of the first call is ignored: it may include the wait for a call of
        another owner.
        """
        self.consecutive_failures = 0
        if not self.has_answered:
            self.has_answered = True
            return
        if seconds is not None:
            self.slowness += SLOWNESS_WEIGHT * (seconds / expected - self.slowness)

    def back_off(self, now: float, has_failed: bool) -> None:
        """Send no calls for a while; double the delay with each consecutive failure."""
        self.consecutive_failures += has_failed
        delay = min(
            MIN_BACKOFF_S * 2 ** max(0, self.consecutive_failures - 1), MAX_BACKOFF_S
        )
        self.backoff_until = now + delay
        self.common_backoff_until = now + min(delay, MAX_COMMON_BACKOFF_S)


class TargetTracker:
    """State of all targets of a shard of a stage service.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.

    Attributes
    ----------
    rate_shares : RateShares
        Calls that the rate limits of targets admit.
    """

    def __init__(self, clock: Callable[[], float], rate_shares: RateShares) -> None:
        self._clock = clock
        self.rate_shares = rate_shares
        self._tracked: dict[tuple[str, int], TrackedTarget] = {}
        self._ready: list[TrackedTarget] = []

    def update(self, targets: tuple[Target, ...]) -> None:
        """Replace the set of ready targets; keep removed ones that have calls."""
        keys = {target.key for target in targets}
        for key in self._tracked.keys() - keys:
            if not self._tracked[key].calls:
                del self._tracked[key]
        for target in targets:
            self._tracked.setdefault(target.key, TrackedTarget(target))
        self._ready = [self._tracked[target.key] for target in targets]

    def count(self) -> int:
        """Return the number of ready targets."""
        return len(self._ready)

    def pause_left(self, tracked: TrackedTarget) -> float:
        """Return the seconds until a target's pause ends; 0 if it does not pause."""
        return self.rate_shares.limits.pauses.left(tracked.target)

    def all_paused_for(self) -> float:
        """Return the seconds until the first pause ends if all pause; else 0."""
        return min(map(self.pause_left, self._ready), default=0.0)

    def free(self, slots: int) -> list[TrackedTarget]:
        """Return the targets that can take a call, the fastest first.

        Parameters
        ----------
        slots : int
            Maximum number of concurrent calls at a target.
        """
        now = self._clock()
        open_to_calls = [item for item in self._ready if item.backoff_until <= now] or [
            item for item in self._ready if item.common_backoff_until <= now
        ]
        admitting = [
            tracked
            for tracked in open_to_calls
            if self.rate_shares.wait(tracked.target) == 0.0
        ]
        # Targets that may get no calls now do not make the others slow.
        typical = median([tracked.slowness for tracked in admitting] or [1.0])
        return sorted(
            (
                tracked
                for tracked in admitting
                if tracked.calls < slots
                and (
                    tracked.slowness <= SLOW_RATIO * typical
                    or now - tracked.last_call_at > PROBE_INTERVAL_S
                )
            ),
            key=lambda tracked: tracked.slowness,
        )

    def domain_capacities(self, size: int) -> dict[str, DomainCapacity]:
        """Return the capacity of each failure domain, by name.

        Targets that are slow, in back-off or pause do not count.

        Parameters
        ----------
        size : int
            Maximum number of pieces in a call.
        """
        now = self._clock()
        typical = self.median_slowness()
        capacities: dict[str, DomainCapacity] = {}
        for tracked in self._ready:
            if tracked.backoff_until > now or tracked.slowness > SLOW_RATIO * typical:
                continue
            if self.pause_left(tracked):
                continue
            name = tracked.target.failure_domain
            free_at = max(now, tracked.busy_until) if tracked.calls else now
            current = capacities.get(name, DomainCapacity(free_at, 0))
            capacities[name] = DomainCapacity(
                min(current.free_at, free_at), current.size + size
            )
        return capacities

    def median_slowness(self) -> float:
        """Return the median slowness of the ready targets."""
        return median([tracked.slowness for tracked in self._ready] or [1.0])

    def ready(self) -> tuple[TrackedTarget, ...]:
        """Return the ready targets."""
        return tuple(self._ready)

    def by_address(self, address: str) -> TrackedTarget | None:
        """Return the target with an address, ready or not."""
        return next(
            (
                tracked
                for tracked in self._tracked.values()
                if tracked.target.address == address
            ),
            None,
        )
