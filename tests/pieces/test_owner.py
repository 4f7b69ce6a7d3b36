"""The owner of stage targets, against calls that a test answers."""

import asyncio
from collections import Counter

from msgspec.structs import replace

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.pieces.makers import MAX_REST_S, REST_S, Maker
from lagoontide.pieces.messages import Order
from lagoontide.pieces.owner import FETCH_S, Owner
from lagoontide.pieces.records import Failure, PieceResult
from lagoontide.routes.records import PieceWork
from lagoontide.targets.records import Target, TargetState
from tests.support.waiting import wait_for

WORK = PieceWork(1, 4, 0.02, 0.002, 1e6, 4.0)
TARGETS = tuple(
    Target(f"t{number}", "s", "h", number, f"z{number}", TargetState.READY)
    for number in range(2)
)


class Calls:
    """Answers calls; ``plan`` gives what the next ones do instead."""

    def __init__(self):
        self.plan = []
        self.batches = []
        self.made = Counter()
        self.freed = []
        self.room = 10e6
        self.seconds = 0.02
        # Ids of the targets of which every connection has gone silent, and of those
        # that say that they work when asked on a new one.
        self.silent = set()
        self.at_work = set()
        self.asked = Counter()

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

    async def is_at_work(self, target):
        self.asked[target.id] += 1
        return target.id in self.at_work or target.id not in self.silent

    async def free_room(self, target):
        return self.room

    def maker_of(self, handle):
        return handle.partition("/")[0]


def make_order(name, count=2, size=1000.0, left=2.0, **others):
    return Order("s", name, "k/0", 0, count, "key", (), 0, 1.0, left, size, **others)


def play(scenario):
    async def main():
        calls = Calls()
        fetched = []
        owner = Owner("s", WORK, calls, lambda: TARGETS, fetched.extend)
        try:
            await scenario(owner, calls, fetched)
        finally:
            owner.close()

    asyncio.run(main())


def test_before_its_first_answer_a_target_may_be_busy_for_another_owner():
    async def scenario(owner, calls, fetched):
        # The calls before wait at the targets for those of the owner before.
        calls.seconds = 0.2
        order = replace(make_order("r1"), inputs=("h:9/1",), frees_inputs=True)
        first = owner.submit(order, "me")
        await asyncio.sleep(FETCH_S + 0.05)
        assert fetched == []
        await first
        assert fetched == ["h:9/1"]
        # What its first call took says nothing of the target.
        assert all(maker.slowness == 1.0 for maker in owner._makers.ready())

    play(scenario)


def play_with_silent(at_work):
    """Let one of two targets fall silent; return its calls and rests begun."""
    work = PieceWork(1, 4, 0.1, 0.002, 1e6, 4.0)

    async def main():
        calls = Calls()
        calls.seconds = 0.1
        calls.silent = {"t0"}
        calls.at_work = at_work
        owner = Owner("s", work, calls, lambda: TARGETS, lambda handles: None)
        orders = [owner.submit(make_order(f"r{n}", count=4), "me") for n in range(2)]
        done = await asyncio.wait_for(asyncio.gather(*orders), 2.0)
        assert all(len(item.handles) == 4 for item in done)
        maker = next(m for m in owner._makers.ready() if m.target.id == "t0")
        await asyncio.sleep(0.3)
        calls_open, losses = maker.calls, maker.losses
        owner.close()
        return calls.asked["t0"], calls_open, losses

    return asyncio.run(main())


def test_a_call_lost_on_a_connection_gone_silent_does_not_keep_its_target():
    asked, calls_open, losses = play_with_silent(at_work=set())
    assert asked >= 1
    # Eight times the time of a call would have been waited for.
    assert (calls_open, losses) == (0, 1)


def test_a_slow_target_that_is_at_work_is_waited_for():
    asked, calls_open, losses = play_with_silent(at_work={"t0"})
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

    play(scenario)


def test_a_call_that_did_not_start_is_made_elsewhere():
    async def scenario(owner, calls, fetched):
        calls.plan = [TargetUnreachable("full"), TargetFailed("cut")]
        done = await owner.submit(make_order("r"), "me")
        assert len(done.handles) == 2

    play(scenario)


def test_a_piece_without_room_waits_and_is_made():
    async def scenario(owner, calls, fetched):
        calls.plan = [Failure.NO_ROOM]
        done = await owner.submit(make_order("r"), "me")
        assert len(done.handles) == 2

    play(scenario)


def test_gone_inputs_are_told_at_once():
    async def scenario(owner, calls, fetched):
        calls.plan = [Failure.INPUT_GONE]
        done = await owner.submit(make_order("r"), "me")
        assert done.failure is Failure.INPUT_GONE

    play(scenario)


def test_what_can_no_longer_be_of_use_is_told_late():
    async def scenario(owner, calls, fetched):
        calls.plan = [TargetFailed("cut")] * 100
        done = await owner.submit(make_order("r", left=0.15), "me")
        assert done.failure is Failure.LATE

    play(scenario)


def test_results_of_a_withdrawn_order_are_freed():
    async def scenario(owner, calls, fetched):
        done = owner.submit(make_order("r", count=6), "me")
        await wait_for(lambda: calls.made)
        owner.withdraw("r", 0)
        assert (await done).failure is Failure.LATE
        await wait_for(lambda: len(calls.freed) == sum(calls.made.values()))

    play(scenario)


def test_inputs_are_given_up_once_fetched():
    async def scenario(owner, calls, fetched):
        order = Order(
            "s", "r", "k/1", 1, 2, "", ("a/1", "a/2"), 0, 1.0, 2.0, 10.0, "", True
        )
        await owner.submit(order, "me")
        assert fetched == ["a/1", "a/2"]

    play(scenario)


def test_an_entry_that_leaves_gives_back_what_is_not_begun():
    async def scenario(owner, calls, fetched):
        first = [owner.submit(make_order(f"r{n}", 4), "me") for n in range(2)]
        await wait_for(lambda: len(calls.batches) == 2)
        waiting = owner.submit(make_order("late", 4), "me")
        owner.hand_over()
        assert (await waiting).failure is Failure.MOVED
        assert all(item.handles for item in await asyncio.gather(*first))

    play(scenario)


def test_results_of_an_entry_that_is_gone_are_freed():
    async def scenario(owner, calls, fetched):
        await owner.submit(make_order("r"), "lost")
        kept = await owner.submit(make_order("q"), "me")
        owner.forget_peer("lost")
        await wait_for(lambda: len(calls.freed) == 2)
        assert not set(calls.freed) & set(kept.handles)

    play(scenario)


def test_a_silent_target_rests_longer_each_time_and_a_full_one_does_not():
    silent = TargetUnreachable("no connection", step="connect")
    full = TargetUnreachable("status 503", step="make")

    async def scenario(owner, calls, fetched):
        for error, is_longer in ((full, False), (silent, True)):
            calls.plan = [error] * 6
            await owner.submit(make_order(f"{is_longer}"), "me")
            losses = [maker.losses for maker in owner._makers.ready()]
            # The target that answered in the end has none any more.
            assert (max(losses) >= 2) is is_longer

    play(scenario)


def test_rests_double_up_to_a_bound():
    maker = Maker(TARGETS[0])
    rests = []
    for _ in range(6):
        maker.rest(0.0, has_failed=True)
        rests.append(maker.rests_until)
    assert rests == [REST_S, 2 * REST_S, 4 * REST_S, 8 * REST_S, MAX_REST_S, MAX_REST_S]
    maker.note_time(1.0)
    maker.rest(0.0, has_failed=False)
    assert maker.rests_until == REST_S
