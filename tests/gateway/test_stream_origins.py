"""Entries keep the versions that began streams over a kill of all of them."""

import asyncio

import msgspec

from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.standins.deployment import start_deployment

TIMEOUT_S = 10.0


async def wait_until(is_true):
    async with asyncio.timeout(TIMEOUT_S):
        while not is_true():
            await asyncio.sleep(0.05)


def register(store, name, version):
    """Write a further registration of the service of engines."""
    known = msgspec.json.decode(store.value_of(TARGETS_PREFIX + "eng-0"))
    value = known | {"version": version, "address": "127.0.0.1:9"}
    store.put(TARGETS_PREFIX + name, msgspec.json.encode(value))


# Guards against streams that go on at another version after a kill of all entries.
def test_fresh_entries_know_the_version_of_streams_that_began_before():
    async def main():
        async with start_deployment(entries=2) as small:
            first, second = small.gateways
            first.state.origins.begin("r1", "engine", "v1")
            register(small.store, "eng-new", "v2")
            await wait_until(lambda: second.state.origins.find("r1", "engine"))
            stored = second.store_view.origins
            await wait_until(
                lambda: stored.versions and len(stored.versions["engine"]) == 2
            )
            await small.kill_entries()
            small.store.delete(TARGETS_PREFIX + "eng-new")
            await small.start_entries()
            for gateway in small.gateways:
                origins = gateway.state.origins
                await wait_until(lambda origins=origins: origins.is_mixed("engine"))
                assert origins.find("r1", "engine") == "v1"
                assert origins.find("r1", "plain") is None

    asyncio.run(main())


def test_an_entry_asks_its_peers_for_a_stream_that_is_not_stored():
    async def main():
        async with start_deployment(entries=2) as small:
            first, second = small.gateways
            first.state.origins.begin("r1", "engine", "v1")
            await wait_until(lambda: len(second.mesh.live()) == 2)
            assert second.state.origins.find("r1", "engine") is None
            found = await second.origin_peers.find_at_peers("r1", "engine")
            assert found == "v1"

    asyncio.run(main())
