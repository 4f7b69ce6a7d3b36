"""Running estimates against what they estimate."""

import random

from hypothesis import given, settings, strategies as st

from lagoontide.scheduling.sketch import Estimates, Quantile

check = settings(derandomize=True, deadline=None, max_examples=50)


@check
@given(st.sampled_from([0.1, 0.5, 0.95]), st.integers(0, 1000), st.floats(0.001, 10))
def test_quantile_has_about_its_share_below(share, seed, scale):
    rng = random.Random(seed)
    quantile = Quantile(share)
    draw = lambda: scale * rng.lognormvariate(0, 0.5)  # noqa: E731
    for _ in range(2000):
        quantile.add(draw())
    below = sum(draw() <= quantile.value for _ in range(4000)) / 4000
    assert abs(below - share) < 0.15


def test_quantile_follows_a_change():
    quantile = Quantile(0.5)
    for _ in range(200):
        quantile.add(1.0)
    for _ in range(200):
        quantile.add(10.0)
    assert quantile.value > 9.0


def test_unknown_work_is_expected_to_take_as_long_as_all_work():
    estimates = Estimates(unknown=0.05)
    assert estimates.get("draft").mean == 0.05
    for _ in range(100):
        estimates.add("reply", 0.2)
    assert abs(estimates.get("draft").mean - 0.2) < 0.01


def test_kinds_are_bounded():
    estimates = Estimates(unknown=0.05)
    for number in range(5000):
        estimates.add(number, 1.0)
    assert len(estimates._by_kind) <= 512
