"""Retry budget that the entries share without coordination."""

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["RetryBudget"]

# Only this share of the budget is spent, as the windows of the entries do not align.
USABLE_SHARE = 0.8


@dataclass(slots=True)
class _Window:
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryBudget:
    """The share of one entry in the retries allowed for each service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request in the window.
    slack : float
        Retries allowed per window in addition, by all entries together.
    window : float
        Length of the sliding window, in seconds.
    entries : callable
        Returns the number of entries that share the slack.
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: float,
        entries: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._count_entries = entries
        self._clock = clock
        self._windows: dict[str, _Window] = defaultdict(_Window)

    def set_limits(self, ratio: float, slack: float, window: float) -> None:
        """Change the limits; requests and retries already counted still count."""
        self._ratio, self._slack, self._window = ratio, slack, window

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._windows[service].requests.append(self._clock())

    def left(self, service: str) -> float:
        """Return the number of retries still allowed in the current window."""
        window = self._windows[service]
        window_start = self._clock() - self._window
        for times in (window.requests, window.retries):
            while times and times[0] < window_start:
                times.popleft()
        allowed = self._ratio * len(window.requests)
        allowed += self._slack / max(1, self._count_entries())
        return USABLE_SHARE * allowed - len(window.retries)

    def take(self, service: str) -> bool:
        """Count a retry and return True, or return False if none is left."""
        if self.left(service) < 1.0:
            return False
        self._windows[service].retries.append(self._clock())
        return True

    def refund(self, service: str) -> None:
        """Take back the latest retry, which was not sent."""
        retries = self._windows[service].retries
        if retries:
            retries.pop()
