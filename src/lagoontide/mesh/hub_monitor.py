"""Detection of hubs that do not respond."""

from collections.abc import Callable, Iterable

__all__ = ["HubMonitor"]

# A hub that sends nothing for this long is avoided for AVOIDANCE_S.
HUB_TIMEOUT_S = 1.0
AVOIDANCE_S = 3.0


class HubMonitor:
    """Tracks which hubs should send messages, and when they last did.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._expected_since: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._avoided_until: dict[str, float] = {}

    def expect(self, names: Iterable[str]) -> None:
        """Expect messages from these hubs, and no others, from now on."""
        now = self._clock()
        self._expected_since = {
            name: self._expected_since.get(name, now) for name in names
        }

    def record_message(self, name: str) -> None:
        """Record a message from a hub."""
        self._heard_at[name] = self._clock()
        self._avoided_until.pop(name, None)

    def silent(self) -> set[str]:
        """Return the hubs to avoid because they sent nothing."""
        now = self._clock()
        for name, since in self._expected_since.items():
            if now - max(since, self._heard_at.get(name, since)) > HUB_TIMEOUT_S:
                self._avoided_until[name] = now + AVOIDANCE_S
        for name, until in tuple(self._avoided_until.items()):
            if until < now:
                del self._avoided_until[name]
                # It gets a full HUB_TIMEOUT_S again before it is avoided.
                self._expected_since.pop(name, None)
        return set(self._avoided_until)
