"""Shards of a large service."""

from collections import Counter

from lagoontide.pieces.shards import (
    TARGETS_PER_SHARD,
    pick_shard,
    shard_count,
    shard_members,
)
from lagoontide.targets.records import Target, TargetState


def make_targets(number):
    return [
        Target(f"t{place}", "s", "h", place, "z", TargetState.READY)
        for place in range(number)
    ]


def test_small_service_has_one_shard():
    targets = make_targets(TARGETS_PER_SHARD)
    assert shard_count(len(targets)) == 1
    assert shard_members(targets, 0) == tuple(targets)


def test_shards_of_a_large_service_divide_its_targets_and_requests():
    targets = make_targets(90)
    shards = [shard_members(targets, shard) for shard in range(shard_count(90))]
    assert sum(map(len, shards)) == 90
    counts = Counter(pick_shard(targets, f"r{number}") for number in range(3000))
    for shard, members in enumerate(shards):
        assert abs(counts[shard] / 3000 - len(members) / 90) < 0.04


def test_service_without_targets_has_a_shard():
    assert pick_shard([], "r") == 0
