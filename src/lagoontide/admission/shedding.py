"""Load shedding: requests that an entry rejects while it is overloaded."""

import math
from dataclasses import dataclass

from lagoontide.configuration.document import Priority

__all__ = [
    "AccountUsage",
    "AdmissionRequest",
    "effective_priority",
    "find_retry_after",
    "should_shed",
]

# Maximum share of a request's time budget for its expected time, by priority.
MAX_BUDGET_SHARE = {Priority.HIGH: 1.0, Priority.NORMAL: 0.8, Priority.LOW: 0.6}
# The maximum share is multiplied by this for accounts whose usage ratio is above the
# threshold.
OVERUSE_BUDGET_FACTOR = 0.5
OVERUSE_THRESHOLD = 1.2
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 5.0
# Time constant of the exponential decay of admitted work.
USAGE_DECAY_S = 5.0
# Up to this usage ratio an account does not wait for the work of others.
LIGHT_USE_THRESHOLD = 0.75
# An account with at most this share of all recent work does not count as active.
MIN_ACTIVE_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Expected time and deadline of a request that is to be admitted.

    Attributes
    ----------
    work : float
        Expected seconds of its stages at their targets.
    wait : float
        Expected seconds that it waits before its stages run.
    budget : float
        Seconds until its deadline.
    usage_ratio : float
        Recent usage of its account relative to the account's fair share.
    """

    priority: Priority
    work: float
    wait: float
    budget: float
    usage_ratio: float = 1.0


def _effective_wait(request: AdmissionRequest) -> float:
    """Return the expected wait, corrected for the account's usage.

    Agents schedule accounts by fair share, so an account that uses little of its
    share does not wait for the queued work of others.
    """
    excess = (request.usage_ratio - LIGHT_USE_THRESHOLD) / (1 - LIGHT_USE_THRESHOLD)
    return request.wait * min(1.0, max(0.0, excess))


def effective_priority(request: AdmissionRequest) -> Priority:
    """Return the effective priority of a request.

    While requests wait, an account that exceeds its fair share gets the lowest one.
    """
    if request.wait > 0 and request.usage_ratio > OVERUSE_THRESHOLD:
        return Priority.LOW
    return request.priority


def should_shed(request: AdmissionRequest) -> bool:
    """Return whether to reject a request because it is unlikely to finish in time.

    Nothing is shed if there is no wait, since priorities and fair shares matter only
    while requests are queued.
    """
    wait = _effective_wait(request)
    if wait <= 0:
        return False
    room = MAX_BUDGET_SHARE[request.priority]
    if request.usage_ratio > OVERUSE_THRESHOLD:
        room *= OVERUSE_BUDGET_FACTOR
    return wait > max(0.0, room * request.budget - request.work)


def find_retry_after(request: AdmissionRequest) -> float:
    """Return the seconds after which a rejected caller may retry."""
    overrun = (
        request.wait
        + request.work
        - MAX_BUDGET_SHARE[request.priority] * request.budget
    )
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, request.wait, overrun))


@dataclass(slots=True)
class _DecayingWork:
    """Sum of admitted work that decays exponentially with time.

    Attributes
    ----------
    weight : float
        Weight of the account in fair sharing.
    at : float
        Time of the last decay.
    """

    weight: float
    work: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> float:
        self.work *= math.exp((self.at - now) / USAGE_DECAY_S)
        self.at = now
        return self.work


class AccountUsage:
    """Recent usage of each account relative to its fair share."""

    def __init__(self) -> None:
        self._work_by_account: dict[str, _DecayingWork] = {}
        self._total_work = _DecayingWork(1.0)

    def record(self, account: str, weight: float, work: float, now: float) -> None:
        """Add work of an account that was admitted."""
        use = self._work_by_account.setdefault(account, _DecayingWork(weight))
        use.weight = weight
        use.decay(now)
        use.work += work
        self._total_work.decay(now)
        self._total_work.work += work

    def usage_ratio(self, account: str, now: float) -> float:
        """Return the ratio of an account's usage to its fair share.

        The fair share is by weight among the active accounts.
        """
        use = self._work_by_account.get(account)
        total = self._total_work.decay(now)
        if use is None or total <= 0:
            return 0.0
        own_work = use.decay(now)
        active = [
            other.weight
            for other in self._work_by_account.values()
            if other.decay(now) > total * MIN_ACTIVE_SHARE
        ]
        fair_share = use.weight / max(use.weight, sum(active))
        return own_work / total / fair_share
