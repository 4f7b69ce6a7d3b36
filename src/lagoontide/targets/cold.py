"""Targets that are cold after their start and take fewer requests for a while."""

from collections.abc import Callable, Iterable

from loguru import logger

from lagoontide.store.revision_store import Revision
from lagoontide.targets.records import Target

__all__ = ["ColdTargets"]


class ColdTargets:
    """How long targets stay cold, and what they take until then.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    rate_of : callable
        Returns the requests a second that a cold target of a service takes from all
        entries together; None for no limit.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rate_of: Callable[[str], float | None] = lambda service: None,
    ) -> None:
        self._clock = clock
        self._rate_of = rate_of
        self._until: dict[tuple[str, int], float] = {}
        self._revisions: dict[tuple[str, int], Revision] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target is known to be cold."""
        return not self._until

    def register(self, target: Target) -> None:
        """Take the time from a registration, unless a later one is known."""
        if target.revision <= self._revisions.get(target.key, Revision()):
            return
        self._revisions[target.key] = target.revision
        self.observe(target, target.cold_left)

    def observe(self, target: Target, seconds: float) -> None:
        """Record that a target stays cold for some more seconds."""
        if seconds > 0.0:
            if target.key not in self._until:
                logger.bind(target=target.id, service=target.service).info(
                    "target is cold for {:.2f} s, takes {}",
                    seconds,
                    self._rate_of(target.service),
                )
            self._until[target.key] = self._clock() + seconds
        else:
            self._until.pop(target.key, None)

    def rate(self, target: Target) -> float | None:
        """Return the requests a second that a target takes as long as it is cold."""
        if self._until.get(target.key, 0.0) <= self._clock():
            return None
        return self._rate_of(target.service)

    def keep_only(self, keep: Iterable[tuple[str, int]]) -> None:
        """Drop targets that are not cold any more, or without a given key."""
        kept, now = set(keep), self._clock()
        for key, until in tuple(self._until.items()):
            if key not in kept or until <= now:
                del self._until[key]
        for key in self._revisions.keys() - kept:
            del self._revisions[key]
