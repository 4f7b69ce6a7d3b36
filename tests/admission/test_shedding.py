"""What is refused at the door."""

from hypothesis import given, settings, strategies as st

from lagoontide.admission.shedding import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    Demand,
    Shares,
    find_retry_after,
    should_shed,
)
from lagoontide.configuration.document import Priority

check = settings(derandomize=True, deadline=None, max_examples=100)
seconds = st.floats(0, 10)
demands = st.builds(
    Demand, st.sampled_from(Priority), seconds, seconds, seconds, st.floats(0, 10)
)


@check
@given(demands)
def test_nothing_is_shed_without_waiting(demand):
    calm = Demand(demand.priority, demand.work, 0.0, demand.budget, demand.use)
    assert not should_shed(calm)


@check
@given(demands, st.floats(0, 5))
def test_more_waiting_never_helps(demand, more):
    worse = Demand(
        demand.priority, demand.work, demand.wait + more, demand.budget, demand.use
    )
    assert should_shed(worse) or not should_shed(demand)


@check
@given(demands)
def test_higher_priority_is_shed_last(demand):
    shed = [
        should_shed(
            Demand(priority, demand.work, demand.wait, demand.budget, demand.use)
        )
        for priority in (Priority.HIGH, Priority.NORMAL, Priority.LOW)
    ]
    assert shed == sorted(shed)


@check
@given(demands)
def test_an_account_over_its_share_is_shed_first(demand):
    modest = Demand(demand.priority, demand.work, demand.wait, demand.budget, 0.5)
    greedy = Demand(demand.priority, demand.work, demand.wait, demand.budget, 5.0)
    assert should_shed(greedy) or not should_shed(modest)


@check
@given(demands)
def test_callers_are_told_when_to_come_back(demand):
    assert MIN_RETRY_AFTER_S <= find_retry_after(demand) <= MAX_RETRY_AFTER_S


def test_use_is_relative_to_the_weights_of_active_accounts():
    shares = Shares()
    for number in range(100):
        now = number * 0.01
        shares.note("heavy", 3.0, 0.3, now)
        shares.note("light", 1.0, 0.1, now)
    assert abs(shares.use_of("heavy", 1.0) - 1.0) < 0.05
    assert abs(shares.use_of("light", 1.0) - 1.0) < 0.05
    for _ in range(100):
        shares.note("light", 1.0, 0.3, 1.0)
    assert shares.use_of("light", 1.0) > 1.5
    assert shares.use_of("heavy", 1.0) < 1.0
    assert shares.use_of("nobody", 1.0) == 0.0
