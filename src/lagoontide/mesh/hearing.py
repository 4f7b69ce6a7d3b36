"""Which hubs answer those that ask them."""

from collections.abc import Callable, Iterable

__all__ = ["Hearing"]

# A hub that was asked and has said nothing for this long is passed over a while.
SILENT_S = 1.0
AVOIDED_S = 3.0


class Hearing:
    """Notes when hubs were asked, and when they were heard.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a steady clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._asked: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._avoided: dict[str, float] = {}

    def ask(self, names: Iterable[str]) -> None:
        """Take note that these and no others are asked from now on."""
        now = self._clock()
        self._asked = {name: self._asked.get(name, now) for name in names}

    def hear(self, name: str) -> None:
        """Take note that a hub has said something."""
        self._heard[name] = self._clock()
        self._avoided.pop(name, None)

    def silent(self) -> set[str]:
        """Return the hubs to pass over."""
        now = self._clock()
        for name, since in self._asked.items():
            if now - max(since, self._heard.get(name, since)) > SILENT_S:
                self._avoided[name] = now + AVOIDED_S
        for name, until in tuple(self._avoided.items()):
            if until < now:
                del self._avoided[name]
                # It gets as long again to answer.
                self._asked.pop(name, None)
        return set(self._avoided)
