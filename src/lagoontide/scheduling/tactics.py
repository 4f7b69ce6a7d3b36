"""What an agent decides of the work that waits: pure functions of its state."""

from collections.abc import Callable
from dataclasses import dataclass

from lagoontide.scheduling.queue import ArrivalQueue, FairQueue, Queue
from lagoontide.scheduling.sketch import Estimate

__all__ = [
    "ByArrival",
    "ByShare",
    "Order",
    "find_latest_start",
    "find_long_slots",
    "is_long",
    "make_queue",
]

# Work that is expected to run so many times as long as the median is long.
LONG_FACTOR = 6.0
LONG_SHARE = 0.25
LEAST_LONG_SLOTS = 1


@dataclass(frozen=True, slots=True)
class ByArrival:
    """Priority and order of arrival; a call is started until its deadline."""


@dataclass(frozen=True, slots=True)
class ByShare:
    """Priority, shares and slack; work that cannot make it is not started.

    Attributes
    ----------
    refuses : bool
        Whether a call that would start too late is refused on arrival.
    """

    refuses: bool = True
    separates: bool = True


Order = ByArrival | ByShare


def make_queue(order: Order) -> Queue:
    """Return the queue of an order."""
    make: Callable[[], Queue]
    match order:
        case ByArrival():
            make = ArrivalQueue
        case ByShare():
            make = FairQueue
    return make()


def is_long(expected: float, typical: float) -> bool:
    """Whether work is kept apart, from its expected and the median's seconds."""
    return typical > 0 and expected > LONG_FACTOR * typical


def find_long_slots(limit: int, running_long: int) -> int:
    """Return how many more long calls may start."""
    most = max(LEAST_LONG_SLOTS, int(LONG_SHARE * limit))
    return max(0, most - running_long)


def find_latest_start(deadline: float, estimate: Estimate) -> float:
    """Return the last moment to start a call that still has a fair chance."""
    return deadline - max(0.0, estimate.mean - estimate.deviation)
