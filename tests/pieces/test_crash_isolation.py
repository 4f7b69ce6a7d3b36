"""Isolation of pieces that make stage targets crash."""

import asyncio

from msgspec.structs import replace

from lagoontide.errors import TargetFailed
from lagoontide.pieces.crash_isolation import MAX_KEYS, PROBE_AFTER_S, CrashIsolation
from lagoontide.pieces.owner import ShardOwner
from lagoontide.pieces.records import Failure
from tests.pieces.test_owner import TARGETS, WORK, FakeTargets, make_order
from tests.support.limits import make_shares


class CrashingTargets(FakeTargets):
    """Targets that crash on every call with pieces of some requests."""

    def __init__(self, is_bad):
        super().__init__()
        self.is_bad = is_bad
        self.crashes = 0

    async def make(self, target, pieces, timeout):
        if any(self.is_bad(piece) for piece in pieces):
            self.batches.append([piece.request_id for piece in pieces])
            self.crashes += 1
            self.ended.add(target.id)
            raise TargetFailed("closed", step="make", peer=target.id)
        self.ended.discard(target.id)
        return await super().make(target, pieces, timeout)


def play(is_bad, orders):
    """Return the results of orders, and the targets that made them."""

    async def main():
        calls = CrashingTargets(is_bad)
        owner = ShardOwner(
            "s", WORK, calls, lambda: TARGETS, lambda handles: None, make_shares()
        )
        done = [owner.submit(order, "me") for order in orders]
        results = await asyncio.wait_for(asyncio.gather(*done), 5.0)
        later = owner.submit(replace(orders[0], request_id="later"), "me")
        results.append(await asyncio.wait_for(later, 5.0))
        owner.close()
        return results, calls

    return asyncio.run(main())


def test_pieces_beside_the_one_that_crashes_targets_are_made_and_it_is_given_up():
    orders = [
        replace(make_order(f"r{number}", count=1, left=4.0), key=f"k{number}")
        for number in range(4)
    ]
    results, calls = play(lambda piece: piece.key == "k0", orders)
    # One crash together with others, one alone; then its key is rejected.
    assert calls.crashes == 2
    assert [item.failure for item in results] == [
        Failure.QUARANTINED,
        None,
        None,
        None,
        Failure.QUARANTINED,
    ]
    assert 0.0 < results[-1].retry_after <= PROBE_AFTER_S


def test_a_single_crash_costs_no_piece():
    orders = [make_order(f"r{number}", count=1, left=4.0) for number in range(3)]
    crashes = iter([True])
    results, calls = play(lambda piece: next(crashes, False), orders)
    assert calls.crashes == 1
    assert all(item.failure is None for item in results)


def test_each_failed_probe_doubles_the_time_to_the_next():
    now = [0.0]
    isolation = CrashIsolation(lambda: now[0])
    group = _group("bad")
    crashes = 0
    while now[0] < 900.0:
        if not isolation.wait(group.crash_key):
            isolation.record_crash("t", [group])
            crashes += 1
        now[0] += 1.0
    assert crashes == 5


def test_success_clears_a_key_and_memory_is_bounded():
    isolation = CrashIsolation(lambda: 0.0)
    isolation.record_crash("t", [_group("a"), _group("b")])
    assert [group.key for group in isolation.select([_group("a"), _group("c")])] == [
        "a"
    ]
    isolation.record_success([_group("a")])
    both = [_group("a"), _group("c")]
    assert isolation.select(both) == both
    isolation.record_crash(
        "t", [_group(f"k{number}") for number in range(2 * MAX_KEYS)]
    )
    assert len(isolation._suspects) == MAX_KEYS


def _group(key):
    order = make_order("r", count=1)

    async def main():
        owner = ShardOwner(
            "s", WORK, FakeTargets(), lambda: (), lambda handles: None, make_shares()
        )
        owner.submit(replace(order, key=key), "me")
        (pending,) = owner._orders.values()
        owner._timer.cancel()
        return pending.group

    return asyncio.run(main())
