"""Failure domains that the operators evacuate."""

import asyncio

import pytest

from lagoontide.mesh.messages import StoreSnapshot
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.store.revision_store import Revision
from tests.support.waiting import wait_for

STAGED = [
    (b"X-Lagoontide-Token-Counts", b"1200,6"),
    (b"X-Lagoontide-Pieces", b"2,3"),
    (b"X-Lagoontide-Piece-Key", b"k"),
]


async def count_arrivals(small, targets):
    """Send requests of every kind, and return how many reached some targets."""
    await asyncio.sleep(0.2)
    before = sum(len(target.arrived_at) for target in targets)
    for number in range(8):
        for path in ("/safe/a", "/events/a", "/staged/a"):
            answer = await send(small.ports[0], path, f"r{number}", extra=STAGED)
            assert answer.status == 200
    # Lets results be freed before the next count.
    await asyncio.sleep(0.1)
    return sum(len(target.arrived_at) for target in targets) - before


# Guards against requests and stage calls that reach an evacuated failure domain (EVAC).
def test_an_evacuated_domain_gets_nothing_until_it_is_taken_back():
    async def main():
        async with start_deployment(1) as small:
            # Of each service, some targets stay in the entry's own domain.
            for target in small.targets[::2]:
                target.register(small.store, zone="z2")
            near = small.targets[1::2]
            assert await count_arrivals(small, near) > 0
            small.store.put("op/evacuate/z1", b"{}")
            assert await count_arrivals(small, near) == 0
            small.store.delete("op/evacuate/z1")
            assert await count_arrivals(small, near) > 0

    asyncio.run(main())


@pytest.mark.parametrize(("evacuated", "number"), [((), 3), (("z2", "z9"), 1)])
def test_the_evacuations_of_a_peers_snapshot_replace_those_known(evacuated, number):
    async def main():
        async with start_deployment(1) as small:
            gateway = small.gateways[0]
            directory = gateway.state.directory
            for target in small.targets[::2]:
                target.register(small.store, zone="z2")
            small.store.put("op/evacuate/z2", b"")
            await wait_for(lambda: len(directory.ready("plain")) == 1)
            known = gateway.follower.as_of
            snapshot = StoreSnapshot(
                as_of=Revision(known.era, known.number + 1),
                config_revision=Revision(),
                config=b"",
                targets=directory.all(),
                evacuated=evacuated,
            )
            gateway.store_view.adopt_snapshot("peer", snapshot)
            assert len(directory.ready("plain")) == number

    asyncio.run(main())
