"""Burn rates and error budgets, computed from merged windows."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum
from itertools import groupby

from lagoontide.report.messages import Objectives
from lagoontide.report.tally import Tally
from lagoontide.report.window import RequestKey, Window

__all__ = [
    "Alert",
    "Burn",
    "DEFAULT_OBJECTIVE",
    "PAIRS",
    "Pair",
    "WINDOWS_S",
    "burn_by",
    "find_alert",
]

DEFAULT_OBJECTIVE = 0.99


class Alert(StrEnum):
    """How urgent a burn is."""

    NONE = "none"
    SLOW = "slow"
    FAST = "fast"


@dataclass(frozen=True, slots=True)
class Pair:
    """A short and a long window that must both burn at ``threshold``.

    The long one says that it matters, the short one that it still goes on.
    """

    alert: Alert
    short: float
    long: float
    threshold: float


# A rate of 1 spends the budget exactly over the objective's window; over 30 days
# 14.4 spends 2% of it in an hour and 6 spends 5% in six hours.
PAIRS = (
    Pair(Alert.FAST, 300.0, 3600.0, 14.4),
    Pair(Alert.SLOW, 1800.0, 21600.0, 6.0),
)
WINDOWS_S = tuple(sorted({x for pair in PAIRS for x in (pair.short, pair.long)}))


@dataclass(frozen=True, slots=True)
class Burn:
    """Requests of a route, an account or both against their objective.

    Attributes
    ----------
    allowed : float
        Requests that might have missed without missing the objective.
    """

    tally: Tally
    allowed: float

    @property
    def rate(self) -> float | None:
        """How many times faster than allowed the budget goes; None without data."""
        return self.tally.bad / self.allowed if self.allowed else None

    @property
    def budget_left(self) -> float | None:
        """Share of the budget of the window that is left; below 0 if overspent."""
        return None if self.rate is None else 1.0 - self.rate


def burn_by(
    window: Window, objectives: Objectives, group: Callable[[RequestKey], str]
) -> dict[str, Burn]:
    """Return the burn of each group of routes and accounts."""
    items = sorted(window.requests.items(), key=lambda item: group(item[0]))
    return {
        name: _add_up(members, objectives)
        for name, members in groupby(items, lambda item: group(item[0]))
    }


def _add_up(
    members: Iterable[tuple[RequestKey, Tally]], objectives: Objectives
) -> Burn:
    tally, allowed = Tally(), 0.0
    for key, part in members:
        tally.merge(part)
        allowed += part.total * (1.0 - _objective(key, objectives))
    return Burn(tally, allowed)


def _objective(key: RequestKey, objectives: Objectives) -> float:
    own = objectives.accounts.get(key.account)
    if own is not None:
        return own
    return objectives.routes.get(key.route, DEFAULT_OBJECTIVE)


def find_alert(rate: Callable[[float], float | None]) -> Alert:
    """Return the most urgent alert, given the burn rate by window in seconds."""
    for pair in PAIRS:
        rates = (rate(pair.short), rate(pair.long))
        if all(x is not None and x >= pair.threshold for x in rates):
            return pair.alert
    return Alert.NONE
