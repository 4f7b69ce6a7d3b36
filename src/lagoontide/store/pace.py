"""Waits and pauses when following a store, derived from one bound."""

from dataclasses import dataclass

__all__ = ["Pace"]

DEFAULT_APPLY_WITHIN_S = 2.0
DEFAULT_HEARTBEAT_S = 1.2


@dataclass(frozen=True, slots=True)
class Pace:
    """How long to wait for the store, and how often to ask it again.

    A change that the store has acknowledged is in force at the latest after
    ``watch_wait + overdue_after`` and the time of one answer, if the watch in progress
    is lost, and after ``retry_interval`` and the time of one answer once the store is
    available again. Each sum is below ``apply_within``.

    Parameters
    ----------
    apply_within : float
        Seconds within which an acknowledged change must be in force.
    heartbeat : float
        Seconds from one write of a registration to its next. A registration lapses
        once several in a row are missing.
    """

    apply_within: float = DEFAULT_APPLY_WITHIN_S
    heartbeat: float = DEFAULT_HEARTBEAT_S

    @property
    def watch_wait(self) -> float:
        """Seconds for which a watch without changes is held."""
        return self.apply_within / 2

    @property
    def overdue_after(self) -> float:
        """Seconds after which an answer is overdue, beyond the call's own wait."""
        return self.apply_within / 8

    @property
    def retry_interval(self) -> float:
        """Longest pause before the store is asked again after a failure."""
        return self.apply_within / 8

    @property
    def min_outage(self) -> float:
        """Seconds for which the store must fail for a registration to lapse.

        A shorter failure, such as a watch that was cut, costs a registration one write
        at most.
        """
        return self.heartbeat

    @property
    def lag_limit(self) -> float:
        """Seconds for which peers may have a newer configuration."""
        return self.apply_within / 4

    @property
    def silence_limit(self) -> float:
        """Seconds without an answer, direct or relayed, after which changes may lack.

        Exceeds the age of the last answer as relayed by a hub that is waiting for its
        watch.
        """
        return self.apply_within * 7 / 8
