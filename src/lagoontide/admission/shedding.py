"""What an entry refuses at the door when there is more work than time for it."""

import math
from dataclasses import dataclass

from lagoontide.configuration.document import Priority

__all__ = [
    "Demand",
    "Shares",
    "find_priority",
    "find_retry_after",
    "should_shed",
]

# Share of a request's time that its expected time may take, by priority.
ROOM = {Priority.HIGH: 1.0, Priority.NORMAL: 0.8, Priority.LOW: 0.6}
# An account that uses more than its share has so much less room.
OVER_SHARE_FACTOR = 0.5
OVER_SHARE = 1.2
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
SHARE_MEMORY_S = 5.0
# Up to this part of its share an account waits for nobody else's work.
CALM_USE = 0.75
# An account with less of the work than this is not counted among the active.
ACTIVE_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class Demand:
    """A request at the door.

    Attributes
    ----------
    work : float
        Expected seconds of its stages at their targets.
    wait : float
        Expected seconds of waiting before them.
    budget : float
        Seconds until its deadline.
    use : float
        What its account uses relative to its fair share.
    """

    priority: Priority
    work: float
    wait: float
    budget: float
    use: float = 1.0


def _own_wait(demand: Demand) -> float:
    """Return the wait that the account itself meets.

    The agents serve accounts by share, so one that uses little of its own does
    not wait for what others have queued.
    """
    above = (demand.use - CALM_USE) / (1 - CALM_USE)
    return demand.wait * min(1.0, max(0.0, above))


def find_priority(demand: Demand) -> Priority:
    """Return the priority with which a request is served.

    While others wait, an account beyond its share has none over them.
    """
    if demand.wait > 0 and demand.use > OVER_SHARE:
        return Priority.LOW
    return demand.priority


def should_shed(demand: Demand) -> bool:
    """Whether a request is refused because it would hardly be served in time.

    Without waiting nothing is shed: only queues make priorities and shares matter.
    """
    wait = _own_wait(demand)
    if wait <= 0:
        return False
    room = ROOM[demand.priority]
    if demand.use > OVER_SHARE:
        room *= OVER_SHARE_FACTOR
    return wait > max(0.0, room * demand.budget - demand.work)


def find_retry_after(demand: Demand) -> float:
    """Return the seconds after which the caller may come back."""
    over = demand.wait + demand.work - ROOM[demand.priority] * demand.budget
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, demand.wait, over))


@dataclass(slots=True)
class _Use:
    """Work admitted of late, fading with time."""

    weight: float
    work: float = 0.0
    at: float = 0.0

    def fade(self, now: float) -> float:
        self.work *= math.exp((self.at - now) / SHARE_MEMORY_S)
        self.at = now
        return self.work


class Shares:
    """What each account has used of late relative to its fair share."""

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}
        self._work = _Use(1.0)

    def note(self, account: str, weight: float, work: float, now: float) -> None:
        """Count work that was admitted."""
        use = self._uses.setdefault(account, _Use(weight))
        use.weight = weight
        use.fade(now)
        use.work += work
        self._work.fade(now)
        self._work.work += work

    def use_of(self, account: str, now: float) -> float:
        """Return use over fair share among the accounts that are active."""
        use = self._uses.get(account)
        total = self._work.fade(now)
        if use is None or total <= 0:
            return 0.0
        mine = use.fade(now)
        active = [
            x.weight for x in self._uses.values() if x.fade(now) > total * ACTIVE_SHARE
        ]
        fair = use.weight / max(use.weight, sum(active))
        return mine / total / fair
