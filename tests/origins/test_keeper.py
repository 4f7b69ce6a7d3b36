"""Origins and the version set in the store."""

import asyncio
import itertools
import random

import msgspec
import pytest

from lagoontide.origins.keeper import (
    MAX_BACKOFF_S,
    ORIGINS_PREFIX,
    POLL_INTERVAL_S,
    VERSIONS_KEY,
    StoredOrigins,
    lease_period,
    write_interval,
)
from lagoontide.origins.ledger import DEFAULT_RETENTION_S, Origins
from tests.mesh.fake_store import Store
from tests.origins.harness import SWEEP_S, Clock, Entry
from tests.support.virtual import run_virtual

SETTLE_S = 2 * SWEEP_S
STORE_WRITES_PER_S = 400.0
ONE = {"s": {"v1"}}
TWO = {"s": {"v1", "v2"}}


def batch_keys(store):
    return sorted(key for key in store.keys if key.startswith(ORIGINS_PREFIX))


def stored_ids(store):
    batches = [msgspec.json.decode(store.keys[key][0]) for key in batch_keys(store)]
    return {
        request_id
        for batch in batches
        for versions in batch.values()
        for ids in versions.values()
        for request_id in ids
    }


def stored_versions(store):
    return msgspec.json.decode(store.keys[VERSIONS_KEY][0])


def run(scenario):
    async def main():
        await scenario(Store())

    run_virtual(main())


def test_only_the_version_set_is_written_while_services_have_one_version():
    async def scenario(store):
        entry = Entry("e0", store, is_responsible=True)
        entry.registered = ONE
        await asyncio.sleep(SETTLE_S)
        for number in range(200):
            entry.origins.begin(f"r{number}", "s", "v1")
            await asyncio.sleep(0.5)
        assert stored_versions(store) == {"s": ["v1"]}
        assert batch_keys(store) == []
        assert entry.writes.count("grant") <= 1
        assert entry.writes.count("put") <= 3

    run(scenario)


def test_a_fresh_entry_finds_streams_that_began_before_the_kill_of_all():
    async def scenario(store):
        entry = Entry("e0", store, is_responsible=True)
        entry.registered = ONE
        await asyncio.sleep(SETTLE_S)
        entry.origins.begin("r1", "s", "v1")
        entry.registered = TWO
        await asyncio.sleep(SETTLE_S)
        entry.origins.begin("r2", "s", "v2")
        await asyncio.sleep(SETTLE_S)
        entry.kill()
        fresh = Entry("e0", store)
        fresh.registered = {"s": {"v2"}}
        await asyncio.sleep(SETTLE_S)
        assert fresh.origins.find("r1", "s") == "v1"
        assert fresh.origins.find("r2", "s") == "v2"
        assert fresh.origins.find("r2", "other") is None
        assert fresh.origins.find("unknown", "s") is None

    run(scenario)


def test_a_fresh_entry_knows_the_version_that_has_left():
    async def scenario(store):
        entry = Entry("e0", store, is_responsible=True)
        entry.registered = TWO
        await asyncio.sleep(DEFAULT_RETENTION_S + 1.0)
        entry.kill()
        fresh = Entry("e0", store, is_responsible=True)
        fresh.registered = {"s": {"v2"}}
        await asyncio.sleep(SETTLE_S)
        assert fresh.origins.possible_versions("s") == {"v1", "v2"}
        assert fresh.origins.is_mixed("s")
        await asyncio.sleep(2 * DEFAULT_RETENTION_S)
        assert fresh.origins.possible_versions("s") == {"v2"}
        assert stored_versions(store) == {"s": ["v2"]}

    run(scenario)


# Guards against unrecorded streams that an entry without a version set takes for those
# of the only version that it sees.
def test_streams_are_recorded_until_the_version_set_is_stored():
    async def scenario(store):
        first = Entry("e0", store)
        first.registered = ONE
        await asyncio.sleep(SETTLE_S)
        first.origins.begin("r1", "s", "v1")
        await asyncio.sleep(SETTLE_S)
        assert VERSIONS_KEY not in store.keys
        first.kill()
        fresh = Entry("e0", store, is_responsible=True)
        fresh.registered = {"s": {"v2"}}
        await asyncio.sleep(SETTLE_S)
        assert fresh.origins.find("r1", "s") == "v1"
        assert fresh.origins.possible_versions("s") == {"v1", "v2"}

    run(scenario)


# Guards against entries that can never tell, as none lives for the retention time.
def test_kills_in_series_do_not_prolong_the_time_without_a_complete_set():
    async def scenario(store):
        for _ in range(4):
            entry = Entry("e0", store, is_responsible=True)
            entry.registered = ONE
            await asyncio.sleep(8.0)
            entry.kill()
        fresh = Entry("e0", store)
        fresh.registered = ONE
        await asyncio.sleep(SETTLE_S)
        assert fresh.origins.possible_versions("s") == {"v1"}

    run(scenario)


def test_only_the_responsible_entry_writes_the_version_set():
    async def scenario(store):
        entries = [Entry(f"e{place}", store, place == 1) for place in range(3)]
        for entry in entries:
            entry.registered = ONE
        await asyncio.sleep(5.0)
        assert [bool(entry.writes) for entry in entries] == [False, True, False]

    run(scenario)


@pytest.mark.parametrize("trouble", ["refuses", "silent"])
def test_failed_writes_are_retried(trouble):
    async def scenario(store):
        entry = Entry("e0", store)
        entry.registered = TWO
        entry.client.trouble = trouble
        await asyncio.sleep(SETTLE_S)
        entry.origins.begin("r1", "s", "v1")
        await asyncio.sleep(10.0)
        entry.origins.begin("r2", "s", "v2")
        assert entry.origins.unsent_count == 2
        assert stored_ids(store) == set()
        # One call each, at the longest pause for most of the time.
        assert len(entry.writes) <= 10
        entry.client.trouble = ""
        await asyncio.sleep(MAX_BACKOFF_S + 3.0)
        assert stored_ids(store) == {"r1", "r2"}
        assert entry.origins.unsent_count == 0

    run(scenario)


def test_the_first_retry_comes_soon():
    async def scenario(store):
        entry = Entry("e0", store)
        entry.registered = TWO
        entry.client.trouble = "refuses"
        await asyncio.sleep(SETTLE_S)
        entry.origins.begin("r1", "s", "v1")
        while not entry.writes:
            await asyncio.sleep(0.01)
        entry.client.trouble = ""
        await asyncio.sleep(0.5)
        assert stored_ids(store) == {"r1"}

    run(scenario)


def test_a_lease_that_has_ended_is_replaced():
    async def scenario(store):
        entry = Entry("e0", store)
        entry.registered = TWO
        await asyncio.sleep(SETTLE_S)
        entry.origins.begin("r1", "s", "v1")
        await asyncio.sleep(SETTLE_S)
        for lease in tuple(store.leases):
            store.end(lease)
        entry.origins.begin("r2", "s", "v1")
        await asyncio.sleep(1.0)
        assert stored_ids(store) == {"r2"}

    run(scenario)


def test_batches_outlive_the_retention_time_and_then_end():
    async def scenario(store):
        entry = Entry("e0", store)
        entry.registered = TWO
        for number in range(30):
            entry.origins.begin(f"r{number}", "s", "v1")
            await asyncio.sleep(1.0)
        begun_at = asyncio.get_running_loop().time()
        entry.origins.begin("last", "s", "v1")
        await asyncio.sleep(SETTLE_S)
        assert entry.writes.count("grant") <= 4
        while "last" in stored_ids(store):
            store.expire(asyncio.get_running_loop().time())
            await asyncio.sleep(0.1)
        kept = asyncio.get_running_loop().time() - begun_at
        assert DEFAULT_RETENTION_S <= kept <= DEFAULT_RETENTION_S + 11.0

    run(scenario)


def test_a_restore_from_a_copy_makes_entries_write_again():
    async def scenario(store):
        entry = Entry("e0", store, is_responsible=True)
        entry.registered = ONE
        await asyncio.sleep(DEFAULT_RETENTION_S + 2.0)
        copy = store.copy()
        entry.registered = TWO
        await asyncio.sleep(SETTLE_S)
        entry.origins.begin("r1", "s", "v1")
        await asyncio.sleep(SETTLE_S)
        assert stored_ids(store) == {"r1"}
        store.restore(copy)
        assert stored_ids(store) == set()
        await asyncio.sleep(2.0)
        assert stored_ids(store) == {"r1"}
        assert stored_versions(store) == {"s": ["v1", "v2"]}

    run(scenario)


def test_batches_of_an_earlier_run_under_the_same_name_are_not_overwritten():
    async def scenario(store):
        for number in range(3):
            entry = Entry("e0", store)
            entry.registered = TWO
            await asyncio.sleep(SETTLE_S)
            entry.origins.begin(f"r{number}", "s", "v1")
            await asyncio.sleep(SETTLE_S)
            entry.kill()
        assert stored_ids(store) == {"r0", "r1", "r2"}

    run(scenario)


def test_what_cannot_be_read_is_ignored():
    origins = Origins(Clock())
    stored = StoredOrigins(origins)
    for value in (b"", b"\xff", b"3", b'{"s": 1}', b'{"s": {"v1": "r"}}', b"[[]]"):
        stored.apply(ORIGINS_PREFIX + "e0/1", value)
        stored.apply(VERSIONS_KEY, value)
    stored.apply(VERSIONS_KEY + "-unknown", b"{}")
    stored.end_listing([VERSIONS_KEY])
    assert len(origins) == 0
    assert stored.versions is None
    assert origins.possible_versions("s") is None


def test_the_deletion_of_a_batch_is_ignored():
    origins = Origins(Clock())
    stored = StoredOrigins(origins)
    stored.apply(ORIGINS_PREFIX + "e0/1", b'{"s": {"v1": ["r1"]}}')
    stored.apply(ORIGINS_PREFIX + "e0/1", None)
    assert origins.find("r1", "s") == "v1"


def test_a_listing_without_the_set_shows_that_it_is_missing():
    origins = Origins(Clock())
    stored = StoredOrigins(origins)
    stored.apply(VERSIONS_KEY, b'{"s": ["v1"]}')
    stored.end_listing([VERSIONS_KEY])
    assert origins.possible_versions("s") == {"v1"}
    origins.begin("r1", "s", "v1")
    assert not origins.unsent_count
    stored.end_listing([])
    assert stored.versions is None
    origins.begin("r2", "s", "v1")
    assert [record.request_id for record in origins.unsent(10)] == ["r2"]


def test_a_snapshot_of_a_peer_takes_the_place_of_a_listing():
    clock = Clock()
    peer, own = Origins(clock), Origins(clock)
    known, stored = StoredOrigins(peer), StoredOrigins(own)
    known.apply(VERSIONS_KEY, b'{"s": ["v1", "v2"]}')
    known.apply(ORIGINS_PREFIX + "e0/1", b'{"s": {"v1": ["r1"]}}')
    known.end_listing([VERSIONS_KEY])
    stored.adopt_snapshot(known.values(), peer.aged())
    assert own.possible_versions("s") == {"v1", "v2"}
    assert own.find("r1", "s") == "v1"


@pytest.mark.parametrize("entries", [1, 4, 36, 300, 2600])
def test_all_entries_together_use_half_of_the_writes_of_the_store(entries):
    batches = entries / write_interval(entries)
    grants = entries / lease_period(entries)
    assert batches + grants <= STORE_WRITES_PER_S / 2


def test_a_busy_entry_keeps_its_pace():
    async def scenario(store):
        seconds = 20.0
        for entries in (4, 300):
            entry = Entry(f"e{entries}", store, entries=entries)
            entry.registered = TWO
            numbers = itertools.count()
            until = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < until:
                entry.origins.begin(f"{entries}-{next(numbers)}", "s", "v1")
                await asyncio.sleep(0.01)
            assert len(entry.writes) * entries / seconds <= STORE_WRITES_PER_S / 2
            # A record waits for one interval and the retry's poll at most.
            limit = write_interval(entries) + 2 * POLL_INTERVAL_S + 0.1
            assert entry.origins.oldest_unsent_age <= limit
            entry.kill()

    run(scenario)


# Guards against the writes of all entries at one moment when a service becomes mixed.
def test_entries_that_see_a_version_together_do_not_write_together():
    async def scenario(store):
        number = 300
        entries = [Entry(f"e{place}", store, entries=number) for place in range(number)]
        for place, entry in enumerate(entries):
            entry.keeper._rng = random.Random(place)
            entry.registered = ONE
        await asyncio.sleep(SETTLE_S)
        for place, entry in enumerate(entries):
            entry.origins.begin(f"r{place}", "s", "v1")
            entry.registered = TWO
        for _ in range(4):
            before = sum(len(entry.writes) for entry in entries)
            await asyncio.sleep(1.0)
            after = sum(len(entry.writes) for entry in entries)
            assert after - before <= STORE_WRITES_PER_S
        assert len(stored_ids(store)) == number

    run(scenario)
