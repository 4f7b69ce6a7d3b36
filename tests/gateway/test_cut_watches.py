"""Watches of the store that are cut, beside deletions and outages."""

import asyncio

import pytest

from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.standins.deployment import start_deployment
from lagoontide.platform.standins.store import StoreFault
from tests.mesh.fleet import TARGET_PREFIX, Fleet
from tests.support.virtual import run_virtual

# drain_ms of the users' deployments lies between these.
SHORT_DRAIN_S = 1.0
HEARTBEAT_S = 1.2
# Targets that lapsed in an outage are back within this time of its end (PROTOCOL).
REREGISTERED_S = 2.0
# The sweep, and a call to the store.
SLACK_S = 0.6
RELAYED = TARGET_PREFIX + "i-1"
LEFT, BACK = TARGETS_PREFIX + "plain-0", TARGETS_PREFIX + "plain-1"


def ready(small):
    return [
        {target.id for target in gateway.state.directory.ready("plain")}
        for gateway in small.gateways
    ]


def cut(small):
    for endpoint in small.store_endpoints:
        endpoint.cut_watches()


# Guards against work for a target that has left, as a watch was cut at that moment.
@pytest.mark.parametrize("cuts_after", [-0.05, 0.0, 0.05], ids=str)
def test_cut_watch_keeps_no_target_whose_registration_is_deleted(cuts_after):
    async def main():
        async with start_deployment(3) as small:
            for _ in range(3):
                # Cuts in series, before and beside the deletion.
                cut(small)
                await asyncio.sleep(0.3)
            if cuts_after < 0:
                cut(small)
                await asyncio.sleep(-cuts_after)
            small.store.delete(LEFT)
            await asyncio.sleep(max(0.0, cuts_after))
            cut(small)
            await asyncio.sleep(SHORT_DRAIN_S)
            assert all("plain-0" not in names for names in ready(small))
            assert all("plain-1" in names for names in ready(small))

    asyncio.run(main())


# Guards against the loss of targets whose registrations lapse in an outage, and against
# work for those that do not register again, by the same rule.
@pytest.mark.parametrize("fault", [StoreFault.RESET, StoreFault.BUSY], ids=str)
def test_lapse_in_an_outage_is_no_deletion_until_targets_could_write_again(fault):
    async def main():
        async with start_deployment(2) as small:
            back = small.store.value_of(BACK)
            cut(small)
            for endpoint in small.store_endpoints:
                endpoint.trouble = fault
            await asyncio.sleep(2 * HEARTBEAT_S)
            small.store.delete(LEFT)
            small.store.delete(BACK)
            for endpoint in small.store_endpoints:
                endpoint.trouble = StoreFault.NONE
            # A watch that is cut now begins no new time.
            await asyncio.sleep(1.0)
            cut(small)
            await asyncio.sleep(REREGISTERED_S - 1.0 - 0.1)
            assert all({"plain-0", "plain-1"} <= names for names in ready(small))
            small.store.put(BACK, back)
            await asyncio.sleep(SLACK_S + 0.3)
            assert all("plain-0" not in names for names in ready(small))
            assert all("plain-1" in names for names in ready(small))

    asyncio.run(main())


# Guards against the same at entries that hear of the deletion from a hub.
def test_cut_watch_of_a_hub_keeps_no_target_at_its_followers():
    async def main():
        fleet = Fleet(20)
        fleet.store.put(RELAYED, b"ready")
        await fleet.settle()
        entries = fleet.entries.values()
        assert any(entry.peer_sync.is_relayed() for entry in entries)
        assert all("i-1" in entry.ready() for entry in entries)
        for entry in entries:
            entry.store_client.cut()
        fleet.store.delete(RELAYED)
        await asyncio.sleep(SHORT_DRAIN_S)
        assert not any("i-1" in entry.ready() for entry in entries)

    run_virtual(main())


# Guards against the loss of a lapsed target at entries that hear of it from a hub.
def test_outage_at_hubs_keeps_lapsed_targets_at_their_followers():
    async def main():
        fleet = Fleet(20)
        fleet.store.put(RELAYED, b"ready")
        await fleet.settle()
        entries = fleet.entries.values()
        for entry in entries:
            entry.store_client.trouble = "refuses"
            entry.store_client.cut()
        await asyncio.sleep(2 * HEARTBEAT_S)
        fleet.store.delete(RELAYED)
        for entry in entries:
            entry.store_client.trouble = ""
        await asyncio.sleep(REREGISTERED_S - 0.1)
        assert all("i-1" in entry.ready() for entry in entries)
        await asyncio.sleep(SLACK_S + 0.5)
        assert not any("i-1" in entry.ready() for entry in entries)

    run_virtual(main())
