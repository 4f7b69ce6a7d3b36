"""Values of other writers in the store cost themselves only."""

import asyncio

import msgspec
import pytest

from lagoontide.mesh.registration import ENTRIES_PREFIX
from lagoontide.origins.keeper import ORIGINS_PREFIX, VERSIONS_PREFIX
from lagoontide.platform.configuration import CONFIGURATION_KEY
from lagoontide.platform.directory import EVACUATIONS_PREFIX, TARGETS_PREFIX
from lagoontide.platform.standins.deployment import (
    make_configuration,
    send,
    start_deployment,
)
from lagoontide.quarantine.keeper import QUARANTINE_PREFIX
from tests.support.odd_values import vary
from tests.support.waiting import wait_for

REGISTRATION = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "state": "draining",
    "version": "v1",
    "slots": 1,
    "born": 1,
    "cold_left_ms": 1.0,
    "seq": 1,
}
ENTRY = {"address": "127.0.0.1:9", "capacity": 1.0, "failure_domain": "z1"}
QUARANTINE = [["t-1", 1, ["request:a", "b"], ["b"], True, 1.0]]
ORIGINS = {"engine": {"v1": ["r1"]}}
VERSIONS = {"engine": ["v1"]}
STORED = {
    TARGETS_PREFIX + "other": REGISTRATION,
    ENTRIES_PREFIX + "other": ENTRY,
    QUARANTINE_PREFIX + "other": QUARANTINE,
    ORIGINS_PREFIX + "other": ORIGINS,
    VERSIONS_PREFIX: VERSIONS,
    EVACUATIONS_PREFIX + "z9": {"at": 1},
    CONFIGURATION_KEY: msgspec.json.decode(make_configuration(1)),
}
# Changes of one answer, and time until they are applied.
BATCH, APPLIED_S = 60, 2.0
ODD_IDS = ("a\r\nX-Other: 1", "a b", "\u00e9", "x" * 201, "a\x00b")


def applied_version(gateway):
    table = gateway.state.route_table
    return table.version if table else 0


async def check_still_served(small, version):
    """A change that comes after the odd ones is applied by every entry."""
    small.configure(version)
    for gateway in small.gateways:
        await wait_for(
            lambda gateway=gateway: applied_version(gateway) == version, APPLIED_S
        )
        assert gateway.supervisor.failures == {}
        assert gateway.store_view.failed_items == 0
    for port in small.ports:
        answer = await send(port, "/safe/a", f"r-{version}-{port}")
        assert answer.status == 200


# Guards against entries that end, or apply no more changes, for one stored value.
@pytest.mark.parametrize("key", STORED)
def test_odd_value_costs_no_other_change(key):
    async def main():
        async with start_deployment(2) as small:
            odd = list(vary(STORED[key]))
            version = 10
            for begin in range(0, len(odd), BATCH):
                for value in odd[begin : begin + BATCH]:
                    small.store.put(key, value)
                await asyncio.sleep(0.25)
            if key != CONFIGURATION_KEY:
                await check_still_served(small, version)
            # In the listing of an entry that starts.
            small.store.put(key, odd[-1])
            if key == CONFIGURATION_KEY:
                small.configure(version)
            await small.restart_entry(0)
            await check_still_served(small, version + 1)

    asyncio.run(main())


# Guards against ids that break the head of a request, or end the entry.
def test_target_whose_id_cannot_be_sent_is_not_used():
    async def main():
        async with start_deployment(1) as small:
            for name in ODD_IDS:
                value = msgspec.json.encode(REGISTRATION | {"state": "ready"})
                small.store.put(TARGETS_PREFIX + name, value)
            await check_still_served(small, 10)
            known = {target.id for target in small.gateways[0].state.directory.all()}
            assert known.isdisjoint(ODD_IDS)

    asyncio.run(main())
