"""Dispatch of orders between entries, with messages delivered by the tests."""

import asyncio

from lagoontide.pieces.dispatcher import FORGET_PEER_DELAY_S, OrderDispatcher
from lagoontide.pieces.messages import FreeResults, Order, OrderDone
from lagoontide.pieces.records import Failure
from lagoontide.pieces.shards import shard_of
from lagoontide.routes.records import Service
from lagoontide.targets.directory import Directory
from lagoontide.targets.records import Target, TargetState
from lagoontide.wire.router import Router
from tests.pieces.test_owner import WORK, FakeTargets
from tests.support.limits import make_shares

ORDER = Order("s", "r", "k/0", 0, 2, "key", (), 0, 1.0, 2.0, 10.0)


class Peers:
    """Membership of entries as set by a test."""

    name = "me"

    def __init__(self, *others, place=None):
        self.others = others
        self.place = place

    def live(self):
        return (self.name, *self.others)

    def minority_position(self):
        return self.place

    def is_settling(self):
        return False

    def capacity(self, name):
        return 1.0

    def suspect(self, name):
        self.others = tuple(other for other in self.others if other != name)

    def is_lost(self, name):
        return name not in self.others

    def conn(self, name):
        return None


class Leaving(Peers):
    """This entry is leaving, so other entries are the owners."""

    def live(self):
        return self.others


class NotOwner(Peers):
    """Another entry should be the owner, and replies that it is not."""

    orders_received = 0

    def live(self):
        return self.others or (self.name,)

    def conn(self, name):
        return self

    async def open(self, order):
        self.orders_received += 1
        return NotOwnerExchange()


class NotOwnerExchange:
    def __enter__(self):
        return self

    def __exit__(self, *exc):
        pass

    async def next(self, timeout):
        return OrderDone(failure=Failure.NOT_OWNER)


def make_dispatcher(peers, work=WORK, domains=4):
    directory = Directory(asyncio.get_running_loop().time)
    for number in range(domains):
        directory.put(
            Target(f"t{number}", "s", "h", number, f"z{number}", TargetState.READY)
        )
    calls = FakeTargets()
    dispatcher = OrderDispatcher(
        peers,
        directory,
        calls,
        lambda name: Service(name, piece_settings=work),
        make_shares(),
    )
    return dispatcher, calls


def test_order_that_cannot_be_accepted_is_answered_at_once():
    async def main():
        dispatcher, _ = make_dispatcher(Peers(), work=None)
        router = Router()
        dispatcher.register(router)
        answers = []

        async def send(message):
            answers.append(message)

        await router.handle("peer", ORDER, send)
        return answers

    assert asyncio.run(main()) == [OrderDone(failure=Failure.NOT_OWNER)]


def test_entry_that_is_silent_for_a_while_keeps_its_running_work():
    async def main():
        peers = Peers("a")
        dispatcher, calls = make_dispatcher(peers)
        router = Router()
        dispatcher.register(router)
        answers = []

        async def send(message):
            answers.append(message)

        calls.seconds = 0.1
        order = asyncio.ensure_future(router.handle("a", ORDER, send))
        await asyncio.sleep(0.05)
        peers.others = ()
        dispatcher.forget_peer("a")
        await asyncio.sleep(FORGET_PEER_DELAY_S / 2)
        peers.others = ("a",)
        await order
        await asyncio.sleep(FORGET_PEER_DELAY_S)
        dispatcher.close()
        return answers[0].failure, calls.freed

    assert asyncio.run(main()) == (None, [])


def test_results_of_an_entry_that_stays_away_are_freed():
    async def main():
        peers = Peers("a")
        dispatcher, calls = make_dispatcher(peers)
        router = Router()
        dispatcher.register(router)

        async def send(message):
            pass

        await router.handle("a", ORDER, send)
        peers.others = ()
        dispatcher.forget_peer("a")
        await asyncio.sleep(FORGET_PEER_DELAY_S + 0.1)
        dispatcher.close()
        return len(calls.freed)

    assert asyncio.run(main()) == 2


def test_leaving_owner_accepts_no_more_orders_of_others():
    async def main():
        dispatcher, calls = make_dispatcher(Leaving("a"))
        router = Router()
        dispatcher.register(router)
        answers = []

        async def send(message):
            answers.append(message)

        dispatcher.hand_over()
        await router.handle("a", ORDER, send)
        return answers, calls.batches

    assert asyncio.run(main()) == ([OrderDone(failure=Failure.NOT_OWNER)], [])


def test_leaving_owner_continues_if_there_is_no_other_entry():
    async def main():
        dispatcher, _ = make_dispatcher(Peers())
        dispatcher.hand_over()
        done = await dispatcher.make(ORDER)
        dispatcher.close()
        return done

    assert len(asyncio.run(main()).handles) == 2


def test_entry_that_denies_ownership_is_not_asked_again_at_once():
    async def main():
        peers = NotOwner("a")
        dispatcher, _ = make_dispatcher(peers)
        done = await asyncio.wait_for(dispatcher.make(ORDER), 1.0)
        dispatcher.close()
        return peers.orders_received, len(done.handles)

    assert asyncio.run(main()) == (1, 2)


def test_services_are_distributed_over_all_entries():
    async def main():
        dispatcher, _ = make_dispatcher(Peers("a", "b", "c"))
        return {dispatcher.owner_name(f"service-{number}") for number in range(40)}

    assert asyncio.run(main()) == {"me", "a", "b", "c"}


def test_entry_in_the_minority_uses_only_its_part_of_the_targets():
    async def main():
        dispatcher, calls = make_dispatcher(Peers(place=(1, 4)))
        done = await asyncio.gather(*(dispatcher.make(ORDER) for _ in range(1)))
        dispatcher.close()
        return {handle.partition("/")[0] for item in done for handle in item.handles}

    assert asyncio.run(main()) == {"h:1"}


def test_freeing_results_of_a_service_without_pieces_is_a_peer_error():
    async def main():
        dispatcher, _ = make_dispatcher(Peers(), work=None)
        router = Router()
        dispatcher.register(router)
        try:
            await router.handle("peer", FreeResults("s", 0, ("h:1/1",)), None)
        except Exception as exc:
            return type(exc).__name__
        return ""

    assert asyncio.run(main()) == "PeerError"


def pause(dispatcher, *names, seconds=5.0):
    for target in dispatcher.targets("s"):
        if target.id in names:
            pauses = dispatcher._rate_shares.limits.pauses
            pauses.observe(target, seconds, "stage call")


# Guards against requests that are admitted for targets that take no work, and then
# wait at the owner until they are late.
def test_targets_that_pause_do_not_count_in_admission():
    async def main():
        dispatcher, _ = make_dispatcher(Peers())
        assert dispatcher.target_equivalents("s") == 4.0
        pause(dispatcher, "t0", "t1", "t2", seconds=0.1)
        assert dispatcher.target_equivalents("s") == 1.0
        await asyncio.sleep(0.11)
        assert dispatcher.target_equivalents("s") == 4.0

    asyncio.run(main())


# Guards against a Retry-After that is not the end of the pause: if all pause, the owner
# rejects the order with it.
def test_targets_count_in_admission_if_all_pause():
    async def main():
        dispatcher, _ = make_dispatcher(Peers())
        pause(dispatcher, "t0", "t1", "t2", "t3", seconds=5.0)
        assert dispatcher.target_equivalents("s") == 4.0
        done = await dispatcher.make(ORDER)
        assert done.failure is Failure.NO_ROOM
        assert 4.5 < done.retry_after <= 5.0

    asyncio.run(main())


# Guards against targets that count for nothing as they pause for an entry that does not
# call them: the owner of their shard is another one, which has its own pauses.
def test_pauses_do_not_count_in_admission_where_another_entry_is_the_owner():
    async def main():
        dispatcher, _ = make_dispatcher(Leaving("a"))
        assert dispatcher.owner_name("s") == "a"
        pause(dispatcher, "t0")
        assert dispatcher.target_equivalents("s") == 4.0

    asyncio.run(main())


def test_pauses_count_in_admission_by_the_shard_of_their_target():
    async def main():
        dispatcher, _ = make_dispatcher(Peers("a"), domains=40)
        targets = dispatcher.targets("s")
        own = {shard for shard in range(3) if dispatcher.owner_name("s", shard) == "me"}
        assert len(own) in (1, 2)
        called = [target.id for target in targets if shard_of(target, 3) in own]
        pause(dispatcher, *(target.id for target in targets))
        assert dispatcher.target_equivalents("s") == 40.0 - len(called)

    asyncio.run(main())
