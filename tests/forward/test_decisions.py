"""Outcomes, the retry budget and the estimate of callers' prior waits."""

from hypothesis import given, strategies as st

from lagoontide.forward.outcome import NotRun, SendTracker, Unknown
from lagoontide.forward.prior_wait import PriorWaitEstimator
from lagoontide.forward.retries import RetryBudget


@given(st.lists(st.booleans(), max_size=6))
def test_not_run_requires_proof_for_every_send(proofs):
    send_tracker = SendTracker()
    for is_proved in proofs:
        number = send_tracker.register_send()
        if is_proved:
            send_tracker.mark_not_run(number)
    expected = NotRun if all(proofs) else Unknown
    assert isinstance(send_tracker.failure_outcome("why", 1.0), expected)


def test_proof_for_one_send_does_not_cover_another_send():
    send_tracker = SendTracker()
    send_tracker.register_send()
    send_tracker.mark_not_run(send_tracker.register_send())
    assert isinstance(send_tracker.failure_outcome("why"), Unknown)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@given(
    st.integers(1, 8),
    st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=200),
)
def test_retries_of_all_entries_stay_within_the_budget_of_any_window(entries, steps):
    clock = Clock()
    ratio, slack, window = 0.2, 20.0, 10.0
    budgets = [
        RetryBudget(ratio, slack, window, lambda: entries, clock)
        for _ in range(entries)
    ]
    requests, retries = [], []
    for number, (pause, wants_retry) in enumerate(steps):
        clock.now += pause / entries
        budget = budgets[number % entries]
        budget.record_request("s")
        requests.append(clock.now)
        if wants_retry and budget.take("s"):
            retries.append(clock.now)
        begin = clock.now - window
        allowed = ratio * sum(at >= begin for at in requests) + slack
        assert sum(at >= begin for at in retries) <= allowed


def test_shorter_timeout_is_taken_for_a_retry():
    estimator = PriorWaitEstimator()
    assert estimator.estimate("route", 6.0) == 0.0
    assert 2.0 < estimator.estimate("route", 3.0) <= 2.1
    assert estimator.estimate("other", 3.0) == 0.0
    assert estimator.estimate("route", None) == 0.0


def test_moderately_different_timeouts_are_not_taken_for_retries():
    # In a burst at Swanreach deadlines vary by 15 % either way.
    estimator = PriorWaitEstimator()
    waits = [estimator.estimate("route", 6.0 * share) for share in (1.15, 0.85, 1.0)]
    assert waits == [0.0, 0.0, 0.0]


def test_shorter_timeout_of_all_callers_is_learned():
    estimator = PriorWaitEstimator()
    estimator.estimate("route", 6.0)
    waits = [estimator.estimate("route", 3.0) for _ in range(500)]
    assert waits[0] > 2.0
    assert waits[-1] == 0.0
