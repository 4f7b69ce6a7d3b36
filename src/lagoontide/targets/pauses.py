"""Targets that have asked this entry, by Retry-After, for no requests for a while."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from lagoontide.targets.records import Target

__all__ = ["MAX_PAUSE_S", "Pauses"]

# A time that a target states by mistake costs this entry the target for no longer.
MAX_PAUSE_S = 300.0
# After a pause the target gets one request in this interval, for this long.
RETURN_INTERVAL_S = 0.05
RETURN_S = 0.5
# Timers may fire early by the resolution of the clock.
EPSILON = 1e-6


@dataclass(slots=True)
class _Pause:
    until: float
    next_at: float


class Pauses:
    """Pauses of targets for this entry alone, by id and start time.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.

    Attributes
    ----------
    begun : int
        Pauses begun so far; an answer that makes one longer does not count.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.begun = 0
        self._clock = clock
        self._pauses: dict[tuple[str, int], _Pause] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target pauses or has paused just now."""
        return not self._pauses

    @property
    def count(self) -> int:
        """The number of targets that pause."""
        now = self._clock()
        return sum(pause.until > now for pause in self._pauses.values())

    def observe(self, target: Target, seconds: float | None, source: str) -> None:
        """Record the time for which an answer asks for no requests; the latest wins.

        Parameters
        ----------
        seconds : float or None
            None or 0 if it asks for nothing.
        source : str
            Kind of the request that was answered, for the log.
        """
        if not seconds or seconds < 0.0:
            return
        now = self._clock()
        until = now + min(seconds, MAX_PAUSE_S)
        known = self._pauses.get(target.key)
        if known is not None and known.until >= until:
            return
        if known is None or known.until <= now:
            self.begun += 1
        self._pauses[target.key] = _Pause(until, until)
        logger.bind(target=target.id, service=target.service).info(
            "target pauses for {:.2f} s, says 503 to a {}", until - now, source
        )

    def left(self, target: Target) -> float:
        """Return the seconds until a target's pause ends; 0 if it does not pause."""
        pause = self._pauses.get(target.key)
        if pause is None:
            return 0.0
        left = pause.until - self._clock()
        return left if left > EPSILON else 0.0

    def wait(self, target: Target) -> float:
        """Return the seconds until a request may be sent, in or just after a pause."""
        pause = self._pauses.get(target.key)
        if pause is None:
            return 0.0
        now = self._clock()
        wait = pause.next_at - now
        is_over = now >= pause.until + RETURN_S
        return 0.0 if is_over or wait <= EPSILON else wait

    def charge(self, target: Target) -> None:
        """Count a request, which delays the next one just after a pause."""
        if (pause := self._pauses.get(target.key)) is not None:
            pause.next_at = max(pause.next_at, self._clock()) + RETURN_INTERVAL_S

    def awake(self, targets: Sequence[Target]) -> Sequence[Target]:
        """Return those of some targets that do not pause."""
        if not self._pauses:
            return targets
        return [target for target in targets if not self.left(target)]

    def drop_ended(self) -> None:
        """Drop what is over, also for targets that are out of the directory.

        One that the store lists again under the same id and start still pauses.
        """
        now = self._clock()
        for key, pause in tuple(self._pauses.items()):
            if now >= pause.until + RETURN_S:
                del self._pauses[key]
