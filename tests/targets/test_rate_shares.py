"""How entries divide the rate limits of targets."""

import random
from dataclasses import replace

import pytest

from lagoontide.store.revision_store import Revision
from lagoontide.targets.cold import ColdTargets
from lagoontide.targets.rate_limits import RateLimits
from lagoontide.targets.rate_shares import (
    DUE_AFTER_S,
    MIN_RATE_PER_S,
    PROBE_TURN_S,
    UNCONFIRMED_S,
    RateShares,
)
from lagoontide.targets.records import Target, TargetState

TARGET = Target("t", "s", "h", 1, "z1", TargetState.READY, born=7)
WINDOW_S = 4.0
STEP_S = 0.01


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


class Fleet:
    """Entries with their own limits, which may see different members."""

    def __init__(self, number):
        self.clock = Clock()
        self.names = [f"e{n}" for n in range(number)]
        self.members = {name: tuple(self.names) for name in self.names}
        self.shares = {name: self.start(name) for name in self.names}
        self.sends = []

    def start(self, name):
        limits = RateLimits(self.clock)
        return RateShares(limits, name, lambda: self.members[name], self.clock)

    def name_limit(self, rate):
        for shares in self.shares.values():
            shares.limits.observe(TARGET, rate)

    def run(self, seconds, names=None, rate=None):
        """Let entries send all that they may, and share what they hear."""
        ends_at = self.clock.now + seconds
        while self.clock.now < ends_at:
            self.clock.now += STEP_S
            for name in names or self.names:
                if self.shares[name].take(TARGET):
                    self.sends.append(self.clock.now)
                    if rate is not None:
                        self.name_limit(rate)

    def most_in_a_window(self):
        return max(
            (
                sum(begin <= at < begin + WINDOW_S for at in self.sends)
                for begin in self.sends
            ),
            default=0,
        )


@pytest.mark.parametrize("number", [1, 4, 12, 98])
@pytest.mark.parametrize("rate", [0.0, 0.1, 1.0, 1.6, 20.0, 50.0])
def test_the_sum_over_all_entries_keeps_to_the_limit_and_uses_it(number, rate):
    fleet = Fleet(number)
    fleet.name_limit(rate)
    fleet.run(12.0, rate=rate)
    assert fleet.most_in_a_window() <= 1.5 * rate * WINDOW_S + 5
    assert len(fleet.sends) >= 0.8 * max(rate, MIN_RATE_PER_S) * 12.0 - 1


@pytest.mark.parametrize("seed", range(5))
def test_the_bound_holds_while_entries_come_and_go_and_limits_change(seed):
    rng = random.Random(seed)
    fleet = Fleet(98)
    fleet.name_limit(1.0)
    for _ in range(200):
        live = tuple(rng.sample(fleet.names, rng.randint(49, 98)))
        for name in live:
            fleet.members[name] = live
        # A limit that falls still allows what it allowed before.
        fleet.name_limit(rng.choice((0.0, 0.5, 1.0)))
        fleet.run(rng.uniform(0.1, 1.0), names=live)
    assert fleet.most_in_a_window() <= 1.5 * 1.0 * WINDOW_S + 5


def test_an_entry_that_started_again_has_nothing_to_spend():
    fleet = Fleet(1)
    fleet.name_limit(1.0)
    fleet.run(5.0)
    before = len(fleet.sends)
    for _ in range(20):
        fleet.shares["e0"] = fleet.start("e0")
        fleet.name_limit(1.0)
        fleet.run(0.9)
    assert len(fleet.sends) == before


def test_the_share_of_a_dead_holder_goes_to_the_others():
    fleet = Fleet(4)
    fleet.name_limit(1.0)
    holders = [name for name in fleet.names if fleet.shares[name].wait(TARGET) < 60.0]
    assert len(holders) == 2
    left = tuple(name for name in fleet.names if name not in holders)
    for name in left:
        fleet.members[name] = left
    fleet.run(12.0, names=left, rate=1.0)
    assert 8 <= len(fleet.sends) <= 13


def test_an_entry_that_is_cut_off_keeps_to_its_own_part():
    fleet = Fleet(4)
    fleet.name_limit(1.6)
    # A minority divides by all entries, the majority by those that it hears.
    for name in fleet.names[1:]:
        fleet.members[name] = tuple(fleet.names[1:])
    fleet.run(20.0, rate=1.6)
    assert fleet.most_in_a_window() <= 1.5 * 1.6 * WINDOW_S + 5


# Guards against a limit whose end nobody sees, as its holders get no requests (soak
# with processes, seeds 206 and 218).
def test_a_limit_that_nobody_confirms_is_probed_by_one_entry_after_the_other():
    fleet = Fleet(98)
    fleet.name_limit(1.0)
    fleet.clock.now += UNCONFIRMED_S + 0.01
    probers = []
    for _ in range(98):
        allowed = [n for n in fleet.names if fleet.shares[n].wait(TARGET) == 0.0]
        assert len(allowed) == 1
        probers += allowed
        fleet.clock.now += PROBE_TURN_S
    assert set(probers) == set(fleet.names)
    fleet.name_limit(1.0)
    assert all(fleet.shares[name].wait(TARGET) > 0.0 for name in fleet.names)


@pytest.mark.parametrize("number", [1, 4, 98])
@pytest.mark.parametrize("rate", [0.0, 1.0, 10.0])
def test_a_target_that_does_not_answer_gets_no_more_than_its_limit_allows(number, rate):
    fleet = Fleet(number)
    fleet.name_limit(rate)
    fleet.run(20.0)
    assert fleet.most_in_a_window() <= 1.5 * rate * WINDOW_S + 5
    assert len(fleet.sends) >= 10


# Guards against loans that add to what a target gets.
@pytest.mark.parametrize(
    ("number", "rate"), [(4, 0.0), (4, 1.0), (98, 0.0), (98, 1.0), (98, 20.0)]
)
@pytest.mark.parametrize("is_answered", [True, False])
def test_borrowed_turns_keep_to_the_limit(number, rate, is_answered):
    fleet = Fleet(number)
    fleet.name_limit(rate)
    # Only this entry has callers, and no share of its own.
    borrower = next(
        name for name in fleet.names if fleet.shares[name].wait(TARGET) == float("inf")
    )
    shares = fleet.shares[borrower]
    for _ in range(2000):
        fleet.clock.now += STEP_S
        lender = shares.lender(TARGET)
        lent = lender is not None and fleet.shares[lender].lend(TARGET)
        if lent or shares.take(TARGET):
            fleet.sends.append(fleet.clock.now)
            if is_answered:
                fleet.name_limit(rate)
    assert fleet.most_in_a_window() <= 1.5 * rate * WINDOW_S + 5
    # It asks one holder; without answers it gets a turn in each probe turn but one.
    assert len(fleet.sends) >= 4


def test_a_target_is_due_only_when_its_limit_was_not_named_lately():
    fleet = Fleet(1)
    shares = fleet.shares["e0"]
    assert not shares.is_due(TARGET)
    fleet.name_limit(1.0)
    assert not shares.is_due(TARGET)
    fleet.clock.now += DUE_AFTER_S + 0.1
    assert shares.is_due(TARGET)
    fleet.name_limit(None)
    assert not shares.is_due(TARGET)
    assert shares.take(TARGET)


def test_requests_that_cannot_wait_delay_the_others():
    fleet = Fleet(1)
    shares = fleet.shares["e0"]
    fleet.name_limit(2.0)
    for _ in range(4):
        shares.charge(TARGET)
    assert not shares.take(TARGET)
    assert shares.wait(TARGET) == pytest.approx(2.5)
    shares.refund(TARGET)
    assert shares.wait(TARGET) == pytest.approx(2.0)


def test_what_a_peer_heard_later_counts():
    clock = Clock()
    limits, peer = RateLimits(clock), RateLimits(clock)
    peer.observe(TARGET, 2.0)
    limits.merge("peer", peer.own_reports())
    assert limits.rate_of(TARGET) == 2.0
    assert limits.own_reports() == []
    clock.now += 1.0
    peer.observe(TARGET, None)
    limits.merge("peer", peer.own_reports())
    assert limits.rate_of(TARGET) is None
    limits.merge("other", [("t", 7, 3.0, 0.5)])
    assert limits.rate_of(TARGET) is None


# Guards against a surge on targets that have just started (FAILBACK, issue 31).
@pytest.mark.parametrize("number", [1, 4, 32, 98])
@pytest.mark.parametrize("rate", [0.0, 1.0, 8.0, 22.0, 60.0])
def test_a_cold_target_gets_no_more_in_a_second_than_it_takes(number, rate):
    fleet = Fleet(number)
    cold = replace(TARGET, cold_left=6.0, revision=Revision(1, 1))
    for shares in fleet.shares.values():
        shares.limits.cold = ColdTargets(fleet.clock, lambda service: rate)
        shares.limits.cold.register(cold)
    fleet.run(5.0)
    assert len(fleet.sends) <= 5.0 * (1.5 * rate + 5)
    most = max(
        (sum(at <= t < at + 1.0 for t in fleet.sends) for at in fleet.sends), default=0
    )
    assert most <= 1.5 * rate + 5
    assert len(fleet.sends) >= 0.8 * rate * 5.0 - 1
    fleet.clock.now += 2.0
    assert all(shares.wait(cold) == 0.0 for shares in fleet.shares.values())


def test_a_cold_target_that_names_a_limit_has_the_lower_one():
    clock = Clock()
    limits = RateLimits(clock, ColdTargets(clock, lambda service: 5.0))
    limits.cold.observe(TARGET, 3.0)
    assert limits.rate_of(TARGET) == 5.0
    limits.observe(TARGET, 2.0)
    assert limits.rate_of(TARGET) == 2.0
    limits.observe(TARGET, 9.0)
    assert limits.rate_of(TARGET) == 5.0
    clock.now += 3.0
    assert limits.rate_of(TARGET) == 9.0
    limits.cold.keep_only({TARGET.key})
    limits.observe(TARGET, None)
    assert limits.get(TARGET) is None


def test_an_older_registration_does_not_make_a_target_cold_again():
    clock = Clock()
    cold = ColdTargets(clock, lambda service: 5.0)
    cold.register(replace(TARGET, cold_left=3.0, revision=Revision(1, 4)))
    cold.register(replace(TARGET, cold_left=0.0, revision=Revision(1, 5)))
    cold.register(replace(TARGET, cold_left=3.0, revision=Revision(1, 4)))
    assert cold.rate(TARGET) is None
    cold.register(replace(TARGET, cold_left=3.0, revision=Revision(2, 1)))
    assert cold.rate(TARGET) == 5.0
