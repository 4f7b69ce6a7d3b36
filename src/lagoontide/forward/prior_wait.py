"""Estimates how long a retrying caller has already waited."""

__all__ = ["PriorWaitEstimator"]

# Timeouts of callers of one route differ; a caller whose timeout is below this share
# of the longest is taken to have waited before.
RETRY_TIMEOUT_SHARE = 0.65
# Initial timeout of a typical caller, as a share of the longest.
TYPICAL_TIMEOUT_SHARE = 0.85
# The longest timeout decays by this share per request, so that a route whose callers
# switch to shorter deadlines is learned.
DECAY_PER_REQUEST = 0.002


class PriorWaitEstimator:
    """Tracks the longest recent timeout of each route.

    A caller that retries within its own deadline sends a shorter timeout than on its
    first attempt; the objective counts from that first attempt.
    """

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def estimate(self, route: str, timeout: float | None) -> float:
        """Return the seconds a caller has already waited; 0 for a first attempt."""
        if timeout is None:
            return 0.0
        longest = max(
            timeout, self._longest.get(route, 0.0) * (1.0 - DECAY_PER_REQUEST)
        )
        self._longest[route] = longest
        if timeout >= RETRY_TIMEOUT_SHARE * longest:
            return 0.0
        return TYPICAL_TIMEOUT_SHARE * longest - timeout
