"""Following the store through its troubles."""

import asyncio
from itertools import count

from loguru import logger

from lagoontide.errors import StoreUnavailable
from lagoontide.store.feed import Changes, HistoryGone, Item, Listing
from lagoontide.store.follow import Follower
from tests.support.waiting import wait_for


class Store:
    """A store whose next answers a test sets; then it has nothing new."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []
        self._numbers = count()

    async def list(self, prefix):
        self.asked.append("list")
        return self._next()

    async def watch(self, prefix, after, wait):
        self.asked.append(("watch", after))
        if not self.answers:
            await asyncio.sleep(3600)
        return self._next()

    def _next(self):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Sink:
    def __init__(self):
        self.seen = []

    def replace(self, listing):
        self.seen.append(("replace", listing.as_of))

    def apply(self, item):
        self.seen.append((item.key, item.revision))


def follow(store):
    sink = Sink()

    async def main():
        follower = Follower(store, "", sink)
        task = asyncio.create_task(follower.run())
        await wait_for(lambda: not store.answers)
        await asyncio.sleep(0.05)
        task.cancel()
        return follower

    return sink, asyncio.run(main())


def test_changes_are_applied_once_each_in_order():
    changes = Changes((Item("a", b"", 6), Item("b", None, 7)), 7)
    again = Changes((Item("b", None, 7), Item("c", b"", 8)), 8)
    store = Store(Listing((), 5), changes, again)
    sink, follower = follow(store)
    assert sink.seen == [("replace", 5), ("a", 6), ("b", 7), ("c", 8)]
    assert follower.as_of == 8


def test_a_lost_watch_goes_on_from_its_revision():
    store = Store(Listing((), 5), StoreUnavailable("cut"), Changes((), 6))
    _, follower = follow(store)
    assert store.asked[:3] == ["list", ("watch", 5), ("watch", 5)]
    assert follower.is_up


def test_a_dropped_history_means_a_listing():
    store = Store(Listing((), 5), HistoryGone("gone"), Listing((), 9))
    sink, _ = follow(store)
    assert sink.seen == [("replace", 5), ("replace", 9)]


def test_a_listing_older_than_what_was_seen_is_not_believed():
    store = Store(Listing((), 9), HistoryGone("gone"), Listing((), 4))
    sink, follower = follow(store)
    assert sink.seen == [("replace", 9)]
    assert follower.as_of == 9


def test_the_first_answer_is_not_told_as_a_return():
    lines = []
    sink = logger.add(lines.append, format="{message}")
    try:
        follow(Store(Listing((), 1)))
        first, lines[:] = list(lines), []
        follow(Store(StoreUnavailable("down"), Listing((), 1)))
    finally:
        logger.remove(sink)
    assert not any("regained" in line for line in first)
    assert any("heard for the first time" in line for line in first)
    assert any("regained after 0." in line for line in lines)
