"""Tests of target selection; each name says under which load or fault."""

import random
from collections import Counter
from dataclasses import replace

from lagoontide.targets.choose import (
    choose_engine_target,
    choose_lowest_cost,
    choose_stream_target,
    usable,
    weighted_rendezvous_score,
)
from lagoontide.targets.health import Health
from lagoontide.targets.load import Loads
from lagoontide.targets.records import Target, TargetState


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def make_targets(number=6):
    return [
        Target(f"t{place}", "s", "h", place, f"z{place % 2}", TargetState.READY)
        for place in range(number)
    ]


def make_state():
    clock = Clock()
    return clock, Loads(clock), Health(clock)


def empty_loads():
    return Loads(Clock())


def prefer(targets, parts, loads, health, inputs):
    """Return the target for a prompt if no streams are running."""
    streams = empty_loads()
    choice = choose_engine_target(targets, parts, loads, health, inputs, streams)
    return choice.target


PARTS = (("common", 2500), ("session", 3800), ("own", 2900))


def test_prompts_with_a_shared_part_go_to_one_target_while_it_is_idle():
    _, loads, health = make_state()
    targets = make_targets()
    chosen = {
        choose_engine_target(order, PARTS, loads, health, {}, empty_loads()).target.id
        for order in (targets, targets[::-1])
    }
    assert len(chosen) == 1


def test_hot_key_spreads_over_targets_once_waiting_costs_more_than_prefill():
    _, loads, health = make_state()
    targets = make_targets()
    counts = Counter()
    for _ in range(12):
        target = choose_engine_target(
            targets, PARTS, loads, health, {}, empty_loads()
        ).target
        loads.begin(target, 9.2)
        counts[target.id] += 1
    assert max(counts.values()) <= 3
    assert len(counts) == 6


def test_prompt_follows_large_inputs_to_their_failure_domain():
    _, loads, health = make_state()
    targets = make_targets()
    home = choose_engine_target(targets, PARTS, loads, health, {}, empty_loads()).target
    other = {"z0": "z1", "z1": "z0"}[home.failure_domain]
    for far_bytes, domain in ((4e6, home.failure_domain), (40e6, other)):
        inputs = {other: far_bytes}
        chosen = choose_engine_target(
            targets, PARTS, loads, health, inputs, empty_loads()
        ).target
        assert chosen.failure_domain == domain


def test_slow_target_is_avoided_and_one_in_back_off_is_not_usable():
    clock, loads, health = make_state()
    targets = make_targets(4)
    for target in targets:
        for _ in range(10):
            seconds = 0.5 if target.id == "t0" else 0.1
            health.record_response(target, seconds, has_failed=False)
    rng = random.Random(1)
    counts = Counter(
        choose_lowest_cost(targets, loads, health, "z0", rng).target.id
        for _ in range(50)
    )
    assert counts["t0"] == 0
    health.record_loss(targets[1])
    health.record_loss(targets[1])
    assert targets[1] not in usable(targets, health, ())
    clock.now = 10.0
    assert targets[1] in usable(targets, health, ())


def test_back_off_is_ignored_when_most_targets_fail():
    _, _, health = make_state()
    targets = make_targets(4)
    for target in targets[:3]:
        health.record_loss(target)
        health.record_loss(target)
    assert usable(targets, health, ()) == targets


def test_target_with_a_higher_failure_rate_than_its_peers_is_avoided():
    _, loads, health = make_state()
    targets = make_targets(4)
    for target in targets:
        for number in range(20):
            fails = number % 2 == 0 if target.id == "t1" else number % 7 == 0
            health.record_response(target, 0.1, has_failed=fails)
    penalties = health.penalties(targets)
    assert penalties["t1"] > 2 * penalties["t2"]
    rng = random.Random(1)
    chosen = {
        choose_lowest_cost(targets, loads, health, "z0", rng).target.id
        for _ in range(30)
    }
    assert "t1" not in chosen


def test_loads_of_peers_count_until_their_report_expires():
    clock, loads, _ = make_state()
    target = make_targets(1)[0]
    loads.begin(target, 2.0)
    loads.update_peer("peer", {target.id: 3.0})
    assert loads.total_of(target) == 5.0
    clock.now = 5.0
    loads.update_peer("other", {})
    assert loads.total_of(target) == 2.0
    loads.end(target, 2.0)
    assert loads.own_by_target() == {}


def test_instances_of_unequal_capacity_get_keys_in_proportion():
    capacities = {"small": 0.4, "usual": 0.8, "large": 2.0}
    counts = Counter(
        max(
            capacities,
            key=lambda name: weighted_rendezvous_score(
                f"key-{n}", name, capacities[name]
            ),
        )
        for n in range(3200)
    )
    assert 300 < counts["small"] < 500
    assert 650 < counts["usual"] < 950
    assert 1800 < counts["large"] < 2200


def test_long_prompts_and_long_streams_use_separate_targets():
    _, loads, health = make_state()
    streams = empty_loads()
    targets = [replace(target, slots=128) for target in make_targets()]
    writing, reading = Counter(), Counter()
    for _ in range(12):
        target = choose_stream_target(targets, streams, health).target
        streams.begin(target)
        writing[target.id] += 1
    for _ in range(7):
        target = choose_engine_target(targets, PARTS, loads, health, {}, streams).target
        loads.begin(target, 9.2)
        reading[target.id] += 1
    assert len(writing) == 1
    assert len(reading) == 5
    assert not writing.keys() & reading.keys()


def test_streams_beyond_the_slot_share_of_all_targets_spread_evenly():
    _, _, health = make_state()
    streams = empty_loads()
    targets = [replace(target, slots=40) for target in make_targets(3)]
    counts = Counter()
    for _ in range(36):
        target = choose_stream_target(targets, streams, health).target
        streams.begin(target)
        counts[target.id] += 1
    assert sorted(counts.values()) == [12, 12, 12]
