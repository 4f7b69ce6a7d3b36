"""A store that is restored from a copy, with entries and stand-ins in this process."""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from lagoontide.mesh.registration import ENTRIES_PREFIX
from lagoontide.platform.configuration import CONFIGURATION_KEY
from lagoontide.platform.directory import EVACUATIONS_PREFIX, TARGETS_PREFIX
from lagoontide.platform.standins.deployment import (
    CALLER_API_KEY,
    make_configuration,
    send,
    start_deployment,
)
from lagoontide.platform.standins.store import StoreFault
from lagoontide.platform.standins.targets import TargetStandin
from lagoontide.targets.directory import REREGISTRATION_GRACE_S

# config_apply_ms of the users' deployments.
APPLY_S = 2.0
AWAY_S = 0.2
# The operator and the targets have written again within this time (PROTOCOL).
REWRITE_S = 0.5
# A target that is drained may take requests for this long, drain_ms.
DRAIN_S = 2.0


def configuration(version, *names, keys=(CALLER_API_KEY,)):
    """Return a configuration with further routes, at /NAME/."""
    value = msgspec.json.decode(make_configuration(version))
    plain = next(route for route in value["routes"] if route["name"] == "safe")
    value["routes"] += [plain | {"name": name, "prefix": f"/{name}/"} for name in names]
    value["tenants"] = [{"name": "first", "api_keys": list(keys)}]
    return msgspec.json.encode(value)


async def restore(small, copy):
    """Take the store away for a moment and bring it back from a copy."""
    for endpoint in small.store_endpoints:
        endpoint.trouble = StoreFault.RESET
    await asyncio.sleep(AWAY_S)
    small.store.restore(copy)
    for endpoint in small.store_endpoints:
        endpoint.trouble = StoreFault.NONE


async def statuses(small, path, name, ports=None):
    answers = [
        await send(port, path, f"{name}{number}")
        for number, port in enumerate(ports or small.ports)
    ]
    return {answer.status for answer in answers}


def write_many(store, number):
    """Let the revision rise, as other writers' keys do."""
    for place in range(number):
        store.put("other/key", b"%d" % place)


# Guards against ignoring a store with lower revisions than before: configurations and
# targets came into force late or never (incident CONFIG).
def test_changes_after_a_restore_are_in_force_in_time():
    async def main():
        async with start_deployment(3) as small:
            store = small.store
            store.put(CONFIGURATION_KEY, configuration(2, "one"))
            copy = store.copy()
            write_many(store, 100)
            store.put(CONFIGURATION_KEY, configuration(4, "one", "two"))
            await asyncio.sleep(0.5)
            assert await statuses(small, "/two/a", "a") == {200}
            await restore(small, copy)
            await asyncio.sleep(REWRITE_S)
            # What had been in force stays so while the store lacks it.
            assert await statuses(small, "/two/a", "b") == {200}
            store.put(CONFIGURATION_KEY, configuration(4, "one", "two"))
            store.put(CONFIGURATION_KEY, configuration(5, "one", "two", "three"))
            late = TargetStandin("plain-late", "plain")
            small.targets.append(late)
            await late.start(store)
            await asyncio.sleep(APPLY_S)
            assert await statuses(small, "/three/a", "c") == {200}
            for gateway in small.gateways:
                assert gateway.state.directory.get("plain-late") is not None

    asyncio.run(main())


# Guards against a configuration of the copy that an entry which starts takes, though
# others have a newer one.
def test_an_entry_that_starts_takes_the_newest_configuration_of_its_peers():
    async def main():
        async with start_deployment(2) as small:
            store = small.store
            copy = store.copy()
            store.put(CONFIGURATION_KEY, configuration(3, "new", keys=["key-two"]))
            await asyncio.sleep(0.5)
            await restore(small, copy)
            await asyncio.sleep(0.3)
            await small.restart_entry(1)
            # The old key is gone, the new route is there, at both entries.
            assert await statuses(small, "/safe/a", "a") == {401}
            versions = {item.state.route_table.version for item in small.gateways}
            assert versions == {3}

    asyncio.run(main())


# Guards against work for targets that had left, or were gone, when the copy was made
# ready again.
@pytest.mark.parametrize("is_announced", [True, False])
def test_targets_that_left_since_the_copy_get_no_work(is_announced):
    async def main():
        async with start_deployment(2) as small:
            store = small.store
            gone, *others = small.targets_of("plain")
            # Until then a deleted registration may be missing since an outage.
            await asyncio.sleep(REREGISTRATION_GRACE_S + 0.3)
            copy = store.copy()
            if is_announced:
                gone.register(store, state="draining")
            else:
                store.delete(TARGETS_PREFIX + gone.id)
            write_many(store, 20)
            await asyncio.sleep(0.3)
            before = len(gone.log)
            await restore(small, copy)
            for target in others:
                target.register(store)
            for number in range(40):
                await send(small.ports[number % 2], "/safe/a", f"r{number}")
                await asyncio.sleep(0.05)
            assert len(gone.log) == before

    asyncio.run(main())


def test_targets_that_started_since_the_copy_keep_their_work():
    async def main():
        async with start_deployment(2) as small:
            store = small.store
            copy = store.copy()
            late = TargetStandin("plain-late", "plain")
            small.targets.append(late)
            await late.start(store)
            write_many(store, 20)
            await asyncio.sleep(0.3)
            await restore(small, copy)
            for _ in range(30):
                await asyncio.sleep(0.05)
                for gateway in small.gateways:
                    ready = gateway.state.directory.ready("plain")
                    assert "plain-late" in {target.id for target in ready}
            late.register(store)
            await asyncio.sleep(3.0)
            for gateway in small.gateways:
                ready = gateway.state.directory.ready("plain")
                assert "plain-late" in {target.id for target in ready}

    asyncio.run(main())


# Guards against ending an evacuation that only the copy lacks.
def test_an_evacuation_that_the_copy_lacks_goes_on_until_it_is_written_again():
    async def main():
        async with start_deployment(2) as small:
            store = small.store
            copy = store.copy()
            store.put(EVACUATIONS_PREFIX + "z9", b"1")
            write_many(store, 20)
            await asyncio.sleep(0.3)
            await restore(small, copy)
            for _ in range(10):
                await asyncio.sleep(0.1)
                for gateway in small.gateways:
                    assert gateway.state.directory.evacuated == {"z9"}
            store.put(EVACUATIONS_PREFIX + "z9", b"1")
            await asyncio.sleep(4.0)
            for gateway in small.gateways:
                assert gateway.state.directory.evacuated == {"z9"}
            store.delete(EVACUATIONS_PREFIX + "z9")
            await asyncio.sleep(1.0)
            for gateway in small.gateways:
                assert gateway.state.directory.evacuated == frozenset()

    asyncio.run(main())


# Guards against renewing, or ending, a lease that the store has given to somebody else.
def test_entries_register_again_under_leases_of_their_own():
    async def main():
        async with start_deployment(3) as small:
            store = small.store
            copy = store.copy()
            # As if all had registered since the copy was made.
            keys = {
                key: item
                for key, item in copy.keys.items()
                if not key.startswith(ENTRIES_PREFIX)
            }
            copy = replace(copy, keys=keys, leases={}, last_lease=0)
            await restore(small, copy)
            other = store.grant_lease(60.0)
            await asyncio.sleep(3.0)
            entries = store.keys(ENTRIES_PREFIX)
            assert len(entries) == 3
            leases = {store.lease_of(key) for key in entries}
            assert len(leases) == 3
            assert other not in leases
            await small.gateways[0].registration.unregister()
            await asyncio.sleep(0.1)
            assert len(store.keys(ENTRIES_PREFIX)) == 2
            assert store.has_lease(other)

    asyncio.run(main())


# Guards against entries that list a restored store over and over.
def test_a_restored_store_is_listed_a_few_times_only():
    async def main():
        async with start_deployment(2) as small:
            store = small.store
            copy = store.copy()
            write_many(store, 200)
            await asyncio.sleep(0.3)
            await restore(small, copy)
            store.calls.clear()
            await asyncio.sleep(2.0)
            assert store.calls["range"] <= 4 * len(small.gateways)
            assert store.calls["watch"] <= 20 * len(small.gateways)

    asyncio.run(main())


def test_two_restores_within_a_second_and_a_slow_operator():
    async def main():
        async with start_deployment(3) as small:
            store = small.store
            copy = store.copy()
            write_many(store, 50)
            store.put(CONFIGURATION_KEY, configuration(3, "new"))
            await asyncio.sleep(0.4)
            await restore(small, copy)
            await asyncio.sleep(0.3)
            await restore(small, copy)
            await asyncio.sleep(2.0)
            assert await statuses(small, "/new/a", "a") == {200}
            store.put(CONFIGURATION_KEY, configuration(4, "new", "newer"))
            await asyncio.sleep(APPLY_S)
            assert await statuses(small, "/newer/a", "b") == {200}

    asyncio.run(main())
