"""Urgency of requests relative to each other."""

from lagoontide.routes.records import Account, Route

__all__ = ["LATE_URGENCY", "levels_below_highest", "urgency_of"]

# Larger numbers are treated as this one; the contract sets no lowest priority.
LOWEST_PRIORITY = 99
PRIORITY_LEVELS = LOWEST_PRIORITY + 1
# Work that is already late starts only if no other work is waiting.
LATE_URGENCY = PRIORITY_LEVELS * PRIORITY_LEVELS


def urgency_of(route: Route, account: Account | None) -> int:
    """Return the urgency of an account's requests to a route; 0 is the most urgent.

    Requests are ordered by the account's priority (PROTOCOL, Requests), then by the
    route's; an account without a priority has that of the route.
    """
    own = None if account is None else account.priority
    first = route.priority if own is None else own
    return _clamp_priority(first) * PRIORITY_LEVELS + _clamp_priority(route.priority)


def levels_below_highest(urgency: int) -> int:
    """Return the levels below the highest of the account's and the route's priority.

    The two numbers of levels are added.
    """
    return sum(divmod(urgency, PRIORITY_LEVELS))


def _clamp_priority(priority: int) -> int:
    return min(max(priority, 0), LOWEST_PRIORITY)
