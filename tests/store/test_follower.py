"""A follower of the store, also across outages and lost history."""

import asyncio
from itertools import count

import pytest
from loguru import logger

from lagoontide.errors import StoreUnavailable
from lagoontide.store.follower import Follower
from lagoontide.store.pace import Pace
from lagoontide.store.revision_store import (
    Changes,
    ChangesUnavailable,
    KeyRevision,
    Listing,
    Revision,
)
from tests.support.virtual import run_virtual
from tests.support.waiting import wait_for


def at(number, era=1):
    return Revision(era, number)


class Store:
    """A fake store with scripted responses; a watch blocks once they are used up."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self._numbers = count()

    def renew_connections(self):
        pass

    async def list(self, prefix):
        self.calls.append("list")
        return self._next()

    async def watch(self, prefix, after, wait):
        self.calls.append(("watch", after))
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


def test_each_change_is_applied_once_and_in_order():
    changes = Changes(
        (KeyRevision("a", b"", at(6)), KeyRevision("b", None, at(7))), at(7)
    )
    overlapping = Changes(
        (KeyRevision("b", None, at(7)), KeyRevision("c", b"", at(8))), at(8)
    )
    store = Store(Listing((), at(5)), changes, overlapping)
    sink, follower = follow(store)
    assert sink.seen == [("replace", at(5)), ("a", at(6)), ("b", at(7)), ("c", at(8))]
    assert follower.as_of == at(8)


def test_failed_watch_resumes_at_its_revision():
    store = Store(Listing((), at(5)), StoreUnavailable("cut"), Changes((), at(6)))
    _, follower = follow(store)
    assert store.calls[:3] == ["list", ("watch", at(5)), ("watch", at(5))]
    assert follower.is_up


def test_lost_history_causes_a_new_listing():
    store = Store(Listing((), at(5)), ChangesUnavailable("gone"), Listing((), at(9)))
    sink, _ = follow(store)
    assert sink.seen == [("replace", at(5)), ("replace", at(9))]


def test_listing_older_than_the_sink_is_ignored():
    store = Store(Listing((), at(9)), ChangesUnavailable("gone"), Listing((), at(4)))
    sink, follower = follow(store)
    assert sink.seen == [("replace", at(9))]
    assert follower.as_of == at(9)


def test_first_response_is_not_logged_as_a_recovery():
    lines = []
    sink = logger.add(lines.append, format="{message}")
    try:
        follow(Store(Listing((), at(1))))
        first, lines[:] = list(lines), []
        follow(Store(StoreUnavailable("down"), Listing((), at(1))))
    finally:
        logger.remove(sink)
    assert not any("available again" in line for line in first)
    assert any("first response from the store" in line for line in first)
    assert any("available again after 0." in line for line in lines)


class OverdueStore(Store):
    """A fake store whose first watch is answered late, and later calls as scripted."""

    def __init__(self, late, later):
        super().__init__()
        self.late = late
        self.later = later

    async def list(self, prefix):
        return Listing((), at(5))

    async def watch(self, prefix, after, wait):
        self.calls.append(wait)
        if len(self.calls) == 1:
            await self.late.wait()
        return await self.later(self)


def follow_overdue(later, seconds):
    async def main():
        store = OverdueStore(asyncio.Event(), later)
        follower = Follower(store, "", Sink(), pace=Pace(0.4))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(seconds)
        assert not task.done()
        task.cancel()
        return store, follower

    return asyncio.run(main())


# Guards against a follower that ends when two of its calls are answered at once.
def test_two_answers_at_the_same_time_are_both_taken():
    async def answer_both(store):
        if len(store.calls) == 2:
            store.late.set()
        elif len(store.calls) > 2:
            await asyncio.sleep(3600)
        return Changes((), at(5 + len(store.calls)))

    _, follower = follow_overdue(answer_both, 0.6)
    assert follower.as_of == at(7)


# Guards against calls without a pause while an earlier one is overdue.
def test_failures_beside_an_overdue_call_are_followed_by_pauses():
    async def refuse(store):
        raise StoreUnavailable("refused")

    store, _ = follow_overdue(refuse, 1.25)
    # The first watch is overdue after 0.25 s; pauses take 0.025 s or more.
    assert len(store.calls) <= 1 + 1.0 / 0.025


# Of a call to the store, beyond its own wait.
CALL_TIMEOUT_S = 1.5


class FailingStore(Store):
    """A fake store that is answered, then fails in one way for some seconds."""

    def __init__(self, failure, seconds):
        super().__init__()
        self.failure = failure
        self.seconds = seconds
        self.began_at = None

    async def list(self, prefix):
        return Listing((), at(5))

    async def watch(self, prefix, after, wait):
        now = asyncio.get_running_loop().time()
        self.began_at = now if self.began_at is None else self.began_at
        if now < self.began_at + self.seconds:
            if self.failure == "silent":
                await asyncio.sleep(CALL_TIMEOUT_S + wait)
            raise StoreUnavailable(self.failure)
        await asyncio.sleep(wait)
        return Changes((), at(5))


# Guards against a failed call that counts as an outage, and against outages that do
# not: in them registrations may lapse.
@pytest.mark.parametrize("failure", ["cut", "silent"])
@pytest.mark.parametrize(("seconds", "is_outage"), [(0.3, False), (3.0, True)])
def test_outage_ends_only_what_lasted_long_enough(failure, seconds, is_outage):
    async def main():
        loop = asyncio.get_running_loop()
        store = FailingStore(failure, seconds)
        follower = Follower(store, "", Sink())
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.1 + seconds / 2)
        assert follower.uptime() is None or failure == "silent"
        assert follower.outage_end < 0.0 or is_outage
        await asyncio.sleep(seconds / 2 + 1.5)
        task.cancel()
        ended_ago = loop.time() - follower.outage_end
        assert (ended_ago < 2.0) is is_outage
        assert follower.uptime() is not None

    run_virtual(main())
