"""Load of targets: the work of this entry and the work that peers report."""

from collections import Counter, defaultdict
from collections.abc import Callable, Mapping

from lagoontide.targets.peer_reports import PeerReports
from lagoontide.targets.records import Target

__all__ = ["Loads"]


class Loads:
    """Work in progress at each target, in a unit that the callers choose.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._own: defaultdict[str, float] = defaultdict(float)
        self._running_counts: Counter[str] = Counter()
        self._peer_loads: PeerReports[Mapping[str, float]] = PeerReports(clock)
        self._peer_totals: dict[str, float] = {}

    def begin(self, target: Target, work: float = 1.0) -> None:
        """Add a request that is sent to a target, and its work."""
        self._own[target.id] += work
        self._running_counts[target.id] += 1

    def end(self, target: Target, work: float = 1.0) -> None:
        """Remove a request that has ended, and the rest of its work."""
        self._own[target.id] -= work
        self._running_counts[target.id] -= 1
        if self._running_counts[target.id] <= 0:
            self._own.pop(target.id, None)
            del self._running_counts[target.id]

    def adjust(self, target: Target, work: float) -> None:
        """Add to the work of requests in progress; a negative number reduces it."""
        self._own[target.id] += work

    def own_by_target(self) -> dict[str, float]:
        """Return the work of this entry by target id."""
        return {name: round(work, 3) for name, work in self._own.items()}

    def update_peer(self, peer: str, loads: Mapping[str, float]) -> None:
        """Replace the work that a peer reports as its own."""
        self._peer_loads.update(peer, loads)
        self._sum_peer_loads()

    def total_of(self, target: Target) -> float:
        """Return the work of all entries at a target, as far as reported."""
        return self._own.get(target.id, 0.0) + self._peer_totals.get(target.id, 0.0)

    def _sum_peer_loads(self) -> None:
        total: defaultdict[str, float] = defaultdict(float)
        for loads in self._peer_loads.current():
            for name, work in loads.items():
                total[name] += work
        self._peer_totals = dict(total)
