"""Order of waiting calls: shares, slack, lanes and starvation."""

from collections import Counter

from hypothesis import given, settings, strategies as st

from lagoontide.configuration.document import Priority
from lagoontide.scheduling.fair import FairLane
from lagoontide.scheduling.queue import TURNS, FairQueue
from lagoontide.scheduling.waiting import Waiting

check = settings(derandomize=True, deadline=None, max_examples=100)
ANY_SLOTS = 1_000_000


def make(
    number, account="a", priority=Priority.NORMAL, cost=1.0, latest=0.0, **options
):
    return Waiting(str(number), account, priority, latest + 1, cost, latest, **options)


items = st.builds(
    make,
    number=st.integers(0, 10_000),
    account=st.sampled_from("abcd"),
    priority=st.sampled_from(Priority),
    cost=st.floats(0.01, 5),
    latest=st.floats(0, 100),
    weight=st.floats(0.5, 4),
    is_long=st.booleans(),
)


@check
@given(st.lists(items, unique_by=lambda x: x.attempt), st.data())
def test_every_call_comes_out_once_unless_removed(waiting, data):
    queue = FairQueue()
    for item in waiting:
        queue.push(item)
    names = [item.attempt for item in waiting]
    gone = data.draw(st.sets(st.sampled_from(names))) if names else set()
    for name in gone:
        assert queue.remove(name).attempt == name
        assert queue.remove(name) is None
    out = []
    while (item := queue.pop(ANY_SLOTS)) is not None:
        out.append(item.attempt)
    assert sorted(out) == sorted(set(names) - gone)
    assert len(queue) == 0


@check
@given(st.floats(0.5, 8), st.floats(0.5, 8), st.floats(0.05, 2), st.floats(0.05, 2))
def test_busy_accounts_get_work_by_their_weights(heavy, light, cost_a, cost_b):
    lane = FairLane()
    rounds = 400
    for number in range(rounds):
        lane.push(make(f"a{number}", "a", cost=cost_a, weight=heavy))
        lane.push(make(f"b{number}", "b", cost=cost_b, weight=light))
    used = Counter()
    while min(used["a"] / cost_a, used["b"] / cost_b) < rounds - 1:
        item = lane.pop()
        used[item.account] += item.cost
        if max(used["a"] / cost_a, used["b"] / cost_b) >= rounds - 1:
            break
    lag = abs(used["a"] / heavy - used["b"] / light)
    assert lag <= cost_a / heavy + cost_b / light + 1e-6


def test_an_account_that_was_away_has_saved_up_nothing():
    lane = FairLane()
    for number in range(50):
        lane.push(make(f"a{number}", "a"))
    for _ in range(40):
        lane.pop()
    for number in range(10):
        lane.push(make(f"b{number}", "b"))
    nearest = [lane.pop().account for _ in range(6)]
    assert Counter(nearest)["a"] >= 2


def test_least_slack_goes_first_within_an_account():
    lane = FairLane()
    for latest in (5.0, 1.0, 3.0):
        lane.push(make(latest, latest=latest))
    assert [lane.pop().latest_start for _ in range(3)] == [1.0, 3.0, 5.0]


def test_priority_comes_before_shares_and_slack():
    queue = FairQueue()
    queue.push(make("low", priority=Priority.LOW, latest=0.0))
    queue.push(make("high", priority=Priority.HIGH, latest=9.0))
    assert queue.pop(ANY_SLOTS).attempt == "high"


def test_low_priority_does_not_starve():
    queue = FairQueue()
    queue.push(make("low", priority=Priority.LOW))
    for number in range(2 * TURNS):
        queue.push(make(number, priority=Priority.HIGH))
    out = [queue.pop(ANY_SLOTS).attempt for _ in range(TURNS)]
    assert "low" in out


def test_long_calls_wait_for_their_slots_and_block_nobody():
    queue = FairQueue()
    queue.push(make("long", is_long=True))
    queue.push(make("short"))
    assert queue.pop(0).attempt == "short"
    assert queue.pop(0) is None
    assert queue.pop(1).attempt == "long"
