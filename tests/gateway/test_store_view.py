"""Registered entries in an entry's view, after store outages and peer snapshots."""

import asyncio

from lagoontide.gateway.store_view import REREGISTRATION_TIMEOUT_S
from lagoontide.mesh.messages import StoreSnapshotRequest
from lagoontide.store.revision_store import Listing, Revision
from tests.mesh.fleet import Fleet
from tests.support.virtual import run_virtual


async def request_snapshot(entry):
    """Return the snapshot that an entry sends on request."""
    replies = []

    async def send(message):
        replies.append(message)

    await entry.peer_sync._handle_snapshot_request(
        "other", StoreSnapshotRequest(Revision()), send
    )
    return replies[0]


def run_after_store_outage(scenario):
    """Run a scenario with three entries after a store outage.

    The first entry's listing since the outage lacks the key of the third, so the first
    keeps it for REREGISTRATION_TIMEOUT_S.
    """

    async def main():
        fleet = Fleet(3)
        await fleet.settle()
        first, second, _ = (fleet.entries[f"e{place}"] for place in range(3))
        for entry in (first, second):
            for task in entry.tasks:
                task.cancel()
        first.follower.up_since = asyncio.get_running_loop().time()
        items = await first.store_client.list("")
        rest = tuple(item for item in items.items if not item.key.endswith("/e2"))
        first.store_view.replace(Listing(rest, items.as_of))
        await scenario(first, second, items.as_of)

    run_virtual(main())


async def sweep_later(*entries):
    await asyncio.sleep(REREGISTRATION_TIMEOUT_S + 0.1)
    for entry in entries:
        entry.store_view.sweep()


def test_entry_registered_in_a_peer_snapshot_does_not_expire():
    async def scenario(first, second, as_of):
        assert "e2" in first.store_view.entries
        first.store_view.adopt_snapshot("e1", await request_snapshot(second))
        await sweep_later(first)
        assert "e2" in first.store_view.entries

    run_after_store_outage(scenario)


def test_entry_kept_by_a_peer_over_an_outage_expires():
    async def scenario(first, second, as_of):
        second.store_view.adopt_snapshot("e0", await request_snapshot(first))
        assert "e2" in second.store_view.entries
        await sweep_later(first, second)
        assert "e2" not in first.store_view.entries
        assert "e2" not in second.store_view.entries

    run_after_store_outage(scenario)
