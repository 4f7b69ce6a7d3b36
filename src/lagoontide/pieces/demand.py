"""Outstanding stage work of admitted requests, summed over all entries."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lagoontide.routes.records import PieceSettings
from lagoontide.routes.urgency import LATE_URGENCY
from lagoontide.targets.peer_reports import PeerReports

__all__ = [
    "Demand",
    "Need",
    "TotalDemand",
    "piece_cost",
    "predict_share_wait",
    "predict_wait",
]

# Results stay at their target for about this long after the call until they are
# fetched.
RESULT_HOLD_S = 0.3
# Less urgent work is served in between, but not before (RULES, Prices), so that only
# this share of it delays a more urgent request.
LESS_URGENT_WEIGHT = 0.1


# Target seconds needed by admitted requests, by service and urgency.
TotalDemand = Mapping[tuple[str, int], float]


@dataclass(frozen=True, slots=True)
class Need:
    """Target time that a request needs from a service.

    Attributes
    ----------
    urgency : int
        0 is the highest urgency.
    seconds : float
        Seconds of one target.
    """

    service: str
    urgency: int
    seconds: float


def piece_cost(settings: PieceSettings, result_bytes: float) -> float:
    """Return the seconds of one target that a piece occupies.

    This is its share of a full call, or its share of the target's memory until its
    result is fetched, whichever is scarcer.
    """
    call = settings.call_time + settings.batch * settings.piece_time
    in_calls = call / settings.batch
    in_room = result_bytes / settings.result_memory_bytes * (call + RESULT_HOLD_S)
    return max(in_calls, in_room)


def predict_wait(
    demand: TotalDemand, service: str, urgency: int, targets: float
) -> float:
    """Return the expected seconds that a request waits at a service.

    Late work delays only other late work.

    Parameters
    ----------
    demand : mapping
        Target seconds needed by admitted requests, by service and urgency.
    targets : int
        Number of targets that share the work.
    """
    seconds = sum(
        amount * (1.0 if other <= urgency else LESS_URGENT_WEIGHT)
        for (name, other), amount in demand.items()
        if name == service and (other < LATE_URGENCY or urgency >= LATE_URGENCY)
    )
    return seconds / targets if targets else float("inf")


def predict_share_wait(
    demand: TotalDemand,
    service: str,
    urgency: int,
    targets: float,
    share: float,
) -> float:
    """Return the wait if an urgency had a fixed share of the targets for itself."""
    seconds = demand.get((service, urgency), 0.0)
    return seconds / (targets * share) if targets else float("inf")


class Demand:
    """Needs of this entry's requests, and those that its peers report.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    scale : callable
        Returns the ratio of all entries to those whose needs are known here.
    """

    def __init__(
        self, clock: Callable[[], float], scale: Callable[[], float] = lambda: 1.0
    ) -> None:
        self._scale = scale
        self._own: defaultdict[tuple[str, int], float] = defaultdict(float)
        self._peer_needs: PeerReports[TotalDemand] = PeerReports(clock)

    def add(self, need: Need) -> None:
        """Add the need of an admitted request."""
        self._own[need.service, need.urgency] += need.seconds

    def remove(self, need: Need) -> None:
        """Remove a need that is met or cancelled."""
        key = need.service, need.urgency
        self._own[key] -= need.seconds
        if self._own[key] < 1e-6:
            del self._own[key]

    def own(self) -> list[tuple[str, int, float]]:
        """Return this entry's needs, to report to its peers."""
        return [(*key, round(seconds, 3)) for key, seconds in self._own.items()]

    def update_peer(self, peer: str, needs: list[tuple[str, int, float]]) -> None:
        """Replace the needs of a peer with those that it reports."""
        reported = {(service, urgency): seconds for service, urgency, seconds in needs}
        self._peer_needs.update(peer, reported)

    def total(self) -> TotalDemand:
        """Return the estimated needs of all entries."""
        total = defaultdict(float, self._own)
        for reported in self._peer_needs.current():
            for key, seconds in reported.items():
                total[key] += seconds
        scale = self._scale()
        return {key: scale * seconds for key, seconds in total.items()}
