"""How long stage calls take in each pool, and how quiet running work may be."""

from dataclasses import dataclass, field

from lagoontide.scheduling.sketch import Quantile

__all__ = ["Budget", "Pace", "PoolPace", "WorkPace"]

MIN_SAMPLES = 20
MAX_KINDS = 256
HEDGE_AT_USUAL = 1.3
HEDGE_AT_MEDIAN = 2.0

Kind = tuple[str, int]


@dataclass(slots=True)
class WorkPace:
    """Durations of one kind of work, in seconds.

    Attributes
    ----------
    ran : Quantile
        Median from start to answer at the target.
    quick : Quantile
        What hardly any call undercuts.
    usual : Quantile
        What hardly any call takes longer than, queues included.
    """

    ran: Quantile = field(default_factory=lambda: Quantile(0.5))
    quick: Quantile = field(default_factory=lambda: Quantile(0.1))
    usual: Quantile = field(default_factory=lambda: Quantile(0.95))

    def note(self, ran: float, taken: float) -> None:
        """Take a finished call in."""
        self.ran.add(max(1e-6, ran))
        self.quick.add(max(1e-6, ran))
        self.usual.add(max(1e-6, taken))

    @property
    def hedge_after(self) -> float | None:
        """Seconds after which a call is suspiciously late; None if not known."""
        if self.ran.count < MIN_SAMPLES:
            return None
        late = HEDGE_AT_USUAL * self.usual.value
        return max(late, HEDGE_AT_MEDIAN * self.ran.value)


@dataclass(slots=True)
class PoolPace:
    """Durations in one pool."""

    kinds: dict[Kind, WorkPace] = field(default_factory=dict)

    def of(self, kind: Kind) -> WorkPace:
        """Return the durations of a kind of work."""
        pace = self.kinds.get(kind)
        if pace is None:
            if len(self.kinds) >= MAX_KINDS:
                self.kinds.pop(next(iter(self.kinds)))
            pace = self.kinds[kind] = WorkPace()
        return pace


class Pace:
    """Durations by pool, as one entry sees them."""

    def __init__(self) -> None:
        self._pools: dict[str, PoolPace] = {}

    def of(self, service: str) -> PoolPace:
        """Return the durations of a pool."""
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = PoolPace()
        return pool


@dataclass(slots=True)
class Budget:
    """Allows extra work as a share of the work that succeeds.

    Attributes
    ----------
    share : float
        Extra calls for each successful one.
    burst : float
        Extra calls that may come at once.
    """

    share: float
    burst: float
    level: float = 0.0

    def earn(self) -> None:
        """Count a success."""
        self.level = min(self.burst, self.level + self.share)

    def take(self) -> bool:
        """Spend one extra call if there is one."""
        if self.level < 1:
            return False
        self.level -= 1
        return True
