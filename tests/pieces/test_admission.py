"""Admission of requests with stages, and the forecast behind it."""

from dataclasses import replace

from hypothesis import given, strategies as st

from lagoontide.pieces.admission import Forecast, judge, share_of
from lagoontide.pieces.calibration import Calibration
from lagoontide.pieces.costs import CallCosts
from lagoontide.pieces.demand import (
    Demand,
    Need,
    piece_cost,
    predict_kind_wait,
    predict_wait,
)
from lagoontide.routes.urgency import LATE_URGENCY
from tests.pieces.examples import WORK

CALM = Forecast(
    work=0.8,
    wait=0.2,
    kind_wait=0.2,
    late_wait=0.2,
    objective_left=2.0,
    time_left=6.0,
    is_return=False,
    urgency=1,
)


def test_calm_is_begun_with_its_own_urgency():
    verdict = judge(CALM)
    assert (verdict.is_admitted, verdict.urgency) == (True, 1)


def test_burst_asks_to_come_back_as_late_as_callers_may():
    burst = replace(CALM, wait=3.0, kind_wait=3.0, late_wait=3.0)
    verdict = judge(burst)
    assert not verdict.is_admitted
    assert 1.5 <= verdict.retry_after <= 2.0
    assert judge(replace(burst, spread=0.7)).retry_after < verdict.retry_after


def test_burst_does_not_refuse_a_caller_twice_that_can_still_be_served():
    back = replace(CALM, wait=3.0, kind_wait=3.0, late_wait=2.0, is_return=True)
    assert judge(replace(back, time_left=4.1)).is_admitted
    assert not judge(replace(back, time_left=3.0)).is_admitted


def test_burst_does_not_starve_a_priority_that_keeps_to_its_share():
    verdict = judge(replace(CALM, wait=5.0, kind_wait=0.5, late_wait=6.0))
    assert verdict.is_admitted


def test_after_a_burst_what_comes_back_is_begun_behind_others():
    back = replace(CALM, objective_left=-0.5, is_return=True)
    verdict = judge(back)
    assert (verdict.is_admitted, verdict.urgency) == (True, LATE_URGENCY)


def test_overload_does_not_begin_what_cannot_end():
    verdict = judge(replace(CALM, objective_left=-0.5, time_left=0.9))
    assert not verdict.is_admitted


@given(st.sets(st.integers(0, 9), min_size=1, max_size=5))
def test_shares_fall_with_the_rank_and_make_a_whole(priorities):
    shares = [share_of(priority, priorities) for priority in sorted(priorities)]
    assert abs(sum(shares) - 1.0) < 1e-9
    assert shares == sorted(shares, reverse=True)
    assert min(shares) > 0.05


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def test_needs_of_all_entries_count_until_their_word_is_old():
    clock = Clock()
    demand = Demand(clock)
    demand.add(Need("s", 0, 1.0))
    demand.take("peer", [("s", 1, 2.0)])
    assert predict_wait(demand.total(), "s", 1, 2) == 1.5
    clock.now = 2.0
    assert predict_wait(demand.total(), "s", 1, 2) == 0.5
    demand.remove(Need("s", 0, 1.0))
    assert demand.total() == {}


def test_late_work_delays_only_late_work():
    total = {("s", LATE_URGENCY): 4.0, ("s", 0): 1.0}
    assert predict_wait(total, "s", 0, 1) == 1.0
    assert predict_wait(total, "s", LATE_URGENCY, 1) == 5.0
    assert predict_kind_wait(total, "s", 0, 1, 0.5) == 2.0


def test_no_target_is_an_endless_wait():
    assert predict_wait({}, "s", 0, 0) == float("inf")
    assert not judge(
        replace(CALM, wait=float("inf"), kind_wait=float("inf"), late_wait=9.0)
    ).is_admitted


def test_a_piece_costs_its_calls_share_or_its_room():
    assert abs(piece_cost(WORK, 1000.0) - 0.1) < 1e-6
    assert piece_cost(WORK, 4.5e6) > 0.3


def teach(calibration, clock, times, taken, every=0.1):
    for _ in range(times):
        clock.now += every
        calibration.learn(1.0, taken)


def test_the_forecast_learns_how_long_stages_take():
    clock = Clock()
    calibration = Calibration(clock)
    teach(calibration, clock, 50, 1.5)
    assert 1.4 < calibration.factor < 1.6
    teach(calibration, clock, 200, 100.0)
    assert calibration.factor <= 2.5


def test_burst_that_lets_nothing_through_is_forgotten_within_seconds():
    clock = Clock()
    calibration = Calibration(clock)
    teach(calibration, clock, 50, 2.5)
    assert calibration.factor > 2.3
    clock.now += 3.0
    assert calibration.factor < 1.4


def test_burst_of_which_few_requests_tell_is_forgotten_within_seconds():
    clock = Clock()
    calibration = Calibration(clock)
    teach(calibration, clock, 50, 2.5)
    teach(calibration, clock, 4, 1.0, every=0.5)
    assert calibration.factor < 1.4


def test_trickle_does_not_follow_a_single_slow_request():
    clock = Clock()
    calibration = Calibration(clock)
    teach(calibration, clock, 10, 1.0, every=2.0)
    teach(calibration, clock, 1, 2.5, every=2.0)
    assert calibration.factor < 1.7


def test_stall_of_the_targets_does_not_keep_requests_out_after_it():
    clock = Clock()
    calibration = Calibration(clock)
    for _ in range(100):
        clock.now += 0.05
        calibration.learn_target("r", 5.0)
    assert calibration.target_time("r") > 2.0
    clock.now += 5.0
    assert calibration.target_time("r") < 0.5


def test_call_costs_are_learned_by_the_kind_of_their_pieces():
    costs = CallCosts(WORK)
    for _ in range(60):
        costs.learn(["light"] * 4, 0.2 + 4 * 0.01)
        costs.learn(["heavy"] * 2, 0.2 + 2 * 0.08)
    assert abs(costs.predict(["light"] * 2) - 0.22) < 0.02
    assert abs(costs.predict(["heavy"]) - 0.28) < 0.02
