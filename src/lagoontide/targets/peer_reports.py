"""Latest reports of peers about themselves, which expire after a short time."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

__all__ = ["PeerReports"]

# A peer's work changes so fast that an older report of it is useless.
MAX_REPORT_AGE_S = 1.5

Report = TypeVar("Report")


class PeerReports(Generic[Report]):
    """The latest report of each peer.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    max_age : float
        Seconds after which a report expires.
    """

    def __init__(
        self, clock: Callable[[], float], max_age: float = MAX_REPORT_AGE_S
    ) -> None:
        self._clock = clock
        self._max_age_s = max_age
        self._reports: dict[str, tuple[float, Report]] = {}

    def update(self, peer: str, report: Report) -> None:
        """Store a report of a peer in place of its previous one."""
        self._reports[peer] = self._clock(), report

    def current(self) -> Iterator[Report]:
        """Yield the reports that have not expired, and drop the others."""
        return (report for _, report in self.by_peer())

    def by_peer(self) -> Iterator[tuple[str, Report]]:
        """Yield each peer with its report; see ``current``."""
        oldest = self._clock() - self._max_age_s
        for peer, (at, report) in tuple(self._reports.items()):
            if at < oldest:
                del self._reports[peer]
            else:
                yield peer, report
