"""Claims: granted once, whatever becomes of owners, answers and the store."""

import asyncio

import pytest

from lagoontide.claims.baseline import Claim, SimpleClaims
from lagoontide.claims.messages import Busy, ClaimAsk, Granted, Held, ReleaseAsk
from lagoontide.claims.owner import MAX_PENDING, Owner, take_over
from lagoontide.claims.rows import Row, RowTable
from lagoontide.claims.service import PartitionClaims
from lagoontide.errors import RequestFailed, RequestRejected
from lagoontide.membership.peers import Peers
from lagoontide.standins.store import MemoryStore
from tests.support.virtual import run_virtual


def make_claim(number, digest=7):
    return Claim(f"{number:032x}", digest)


def make_ask(number, key=b"k" * 16, budget=2.0):
    return ClaimAsk(0, key, number.to_bytes(16, "big"), 7, budget)


def make_claims(store, address="tcp://a"):
    return PartitionClaims(store, Peers(lambda peer: None), lambda: address)


@pytest.fixture(params=(SimpleClaims, make_claims), ids=("simple", "partitions"))
def make(request):
    return request.param


def test_a_key_is_granted_once_and_names_its_holder(make):
    async def main():
        claims = make(MemoryStore())
        assert await claims.claim("x", "k", make_claim(1), 2.0) == ""
        assert await claims.claim("x", "k", make_claim(2), 2.0) == f"{1:032x}"
        assert await claims.claim("y", "k", make_claim(2), 2.0) == ""

    run_virtual(main())


def test_another_body_is_a_conflict(make):
    async def main():
        claims = make(MemoryStore())
        await claims.claim("x", "k", make_claim(1), 2.0)
        with pytest.raises(RequestRejected) as caught:
            await claims.claim("x", "k", make_claim(2, digest=8), 2.0)
        assert caught.value.status == 409

    run_virtual(main())


def test_a_key_given_back_is_free(make):
    async def main():
        claims = make(MemoryStore())
        await claims.claim("x", "k", make_claim(1), 2.0)
        await claims.release("x", "k", make_claim(1))
        assert await claims.claim("x", "k", make_claim(2), 2.0) == ""
        await claims.release("x", "k", make_claim(1))
        assert await claims.claim("x", "k", make_claim(3), 2.0) == f"{2:032x}"

    run_virtual(main())


def test_a_store_that_is_down_means_not_run_in_time(make):
    async def main():
        store = MemoryStore()
        store.faults.down = True
        loop = asyncio.get_running_loop()
        with pytest.raises(RequestFailed) as caught:
            await make(store).claim("x", "k", make_claim(1), 2.0)
        assert caught.value.outcome == "not_run"
        assert loop.time() < 2.1

    run_virtual(main())


@pytest.mark.parametrize("outage", (0.0, 1.5))
def test_lost_answers_are_settled_by_reading_back(outage):
    async def main():
        store = MemoryStore()
        owner = await take_over(store, 0)
        store.faults.drop_answers = 1
        asked = asyncio.create_task(owner.claim(make_ask(1, budget=5.0)))
        await asyncio.sleep(0.003)
        store.faults.down = outage > 0
        await asyncio.sleep(outage)
        store.faults.down = False
        assert await asked == Granted()
        assert owner.commits == 1
        other = await take_over(store, 0)
        assert await other.claim(make_ask(2)) == Held(make_ask(1).request, 7)

    run_virtual(main())


def test_a_replaced_owner_grants_nothing():
    async def main():
        store = MemoryStore()
        old = await take_over(store, 0)
        new = await take_over(store, 0)
        asked = asyncio.create_task(old.claim(make_ask(1)))
        assert await new.claim(make_ask(2)) == Granted()
        assert not isinstance(await asked, Granted | Held)
        assert old.is_fenced
        assert await new.claim(make_ask(1)) == Held(make_ask(2).request, 7)

    run_virtual(main())


def test_claims_survive_segments_and_takeovers():
    async def main():
        store = MemoryStore()
        for first in range(0, 900, 300):
            owner = await take_over(store, 0)
            numbers = range(first, first + 300)
            asks = [make_ask(n, n.to_bytes(16, "little"), 30.0) for n in numbers]
            replies = await asyncio.gather(*map(owner.claim, asks))
            assert set(map(type, replies)) == {Granted}
        owner = await take_over(store, 0)
        assert len(owner) == 900
        largest = max(len(entry.value) for entry in await store.scan(""))
        assert largest < 1 << 20

    run_virtual(main())


def test_the_queue_has_a_bound():
    async def main():
        store = MemoryStore()
        owner: Owner = await take_over(store, 0)
        store.faults.down = True
        asks = [make_ask(n, n.to_bytes(16, "little")) for n in range(2 * MAX_PENDING)]
        replies = await asyncio.gather(*map(owner.claim, asks))
        assert set(map(type, replies)) == {Busy}
        assert len(owner._pending) <= MAX_PENDING

    run_virtual(main())


def test_a_withdrawn_request_is_never_granted():
    async def main():
        owner = await take_over(MemoryStore(), 0)
        ask = make_ask(1)
        await owner.claim(ask)
        owner.release(ReleaseAsk(0, ask.key, ask.request))
        assert isinstance(await owner.claim(ask), Busy)
        await asyncio.sleep(1.0)
        assert isinstance(await owner.claim(ask), Busy)
        assert await owner.claim(make_ask(2)) == Granted()

    run_virtual(main())


def test_rows_do_not_depend_on_their_order():
    taken = Row(b"k", b"r", 1)
    given_back = Row(b"k", b"r", 0, released=True)
    for rows in ((taken, given_back), (given_back, taken)):
        table = RowTable(10.0)
        table.add(rows, 0.0)
        assert table.find(b"k") is None
        table.expire(11.0)
        assert len(table) == 0
