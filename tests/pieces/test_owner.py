"""Owner of a shard of stage targets, against fake targets."""

import asyncio
from collections import Counter

import pytest
from msgspec.structs import replace

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.pieces.messages import Order
from lagoontide.pieces.owner import INPUT_FETCH_S, ShardOwner
from lagoontide.pieces.records import Failure, PieceResult
from lagoontide.pieces.target_tracker import (
    MAX_BACKOFF_S,
    MIN_BACKOFF_S,
    TargetTracker,
    TrackedTarget,
)
from lagoontide.routes.records import PieceSettings
from lagoontide.targets.records import Target, TargetState
from tests.support.limits import make_shares
from tests.support.waiting import wait_for

WORK = PieceSettings(1, 4, 0.02, 0.002, 1e6, 4.0)
TARGETS = tuple(
    Target(f"t{number}", "s", "h", number, f"z{number}", TargetState.READY)
    for number in range(2)
)


class FakeTargets:
    """Answers calls; ``plan`` lists errors and failures of the next ones."""

    def __init__(self):
        self.plan = []
        self.batches = []
        self.made = Counter()
        self.freed = []
        self.free_bytes = 10e6
        self.seconds = 0.02
        # Ids of targets whose existing connections are all silent, and of targets that
        # report work in progress when asked on a new connection.
        self.silent = set()
        self.at_work = set()
        self.asked = Counter()
        # Ids of targets that are found ended after a call without an answer.
        self.ended = set()

    async def make(self, target, pieces, timeout):
        self.batches.append([(piece.request_id, piece.number) for piece in pieces])
        action = self.plan.pop(0) if self.plan else None
        if target.id in self.silent:
            await asyncio.sleep(timeout)
            raise TargetFailed("no answer", step="make", peer=target.id)
        await asyncio.sleep(self.seconds)
        if isinstance(action, Exception):
            raise action
        if isinstance(action, Failure):
            return tuple(PieceResult(failure=action) for _ in pieces)
        for piece in pieces:
            self.made[piece.request_id, piece.number] += 1
        number = len(self.batches)
        return tuple(
            PieceResult(f"h:{target.port}/{number}-{place}")
            for place in range(len(pieces))
        )

    async def free(self, target, handles):
        self.freed += handles

    async def is_busy(self, target):
        self.asked[target.id] += 1
        return target.id in self.at_work or target.id not in self.silent

    async def has_ended(self, target):
        return target.id in self.ended

    async def query_free_bytes(self, target):
        return self.free_bytes

    def address_of(self, handle):
        return handle.partition("/")[0]


def make_order(name, count=2, size=1000.0, left=2.0, **others):
    return Order("s", name, "k/0", 0, count, "key", (), 0, 1.0, left, size, **others)


def run_scenario(scenario):
    async def main():
        calls = FakeTargets()
        fetched = []
        owner = ShardOwner(
            "s", WORK, calls, lambda: TARGETS, fetched.extend, make_shares()
        )
        try:
            await scenario(owner, calls, fetched)
        finally:
            owner.close()

    asyncio.run(main())


def test_target_may_be_busy_for_another_owner_before_its_first_answer():
    async def scenario(owner, calls, fetched):
        # The first calls wait at the targets for the calls of the previous owner.
        calls.seconds = 0.2
        order = replace(make_order("r1"), inputs=("h:9/1",), frees_inputs=True)
        first = owner.submit(order, "me")
        await asyncio.sleep(INPUT_FETCH_S + 0.05)
        assert fetched == []
        await first
        assert fetched == ["h:9/1"]
        # The duration of the first call is no evidence of a slow target.
        assert all(tracked.slowness == 1.0 for tracked in owner._tracker.ready())

    run_scenario(scenario)


def run_with_silent_target(at_work):
    """Silence one of two targets; return its busy queries, open calls and failures."""
    settings = PieceSettings(1, 4, 0.1, 0.002, 1e6, 4.0)

    async def main():
        calls = FakeTargets()
        calls.seconds = 0.1
        calls.silent = {"t0"}
        calls.at_work = at_work
        owner = ShardOwner(
            "s", settings, calls, lambda: TARGETS, lambda handles: None, make_shares()
        )
        orders = [owner.submit(make_order(f"r{n}", count=4), "me") for n in range(2)]
        done = await asyncio.wait_for(asyncio.gather(*orders), 2.0)
        assert all(len(item.handles) == 4 for item in done)
        tracked = next(m for m in owner._tracker.ready() if m.target.id == "t0")
        await asyncio.sleep(0.3)
        calls_open, losses = tracked.calls, tracked.consecutive_failures
        owner.close()
        return calls.asked["t0"], calls_open, losses

    return asyncio.run(main())


def test_call_lost_on_a_silent_connection_does_not_block_its_target():
    asked, calls_open, losses = run_with_silent_target(at_work=set())
    assert asked >= 1
    # Without the query, the call would last until its timeout, which is TIMEOUT_RATIO
    # (8) times its expected duration.
    assert (calls_open, losses) == (0, 1)


def test_slow_target_that_is_busy_is_awaited():
    asked, calls_open, losses = run_with_silent_target(at_work={"t0"})
    assert asked >= 1
    assert (calls_open, losses) == (1, 0)


def test_pieces_of_many_requests_share_calls():
    async def scenario(owner, calls, fetched):
        orders = [owner.submit(make_order(f"r{n}"), "me") for n in range(8)]
        done = await asyncio.gather(*orders)
        assert all(len(item.handles) == 2 for item in done)
        assert len({handle for item in done for handle in item.handles}) == 16
        assert max(map(len, calls.batches)) == 4
        assert set(calls.made.values()) == {1}

    run_scenario(scenario)


def test_failed_call_is_repeated():
    async def scenario(owner, calls, fetched):
        calls.plan = [TargetUnreachable("full"), TargetFailed("cut")]
        done = await owner.submit(make_order("r"), "me")
        assert len(done.handles) == 2

    run_scenario(scenario)


def test_piece_refused_for_lack_of_memory_is_retried():
    async def scenario(owner, calls, fetched):
        calls.plan = [Failure.NO_ROOM]
        done = await owner.submit(make_order("r"), "me")
        assert len(done.handles) == 2

    run_scenario(scenario)


def test_lost_inputs_are_reported_at_once():
    async def scenario(owner, calls, fetched):
        calls.plan = [Failure.INPUT_GONE]
        done = await owner.submit(make_order("r"), "me")
        assert done.failure is Failure.INPUT_GONE

    run_scenario(scenario)


def test_order_past_its_deadline_fails_as_late():
    async def scenario(owner, calls, fetched):
        calls.plan = [TargetFailed("cut")] * 100
        done = await owner.submit(make_order("r", left=0.15), "me")
        assert done.failure is Failure.DEADLINE_EXCEEDED

    run_scenario(scenario)


def test_results_of_a_withdrawn_order_are_freed():
    async def scenario(owner, calls, fetched):
        done = owner.submit(make_order("r", count=6), "me")
        await wait_for(lambda: calls.made)
        owner.withdraw("r", 0)
        assert (await done).failure is Failure.DEADLINE_EXCEEDED
        await wait_for(lambda: len(calls.freed) == sum(calls.made.values()))

    run_scenario(scenario)


def test_inputs_are_freed_once_fetched():
    async def scenario(owner, calls, fetched):
        order = Order(
            "s", "r", "k/1", 1, 2, "", ("a/1", "a/2"), 0, 1.0, 2.0, 10.0, "", True
        )
        await owner.submit(order, "me")
        assert fetched == ["a/1", "a/2"]

    run_scenario(scenario)


def test_leaving_entry_hands_back_orders_that_are_not_started():
    async def scenario(owner, calls, fetched):
        first = [owner.submit(make_order(f"r{n}", 4), "me") for n in range(2)]
        await wait_for(lambda: len(calls.batches) == 2)
        waiting = owner.submit(make_order("late", 4), "me")
        owner.hand_over()
        assert (await waiting).failure is Failure.NOT_OWNER
        assert all(item.handles for item in await asyncio.gather(*first))

    run_scenario(scenario)


def test_results_of_a_lost_entry_are_freed():
    async def scenario(owner, calls, fetched):
        await owner.submit(make_order("r"), "lost")
        kept = await owner.submit(make_order("q"), "me")
        owner.forget_peer("lost")
        await wait_for(lambda: len(calls.freed) == 2)
        assert not set(calls.freed) & set(kept.handles)

    run_scenario(scenario)


def test_backoff_grows_for_a_silent_target_but_not_for_a_full_one():
    silent = TargetUnreachable("no connection", step="connect")
    full = TargetUnreachable("status 503", step="make")

    async def scenario(owner, calls, fetched):
        for error, is_longer in ((full, False), (silent, True)):
            calls.plan = [error] * 6
            await owner.submit(make_order(f"{is_longer}"), "me")
            losses = [
                tracked.consecutive_failures for tracked in owner._tracker.ready()
            ]
            # The target that answered in the end has its count reset.
            assert (max(losses) >= 2) is is_longer

    run_scenario(scenario)


def test_backoff_doubles_up_to_a_maximum():
    tracked = TrackedTarget(TARGETS[0])
    backoffs = []
    for _ in range(6):
        tracked.back_off(0.0, has_failed=True)
        backoffs.append(tracked.backoff_until)
    assert backoffs == [
        MIN_BACKOFF_S,
        2 * MIN_BACKOFF_S,
        4 * MIN_BACKOFF_S,
        8 * MIN_BACKOFF_S,
        MAX_BACKOFF_S,
        MAX_BACKOFF_S,
    ]
    tracked.observe_duration(1.0, 1.0)
    tracked.back_off(0.0, has_failed=False)
    assert tracked.backoff_until == MIN_BACKOFF_S


# Guards against requests that are refused at their deadline as all targets of a stage
# were silent for a second or two, and were then left alone for as long again.
@pytest.mark.parametrize("silence", [0.5, 1.0, 1.5, 2.0, 2.5])
def test_order_is_made_soon_after_all_targets_were_silent(silence):
    async def scenario(owner, calls, fetched):
        loop = asyncio.get_running_loop()
        calls.silent = {target.id for target in TARGETS}
        loop.call_later(silence, calls.silent.clear)
        # There is a second left once the targets answer again.
        done = await owner.submit(make_order("r", left=silence + 1.0), "me")
        assert len(done.handles) == 2

    run_scenario(scenario)


def test_target_in_backoff_is_left_alone_while_others_answer():
    clock = [0.0]
    shares = make_shares(clock=lambda: clock[0])
    tracker = TargetTracker(lambda: clock[0], shares)
    tracker.update(TARGETS)
    first, second = tracker.ready()
    for _ in range(5):
        first.back_off(0.0, has_failed=True)
    clock[0] = MAX_BACKOFF_S - 0.01
    assert tracker.free(1) == [second]
    second.back_off(clock[0], has_failed=True)
    assert tracker.free(1) == [first]


class TimedTargets(FakeTargets):
    """Fake targets whose calls end at their timeout."""

    async def make(self, target, pieces, timeout):
        try:
            async with asyncio.timeout(timeout):
                return await super().make(target, pieces, timeout)
        except TimeoutError as exc:
            raise TargetFailed("no answer", step="make", peer=target.id) from exc


# Guards against calls that are given up, and pieces made again and again, while their
# targets are silent for two seconds but report that they work.
@pytest.mark.parametrize("seconds", [0.5, 1.0, 2.0])
def test_call_to_a_target_at_work_outlasts_its_silence(seconds):
    async def scenario():
        calls = TimedTargets()
        calls.seconds = seconds
        owner = ShardOwner(
            "s", WORK, calls, lambda: TARGETS, lambda handles: None, make_shares()
        )
        try:
            done = await owner.submit(make_order("r", left=seconds + 1.0), "me")
        finally:
            owner.close()
        assert len(done.handles) == 2
        assert len(calls.batches) <= len(TARGETS)

    asyncio.run(scenario())


# Guards against pieces that wait, until their objective is nearly over, for a target
# that pauses in the domain of their inputs, while others are idle.
def test_pieces_do_not_wait_for_a_domain_whose_targets_pause():
    async def scenario(owner, calls, fetched):
        shares = owner._tracker.rate_shares
        shares.limits.pauses.observe(TARGETS[0], 5.0, "stage call")
        started_at = asyncio.get_running_loop().time()
        done = await owner.submit(make_order("r", near="z0"), "me")
        assert len(done.handles) == 2
        assert asyncio.get_running_loop().time() - started_at < 0.3

    run_scenario(scenario)


# Guards against a target that was slow once and gets a call each 3 s while the only
# other target may get none, by its rate limit (RECOVER, soak seed 5 with releases).
def test_a_slow_target_gets_calls_while_the_others_may_get_none():
    clock = [100.0]
    shares = make_shares(clock=lambda: clock[0])
    tracker = TargetTracker(lambda: clock[0], shares)
    tracker.update(TARGETS)
    limited, slow = tracker.ready()
    slow.slowness = 47.0
    slow.last_call_at = clock[0] - 0.1
    assert tracker.free(1) == [limited]
    shares.limits.observe(limited.target, 0.5, "")
    assert tracker.free(1) == [slow]
