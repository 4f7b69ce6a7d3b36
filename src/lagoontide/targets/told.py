"""What peers tell of themselves, believed for a short time."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

__all__ = ["Told"]

# A peer's word on its own work is of no use after this many seconds.
STALE_S = 1.5

Word = TypeVar("Word")


class Told(Generic[Word]):
    """The last word of each peer.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a steady clock.
    stale : float
        Seconds after which a word no longer counts.
    """

    def __init__(self, clock: Callable[[], float], stale: float = STALE_S) -> None:
        self._clock = clock
        self._stale = stale
        self._words: dict[str, tuple[float, Word]] = {}

    def take(self, peer: str, word: Word) -> None:
        """Believe a peer's word until the next one, or until it is stale."""
        self._words[peer] = self._clock(), word

    def current(self) -> Iterator[Word]:
        """Yield the words that are not stale, and drop the others."""
        return (word for _, word in self.by_peer())

    def by_peer(self) -> Iterator[tuple[str, Word]]:
        """Yield peers with their words; see ``current``."""
        horizon = self._clock() - self._stale
        for peer, (at, word) in tuple(self._words.items()):
            if at < horizon:
                del self._words[peer]
            else:
                yield peer, word
