"""Who is there, in a small and in a large fleet."""

import asyncio

from lagoontide.mesh.hub import digest_of
from lagoontide.mesh.messages import Member, Status, Sums
from lagoontide.mesh.peers import FULL_MESH, LOST_AFTER_S, MOST_TOLD, Mesh
from lagoontide.mesh.register import EntryAddress


class Conn:
    """Counts what it is told."""

    def __init__(self, address, told):
        self.address, self.told = address, told

    def tell_now(self, message):
        self.told.append(self.address)

    def close(self):
        pass


def make_status(name):
    return Status(name, f"h:{name}", False, 1.0, 1, 1)


def make_mesh(name="e0"):
    told, lost = [], []
    mesh = Mesh(
        name,
        EntryAddress(f"h:{name}"),
        lambda address: Conn(address, told),
        lambda: make_status(name),
        lambda status, counts: None,
        lost.append,
        lambda sums: None,
        {},
    )
    return mesh, told, lost


async def hear(mesh, *names):
    for name in names:
        await mesh._take_status(name, make_status(name), None)


def register(mesh, number):
    for place in range(number):
        mesh._registered[f"e{place}"] = EntryAddress(f"h:e{place}")
    mesh.learn(entry.address for entry in mesh._registered.values())


def test_in_a_small_fleet_a_silent_entry_is_lost_and_told():
    async def main():
        mesh, _, lost = make_mesh()
        register(mesh, 3)
        await hear(mesh, "e1", "e2")
        assert set(mesh.live()) == {"e0", "e1", "e2"}
        await asyncio.sleep(LOST_AFTER_S + 0.05)
        await hear(mesh, "e2")
        mesh._look()
        assert set(mesh.live()) == {"e0", "e2"}
        assert lost == ["e1"]
        assert mesh.count() == 3

    asyncio.run(main())


def test_in_a_large_fleet_an_entry_that_does_not_answer_is_left_out_a_while():
    async def main():
        mesh, _, _ = make_mesh()
        register(mesh, FULL_MESH + 10)
        members = tuple(
            Member(name, entry.address, 1.0, False)
            for name, entry in mesh._registered.items()
        )
        mesh.roster.take(Sums(digest_of(members), members))
        assert len(mesh.live()) == FULL_MESH + 10
        mesh.suspect("e7")
        assert "e7" not in mesh.live()
        assert mesh.conn("e9") is not None

    asyncio.run(main())


def test_up_to_a_full_mesh_all_are_told_by_turns():
    async def main():
        mesh, told, _ = make_mesh()
        register(mesh, FULL_MESH)
        for _ in range(FULL_MESH // MOST_TOLD + 1):
            mesh.tell_all()
        assert len(set(told)) == FULL_MESH - 1

    asyncio.run(main())
