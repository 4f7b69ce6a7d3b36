"""Order of requests by urgency."""

from hypothesis import given, strategies as st

from lagoontide.routes.records import Account, Route, RouteKind
from lagoontide.routes.urgency import LATE_URGENCY, levels_below_highest, urgency_of

PRIORITIES = st.integers(-5, 1000)


def urgency(route_priority, account_priority=None):
    route = Route(
        "r", "h", "/", RouteKind.STREAM, (), 1.0, 1.0, priority=route_priority
    )
    return urgency_of(route, Account("a", frozenset(), account_priority))


def test_route_priority_orders_accounts_of_equal_priority():
    assert urgency(0, 1) < urgency(1, 1) < urgency(2, 1)


def test_account_priority_outranks_route_priority():
    assert urgency(9, 0) < urgency(0, 1)


def test_route_priority_applies_without_an_account_priority():
    route = Route("r", "h", "/", RouteKind.STREAM, (), 1.0, 1.0, priority=3)
    assert urgency_of(route, None) == urgency(3)
    assert urgency(0) < urgency(3, 1) < urgency(2)


def test_steps_add_up_account_and_route_priority():
    assert levels_below_highest(urgency(2, 1)) == 3


@given(PRIORITIES, st.none() | PRIORITIES)
def test_late_work_is_the_least_urgent(route_priority, account_priority):
    assert 0 <= urgency(route_priority, account_priority) < LATE_URGENCY
