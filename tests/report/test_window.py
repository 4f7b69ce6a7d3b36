"""Windows merge in any order and hold what was counted."""

from hypothesis import given, settings, strategies as st

from lagoontide.report import window as window_module
from lagoontide.report.sketch import RELATIVE_ACCURACY, Sketch, make_sketch
from lagoontide.report.slots import TIERS, Slots
from lagoontide.report.tally import AttemptTally, Tally
from lagoontide.report.window import (
    OTHERS,
    AttemptKey,
    DurationKey,
    RequestKey,
    Window,
    make_window,
)

names = st.sampled_from("abc")
small = st.integers(0, 50)
durations = st.floats(0, 1e5, allow_nan=False)
steady = settings(derandomize=True, deadline=None, max_examples=60)


@st.composite
def windows(draw):
    window = Window()
    for key in draw(st.lists(st.builds(RequestKey, names, names), max_size=4)):
        window.tally(key).merge(Tally(*(draw(small) for _ in range(6))))
    for key in draw(
        st.lists(st.builds(AttemptKey, names, names, names, names), max_size=3)
    ):
        window.attempt(key).merge(AttemptTally(*(draw(small) for _ in range(5))))
    for key in draw(st.lists(st.builds(DurationKey, names), max_size=3)):
        for value in draw(st.lists(durations, max_size=5)):
            window.sketch(key).add(value)
    return window


def shape(window):
    data = window.to_data()
    return (
        sorted((x.route, x.account, repr(x.tally)) for x in data.requests),
        sorted((x[:] if isinstance(x, tuple) else repr(x)) for x in data.attempts),
        sorted(repr(x) for x in data.durations if x.data.counts),
    )


def total(*parts):
    window = Window()
    for part in parts:
        window.merge(part)
    return window


@steady
@given(windows(), windows(), windows())
def test_merge_is_associative_and_order_free(a, b, c):
    wanted = shape(total(total(a, b), c))
    assert shape(total(a, total(b, c))) == wanted
    assert shape(total(c, b, a)) == wanted
    assert shape(make_window(x.to_data() for x in (b, c, a))) == wanted


@steady
@given(st.lists(st.floats(1e-4, 1e3), min_size=1), st.integers(0, 100))
def test_a_sketch_that_travelled_gives_the_same_quantiles(values, percent):
    sketch = Sketch()
    for value in values:
        sketch.add(value)
    travelled = make_sketch(sketch.to_data())
    share = percent / 100
    assert travelled.count == len(values)
    assert travelled.quantile(share) == sketch.quantile(share)
    # The sketch's quantile is that of the value at the rank rounded down.
    exact = sorted(values)[int(share * (len(values) - 1))]
    assert abs(sketch.quantile(share) - exact) <= exact * RELATIVE_ACCURACY * 1.001


def test_names_beyond_the_bound_are_counted_as_others(monkeypatch):
    monkeypatch.setattr(window_module, "MAX_REQUEST_KEYS", 2)
    window = Window()
    for number in range(5):
        window.tally(RequestKey("query", f"account-{number}")).good += 1
    assert window.requests[RequestKey("query", OTHERS)].good == 3
    assert sum(tally.good for tally in window.requests.values()) == 5


def count(slots, now):
    return sum(
        tally.good
        for slot in slots.list(now)
        for tally in slot.window.requests.values()
    )


kept = sum(tier.length * tier.slots for tier in TIERS)


@steady
@given(st.lists(st.floats(-1000, 500), min_size=1, max_size=60))
def test_a_clock_that_jumps_loses_and_doubles_nothing(steps):
    now = newest = 5000.0
    slots = Slots(now)
    for done, step in enumerate(steps, 1):
        now = max(0.0, now + step)
        newest = max(newest, now)
        slots.current(now).tally(RequestKey("query", "metro")).good += 1
        if newest < 5000 + kept - TIERS[-1].length:
            assert count(slots, now) == done
    starts = [slot.start for slot in slots.list(now)]
    assert starts == sorted(starts, reverse=True)


def test_slots_stay_bounded_and_old_ones_go():
    slots = Slots(0.0)
    for minute in range(24 * 60):
        slots.current(minute * 60.0).tally(RequestKey("query", "metro")).good += 1
    assert len(slots.list(24 * 3600.0)) <= sum(tier.slots + 1 for tier in TIERS)
    assert 6 * 60 <= count(slots, 24 * 3600.0 - 1) <= 8 * 60
    hour = [s for s in slots.list(24 * 3600.0 - 1) if s.end > 23 * 3600.0]
    in_hour = sum(x.good for s in hour for x in s.window.requests.values())
    assert 60 <= in_hour <= 70
    assert count(slots, 1e7) == 0
