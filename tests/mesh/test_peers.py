"""Tests of membership and failure detection in small and large fleets."""

import asyncio

import pytest

from lagoontide.mesh.addresses import MAX_RECIPIENTS
from lagoontide.mesh.hub import digest_of
from lagoontide.mesh.messages import Member, Status, Sums
from lagoontide.mesh.peers import MAX_FULL_MESH_ENTRIES, MIN_LOST_AFTER_S, Mesh
from lagoontide.mesh.registration import EntryRecord
from lagoontide.store.revision_store import Revision
from tests.support.freezing import freeze


class Conn:
    """Records the addresses to which messages are sent."""

    def __init__(self, address, recipients):
        self.address, self.recipients = address, recipients

    def tell_now(self, message):
        self.recipients.append(self.address)

    def close(self):
        pass


def make_status(name):
    return Status(name, f"h:{name}", False, 1.0, 1, Revision(1, 1))


def make_mesh(name="e0"):
    recipients, lost = [], []
    mesh = Mesh(
        name,
        EntryRecord(f"h:{name}"),
        lambda address: Conn(address, recipients),
        lambda: make_status(name),
        lambda status, counts: None,
        lost.append,
        lambda sums: None,
        lambda peer, crashes: None,
        {},
    )
    return mesh, recipients, lost


async def receive_statuses(mesh, *names):
    for name in names:
        await mesh._handle_status(name, make_status(name), None)


def register(mesh, number):
    for place in range(number):
        mesh._registered[f"e{place}"] = EntryRecord(f"h:e{place}")
    mesh.add_addresses(entry.address for entry in mesh._registered.values())


def test_silent_entry_is_reported_lost_in_a_small_fleet():
    async def main():
        mesh, _, lost = make_mesh()
        register(mesh, 3)
        await receive_statuses(mesh, "e1", "e2")
        assert set(mesh.live()) == {"e0", "e1", "e2"}
        await asyncio.sleep(MIN_LOST_AFTER_S + 0.05)
        await receive_statuses(mesh, "e2")
        mesh._expire_peers()
        assert set(mesh.live()) == {"e0", "e2"}
        assert lost == ["e1"]
        assert mesh.entry_count() == 3

    asyncio.run(main())


# Guards against an entry to which all its peers are lost, so that it orders stage work
# once more, as it did not run itself: their statuses are not read yet (LOST).
@pytest.mark.parametrize("frozen", [0.6, 3.0])
def test_entry_that_was_frozen_does_not_lose_its_peers(frozen):
    async def main():
        mesh, _, lost = make_mesh()
        register(mesh, 3)
        running = asyncio.ensure_future(mesh.run())
        await receive_statuses(mesh, "e1", "e2")
        await asyncio.sleep(0.15)
        freeze(frozen)
        await asyncio.sleep(0.2)
        assert lost == []
        assert set(mesh.live()) == {"e0", "e1", "e2"}
        await asyncio.sleep(MIN_LOST_AFTER_S)
        assert lost == ["e1", "e2"]
        running.cancel()

    asyncio.run(main())


def test_suspected_entry_is_not_live_in_a_large_fleet():
    async def main():
        mesh, _, _ = make_mesh()
        register(mesh, MAX_FULL_MESH_ENTRIES + 10)
        members = tuple(
            Member(name, entry.address, 1.0, False)
            for name, entry in mesh._registered.items()
        )
        mesh.roster.update(Sums(digest_of(members), members))
        assert len(mesh.live()) == MAX_FULL_MESH_ENTRIES + 10
        mesh.suspect("e7")
        assert "e7" not in mesh.live()
        assert mesh.conn("e9") is not None

    asyncio.run(main())


def test_status_reaches_every_entry_in_a_full_mesh():
    async def main():
        mesh, recipients, _ = make_mesh()
        register(mesh, MAX_FULL_MESH_ENTRIES)
        for _ in range(MAX_FULL_MESH_ENTRIES // MAX_RECIPIENTS + 1):
            mesh.broadcast_status()
        assert len(set(recipients)) == MAX_FULL_MESH_ENTRIES - 1

    asyncio.run(main())
