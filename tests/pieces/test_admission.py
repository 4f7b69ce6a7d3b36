"""Admission of requests with stages, and the forecast behind it."""

from dataclasses import replace

from hypothesis import given, strategies as st

from lagoontide.pieces.admission import Forecast, decide_admission, guaranteed_share
from lagoontide.pieces.calibration import Calibration
from lagoontide.pieces.costs import CallCosts
from lagoontide.pieces.demand import (
    Demand,
    Need,
    piece_cost,
    predict_share_wait,
    predict_wait,
)
from lagoontide.routes.urgency import LATE_URGENCY
from tests.pieces.examples import WORK

UNLOADED = Forecast(
    work=0.8,
    wait=0.2,
    share_wait=0.2,
    late_wait=0.2,
    objective_left=2.0,
    time_left=6.0,
    is_client_retry=False,
    urgency=1,
)


def test_request_without_load_is_admitted_with_its_own_urgency():
    decision = decide_admission(UNLOADED)
    assert (decision.is_admitted, decision.urgency) == (True, 1)


def test_burst_refuses_with_the_latest_allowed_retry_after():
    burst = replace(UNLOADED, wait=3.0, share_wait=3.0, late_wait=3.0)
    decision = decide_admission(burst)
    assert not decision.is_admitted
    assert 1.5 <= decision.retry_after <= 2.0
    assert (
        decide_admission(replace(burst, retry_jitter=0.7)).retry_after
        < decision.retry_after
    )


def test_burst_admits_a_retry_that_can_still_be_served():
    returning = replace(
        UNLOADED, wait=3.0, share_wait=3.0, late_wait=2.0, is_client_retry=True
    )
    assert decide_admission(replace(returning, time_left=4.1)).is_admitted
    assert not decide_admission(replace(returning, time_left=3.0)).is_admitted


def test_burst_does_not_starve_a_priority_within_its_share():
    decision = decide_admission(
        replace(UNLOADED, wait=5.0, share_wait=0.5, late_wait=6.0)
    )
    assert decision.is_admitted


def test_after_a_burst_retries_are_admitted_as_late():
    returning = replace(UNLOADED, objective_left=-0.5, is_client_retry=True)
    decision = decide_admission(returning)
    assert (decision.is_admitted, decision.urgency) == (True, LATE_URGENCY)


def test_overload_refuses_requests_that_cannot_end_in_time():
    decision = decide_admission(replace(UNLOADED, objective_left=-0.5, time_left=0.9))
    assert not decision.is_admitted


@given(st.sets(st.integers(0, 9), min_size=1, max_size=5))
def test_shares_decrease_with_rank_and_sum_to_one(priorities):
    shares = [guaranteed_share(priority, priorities) for priority in sorted(priorities)]
    assert abs(sum(shares) - 1.0) < 1e-9
    assert shares == sorted(shares, reverse=True)
    assert min(shares) > 0.05


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def test_needs_of_peers_count_until_they_are_stale():
    clock = Clock()
    demand = Demand(clock)
    demand.add(Need("s", 0, 1.0))
    demand.update_peer("peer", [("s", 1, 2.0)])
    assert predict_wait(demand.total(), "s", 1, 2) == 1.5
    clock.now = 2.0
    assert predict_wait(demand.total(), "s", 1, 2) == 0.5
    demand.remove(Need("s", 0, 1.0))
    assert demand.total() == {}


def test_late_work_delays_only_late_work():
    total = {("s", LATE_URGENCY): 4.0, ("s", 0): 1.0}
    assert predict_wait(total, "s", 0, 1) == 1.0
    assert predict_wait(total, "s", LATE_URGENCY, 1) == 5.0
    assert predict_share_wait(total, "s", 0, 1, 0.5) == 2.0


def test_wait_without_targets_is_infinite():
    assert predict_wait({}, "s", 0, 0) == float("inf")
    assert not decide_admission(
        replace(UNLOADED, wait=float("inf"), share_wait=float("inf"), late_wait=9.0)
    ).is_admitted


def test_piece_costs_its_share_of_a_call_or_of_the_memory():
    assert abs(piece_cost(WORK, 1000.0) - 0.1) < 1e-6
    assert piece_cost(WORK, 4.5e6) > 0.3


def observe_many(calibration, clock, times, elapsed, every=0.1):
    for _ in range(times):
        clock.now += every
        calibration.observe(1.0, elapsed)


def test_calibration_follows_observed_stage_times():
    clock = Clock()
    calibration = Calibration(clock)
    observe_many(calibration, clock, 50, 1.5)
    assert 1.4 < calibration.factor < 1.6
    observe_many(calibration, clock, 200, 100.0)
    assert calibration.factor <= 2.5


def test_burst_without_admitted_requests_is_forgotten_within_seconds():
    clock = Clock()
    calibration = Calibration(clock)
    observe_many(calibration, clock, 50, 2.5)
    assert calibration.factor > 2.3
    clock.now += 3.0
    assert calibration.factor < 1.4


def test_burst_with_few_later_observations_is_forgotten_within_seconds():
    clock = Clock()
    calibration = Calibration(clock)
    observe_many(calibration, clock, 50, 2.5)
    observe_many(calibration, clock, 4, 1.0, every=0.5)
    assert calibration.factor < 1.4


def test_trickle_is_not_dominated_by_a_single_slow_request():
    clock = Clock()
    calibration = Calibration(clock)
    observe_many(calibration, clock, 10, 1.0, every=2.0)
    observe_many(calibration, clock, 1, 2.5, every=2.0)
    assert calibration.factor < 1.7


def test_stall_of_targets_does_not_cause_refusals_after_it():
    clock = Clock()
    calibration = Calibration(clock)
    for _ in range(100):
        clock.now += 0.05
        calibration.observe_target_time("r", 5.0)
    assert calibration.target_time("r") > 2.0
    clock.now += 5.0
    assert calibration.target_time("r") < 0.5


def test_call_costs_are_estimated_by_kind_of_piece():
    costs = CallCosts(WORK)
    for _ in range(60):
        costs.observe(["light"] * 4, 0.2 + 4 * 0.01)
        costs.observe(["heavy"] * 2, 0.2 + 2 * 0.08)
    assert abs(costs.predict(["light"] * 2) - 0.22) < 0.02
    assert abs(costs.predict(["heavy"]) - 0.28) < 0.02
