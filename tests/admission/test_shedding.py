"""Tests of load shedding and of the fair shares of accounts."""

from hypothesis import given, settings, strategies as st

from lagoontide.admission.shedding import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    AccountUsage,
    AdmissionRequest,
    find_retry_after,
    should_shed,
)
from lagoontide.configuration.document import Priority

check = settings(derandomize=True, deadline=None, max_examples=100)
seconds = st.floats(0, 10)
demands = st.builds(
    AdmissionRequest,
    st.sampled_from(Priority),
    seconds,
    seconds,
    seconds,
    st.floats(0, 10),
)


@check
@given(demands)
def test_nothing_is_shed_without_a_wait(demand):
    without_wait = AdmissionRequest(
        demand.priority, demand.work, 0.0, demand.budget, demand.usage_ratio
    )
    assert not should_shed(without_wait)


@check
@given(demands, st.floats(0, 5))
def test_a_longer_wait_never_admits_a_shed_request(demand, more):
    with_longer_wait = AdmissionRequest(
        demand.priority,
        demand.work,
        demand.wait + more,
        demand.budget,
        demand.usage_ratio,
    )
    assert should_shed(with_longer_wait) or not should_shed(demand)


@check
@given(demands)
def test_higher_priority_is_shed_last(demand):
    shed = [
        should_shed(
            AdmissionRequest(
                priority, demand.work, demand.wait, demand.budget, demand.usage_ratio
            )
        )
        for priority in (Priority.HIGH, Priority.NORMAL, Priority.LOW)
    ]
    assert shed == sorted(shed)


@check
@given(demands)
def test_an_account_over_its_share_is_shed_first(demand):
    below_share = AdmissionRequest(
        demand.priority, demand.work, demand.wait, demand.budget, 0.5
    )
    above_share = AdmissionRequest(
        demand.priority, demand.work, demand.wait, demand.budget, 5.0
    )
    assert should_shed(above_share) or not should_shed(below_share)


@check
@given(demands)
def test_retry_after_is_within_its_limits(demand):
    assert MIN_RETRY_AFTER_S <= find_retry_after(demand) <= MAX_RETRY_AFTER_S


def test_usage_ratio_is_relative_to_the_weights_of_active_accounts():
    account_usage = AccountUsage()
    for number in range(100):
        now = number * 0.01
        account_usage.record("heavy", 3.0, 0.3, now)
        account_usage.record("light", 1.0, 0.1, now)
    assert abs(account_usage.usage_ratio("heavy", 1.0) - 1.0) < 0.05
    assert abs(account_usage.usage_ratio("light", 1.0) - 1.0) < 0.05
    for _ in range(100):
        account_usage.record("light", 1.0, 0.3, 1.0)
    assert account_usage.usage_ratio("light", 1.0) > 1.5
    assert account_usage.usage_ratio("heavy", 1.0) < 1.0
    assert account_usage.usage_ratio("nobody", 1.0) == 0.0
