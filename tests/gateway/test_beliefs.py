"""Which entries are believed to be registered, through outages and by peers."""

import asyncio

from lagoontide.gateway.beliefs import ENTRY_RETURN_S
from lagoontide.mesh.messages import AskBeliefs
from lagoontide.store.feed import Listing
from tests.mesh.fleet import Fleet
from tests.support.virtual import run_virtual


async def beliefs_of(entry):
    """Return what an entry tells one that asks."""
    told = []

    async def send(message):
        told.append(message)

    await entry.sync._answer("other", AskBeliefs(0), send)
    return told[0]


def after_an_outage(scenario):
    """Run with three entries, the first of which lacks the third since an outage."""

    async def main():
        fleet = Fleet(3)
        await fleet.settle()
        first, second, _ = (fleet.entries[f"e{place}"] for place in range(3))
        for entry in (first, second):
            for task in entry.tasks:
                task.cancel()
        first.follower.up_since = asyncio.get_running_loop().time()
        items = await first.door.list("")
        rest = tuple(item for item in items.items if not item.key.endswith("/e2"))
        first.sink.replace(Listing(rest, items.as_of))
        await scenario(first, second, items.as_of)

    run_virtual(main())


async def sweep_later(*entries):
    await asyncio.sleep(ENTRY_RETURN_S + 0.1)
    for entry in entries:
        entry.sink.sweep()


def test_an_entry_that_a_peer_has_listed_is_no_longer_waited_for():
    async def scenario(first, second, as_of):
        assert "e2" in first.sink.entries
        first.sink.adopt("e1", await beliefs_of(second))
        await sweep_later(first)
        assert "e2" in first.sink.entries

    after_an_outage(scenario)


def test_an_entry_that_a_peer_only_keeps_is_not_believed_for_ever():
    async def scenario(first, second, as_of):
        second.sink.adopt("e0", await beliefs_of(first))
        assert "e2" in second.sink.entries
        await sweep_later(first, second)
        assert "e2" not in first.sink.entries
        assert "e2" not in second.sink.entries

    after_an_outage(scenario)
