"""Orders between entries, with the messages carried by hand."""

import asyncio

from lagoontide.pieces.desk import FORGET_AFTER_S, Desk
from lagoontide.pieces.messages import FreeResults, Order, OrderDone
from lagoontide.pieces.records import Failure
from lagoontide.routes.records import Service
from lagoontide.targets.directory import Directory
from lagoontide.targets.records import Target, TargetState
from lagoontide.wire.router import Router
from tests.pieces.test_owner import WORK, Calls

ORDER = Order("s", "r", "k/0", 0, 2, "key", (), 0, 1.0, 2.0, 10.0)


class Peers:
    """Entries that a test sets."""

    name = "me"

    def __init__(self, *others, place=None):
        self.others = others
        self.place = place

    def live(self):
        return (self.name, *self.others)

    def minority(self):
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
    """This entry leaves: others do its work."""

    def live(self):
        return self.others


class Moved(Peers):
    """Another entry is the owner, and says that it is not."""

    asked = 0

    def live(self):
        return self.others or (self.name,)

    def conn(self, name):
        return self

    async def open(self, order):
        self.asked += 1
        return MovedExchange()


class MovedExchange:
    def __enter__(self):
        return self

    def __exit__(self, *exc):
        pass

    async def next(self, timeout):
        return OrderDone(failure=Failure.MOVED)


def make_desk(peers, work=WORK, domains=4):
    directory = Directory(asyncio.get_running_loop().time)
    for number in range(domains):
        directory.put(
            Target(f"t{number}", "s", "h", number, f"z{number}", TargetState.READY)
        )
    calls = Calls()
    desk = Desk(peers, directory, calls, lambda name: Service(name, piece_work=work))
    return desk, calls


def test_an_order_that_cannot_be_taken_is_answered_at_once():
    async def main():
        desk, _ = make_desk(Peers(), work=None)
        router = Router()
        desk.register(router)
        answers = []

        async def send(message):
            answers.append(message)

        await router.handle("peer", ORDER, send)
        return answers

    assert asyncio.run(main()) == [OrderDone(failure=Failure.MOVED)]


def test_an_entry_that_is_only_silent_for_a_while_keeps_its_running_work():
    async def main():
        peers = Peers("a")
        desk, calls = make_desk(peers)
        router = Router()
        desk.register(router)
        answers = []

        async def send(message):
            answers.append(message)

        calls.seconds = 0.1
        order = asyncio.ensure_future(router.handle("a", ORDER, send))
        await asyncio.sleep(0.05)
        peers.others = ()
        desk.forget_peer("a")
        await asyncio.sleep(FORGET_AFTER_S / 2)
        peers.others = ("a",)
        await order
        await asyncio.sleep(FORGET_AFTER_S)
        desk.close()
        return answers[0].failure, calls.freed

    assert asyncio.run(main()) == (None, [])


def test_what_was_made_for_an_entry_that_stays_away_is_given_up():
    async def main():
        peers = Peers("a")
        desk, calls = make_desk(peers)
        router = Router()
        desk.register(router)

        async def send(message):
            pass

        await router.handle("a", ORDER, send)
        peers.others = ()
        desk.forget_peer("a")
        await asyncio.sleep(FORGET_AFTER_S + 0.1)
        desk.close()
        return len(calls.freed)

    assert asyncio.run(main()) == 2


def test_an_owner_that_leaves_takes_no_more_orders_of_others():
    async def main():
        desk, calls = make_desk(Leaving("a"))
        router = Router()
        desk.register(router)
        answers = []

        async def send(message):
            answers.append(message)

        desk.hand_over()
        await router.handle("a", ORDER, send)
        return answers, calls.batches

    assert asyncio.run(main()) == ([OrderDone(failure=Failure.MOVED)], [])


def test_an_owner_that_leaves_alone_goes_on():
    async def main():
        desk, _ = make_desk(Peers())
        desk.hand_over()
        done = await desk.make(ORDER)
        desk.close()
        return done

    assert len(asyncio.run(main()).handles) == 2


def test_one_that_says_it_is_no_owner_is_not_asked_again_at_once():
    async def main():
        peers = Moved("a")
        desk, _ = make_desk(peers)
        done = await asyncio.wait_for(desk.make(ORDER), 1.0)
        desk.close()
        return peers.asked, len(done.handles)

    assert asyncio.run(main()) == (1, 2)


def test_entries_agree_on_owners_and_share_services_out():
    async def main():
        desk, _ = make_desk(Peers("a", "b", "c"))
        return {desk.owner_name(f"service-{number}") for number in range(40)}

    assert asyncio.run(main()) == {"me", "a", "b", "c"}


def test_an_entry_that_is_cut_off_keeps_to_its_part_of_the_targets():
    async def main():
        desk, calls = make_desk(Peers(place=(1, 4)))
        done = await asyncio.gather(*(desk.make(ORDER) for _ in range(1)))
        desk.close()
        return {handle.partition("/")[0] for item in done for handle in item.handles}

    assert asyncio.run(main()) == {"h:1"}


def test_results_given_up_for_a_service_without_pieces_are_an_error_of_the_peer():
    async def main():
        desk, _ = make_desk(Peers(), work=None)
        router = Router()
        desk.register(router)
        try:
            await router.handle("peer", FreeResults("s", 0, ("h:1/1",)), None)
        except Exception as exc:
            return type(exc).__name__
        return ""

    assert asyncio.run(main()) == "PeerError"
