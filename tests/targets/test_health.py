"""Penalties of targets that seem slow or unreliable, as one entry sees them."""

import itertools
import random

import pytest

from lagoontide.targets.choose import choose_lowest_cost
from lagoontide.targets.health import Health
from lagoontide.targets.load import Loads
from lagoontide.targets.records import Target, TargetState


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


class Scene:
    """Three targets, of which the first was slow or failed some time ago."""

    def __init__(self, usual=0.05, first=0.05, has_failed=False):
        self.clock = Clock()
        self.health = Health(self.clock)
        self.targets = [
            Target(f"t{n}", "s", "h", n, "z1", TargetState.READY) for n in range(3)
        ]
        for target, _ in itertools.product(self.targets, range(8)):
            self.health.record_response(target, usual, False)
        for _ in range(8):
            self.health.record_response(self.targets[0], first, has_failed)

    def choose(self):
        """Return the target of a request that is alone."""
        loads, rng = Loads(self.clock), random.Random(1)
        choice = choose_lowest_cost(self.targets, loads, self.health, "z1", rng)
        return choice.target

    def seconds_avoided(self):
        """Return the seconds until the first target gets a request again."""
        since = self.clock.now
        for tenths in range(1200):
            self.clock.now = since + tenths / 10
            if any(self.choose() is self.targets[0] for _ in range(8)):
                return tenths / 10
            for target in self.targets[1:]:
                self.health.record_response(target, 0.05, False)
        return float("inf")


# Guards against targets that are never asked again after a time in which they were
# slow, as only a response shows that they no longer are.
@pytest.mark.parametrize(
    ("first", "has_failed"), [(0.1, False), (0.5, False), (0.05, True), (5.0, True)]
)
def test_target_that_was_slow_or_failed_is_asked_again(first, has_failed):
    assert 1.0 < Scene(0.05, first, has_failed).seconds_avoided() < 60.0


def test_target_that_is_slow_now_is_avoided():
    scene = Scene(0.05, 0.1)
    assert all(scene.choose() is not scene.targets[0] for _ in range(32))


# Guards against targets that get no requests as their response times differ by less
# than the lateness of the entry that measures them.
def test_targets_share_requests_if_response_times_differ_by_milliseconds():
    scene = Scene(0.001, 0.002)
    assert any(scene.choose() is scene.targets[0] for _ in range(32))


# Guards against targets that get one request now and then, for minutes, as each good
# response brings back the penalty that had faded.
@pytest.mark.parametrize("idle", [4.0, 8.0, 16.0])
@pytest.mark.parametrize(
    ("first", "has_failed"), [(0.5, False), (0.05, True), (5.0, True)]
)
def test_good_response_raises_no_penalty(first, has_failed, idle):
    scene = Scene(0.05, first, has_failed)
    scene.clock.now += idle
    for target in scene.targets[1:]:
        scene.health.record_response(target, 0.05, False)
    before = scene.health.penalties(scene.targets)["t0"]
    scene.health.record_response(scene.targets[0], 0.05, False)
    assert scene.health.penalties(scene.targets)["t0"] <= before


# Guards against a target that goes on failing and is asked the more often for it.
def test_target_that_goes_on_failing_is_avoided_as_long_each_time():
    scene = Scene(0.05, 0.05, has_failed=True)
    first = scene.seconds_avoided()
    scene.health.record_response(scene.targets[0], 0.05, True)
    assert scene.seconds_avoided() >= first
