"""A change is in force everywhere within seconds and never reverts."""

import asyncio

import pytest
from loguru import logger

from lagoontide.configuration.document import digest_document, encode_document
from lagoontide.spreading.copies import PIECE_BYTES
from lagoontide.spreading.messages import Change, Changes
from tests.spreading.cluster import Cluster, encoded
from tests.support.virtual import run_virtual

TARGET_S = 1.0
REPAIR_S = 8.0


@pytest.fixture(autouse=True)
def _quiet():
    logger.disable("lagoontide")
    yield
    logger.enable("lagoontide")


def check(steps, domains=3, per_domain=10, **options):
    async def main():
        cluster = Cluster(domains, per_domain, **options)
        try:
            await cluster.wait_in_force(await cluster.publish(), REPAIR_S)
            await asyncio.sleep(2)
            await steps(cluster)
            cluster.check_never_reverted()
        finally:
            cluster.close()

    run_virtual(main())


def test_two_hundred_processes_have_a_change_within_the_target():
    async def steps(cluster):
        for _ in range(3):
            before = cluster.store.calls.copy()
            version = await cluster.publish()
            assert await cluster.wait_in_force(version, TARGET_S) < TARGET_S
            reads = cluster.store.calls - before
            # Three watchers in each of four failure domains, and the test's get.
            assert reads["watch"] <= 4 * 3
            assert reads["get"] <= 1
            await asyncio.sleep(3)

    check(steps, domains=4, per_domain=50)


@pytest.mark.parametrize("per_domain", [5, 20, 60])
def test_reads_of_the_store_do_not_depend_on_the_number_of_processes(per_domain):
    async def steps(cluster):
        before = cluster.store.calls.copy()
        await cluster.wait_in_force(await cluster.publish(), TARGET_S)
        await asyncio.sleep(10)
        assert (cluster.store.calls - before).total() <= 2 + 3 * 2 * 3

    check(steps, per_domain=per_domain)


def test_an_outage_across_a_change_delays_it_and_new_processes_start_meanwhile():
    async def steps(cluster):
        version = await cluster.publish()
        cluster.store.faults.down = True
        await asyncio.sleep(5)
        address = cluster.instances[0].address
        new = cluster.replace(address)
        await asyncio.sleep(3)
        assert new.version > 0
        assert new.spreader.is_current
        cluster.store.faults.down = False
        await cluster.wait_in_force(version, REPAIR_S)

    check(steps)


def test_a_lost_push_is_repaired_by_comparison():
    async def steps(cluster):
        cluster.network.weather.drop = 0.5
        await cluster.wait_in_force(await cluster.publish(), 30)

    check(steps)


def test_doubled_and_reordered_messages_do_no_harm():
    async def steps(cluster):
        cluster.network.weather.double = 0.5
        cluster.network.weather.spread = 0.5
        for _ in range(10):
            version = await cluster.publish()
            await asyncio.sleep(0.1)
        await cluster.wait_in_force(version, REPAIR_S)

    check(steps)


def test_old_answers_of_the_store_revert_nothing():
    async def steps(cluster):
        for _ in range(4):
            await cluster.wait_in_force(await cluster.publish(), TARGET_S)
        cluster.is_old = True
        await asyncio.sleep(60)
        cluster.check_never_reverted()
        assert not cluster.behind(cluster.accepted[-1].version)

    check(steps)


def test_a_paused_watcher_holds_up_nobody_and_catches_up():
    async def steps(cluster):
        watchers = [n for n in cluster.nodes.values() if n.spreader.roles.watches]
        watchers[0].gate.clear()
        version = await cluster.publish()
        await asyncio.sleep(REPAIR_S)
        assert cluster.behind(version) == [watchers[0].name]
        later = await cluster.publish()
        watchers[0].gate.set()
        await cluster.wait_in_force(later, REPAIR_S)

    check(steps)


def test_all_watchers_of_a_failure_domain_paused_is_repaired_by_the_others():
    async def steps(cluster):
        paused = [
            node
            for node in cluster.nodes.values()
            if node.spreader.roles.watches and node.domain == "domain-0"
        ]
        for node in paused:
            node.gate.clear()
        version = await cluster.publish()
        await asyncio.sleep(2 * REPAIR_S)
        assert sorted(cluster.behind(version)) == sorted(n.name for n in paused)

    check(steps)


def test_a_split_between_failure_domains_heals():
    async def steps(cluster):
        cluster.split("domain-0")
        version = await cluster.publish()
        await asyncio.sleep(REPAIR_S)
        behind = {name.split("-")[1] for name in cluster.behind(version)}
        assert behind == {"0"}
        cluster.heal()
        await cluster.wait_in_force(version, REPAIR_S)

    check(steps)


@pytest.mark.parametrize(("stale_after", "serves"), [(0.0, True), (30.0, False)])
def test_what_a_cut_off_failure_domain_does_is_settable(stale_after, serves):
    async def steps(cluster):
        # A watch confirms a version every 20 s.
        await asyncio.sleep(30)
        assert all(node.spreader.is_current for node in cluster.nodes.values())
        cluster.split("domain-0")
        await asyncio.sleep(60)
        for node in cluster.nodes.values():
            cut_off = node.domain == "domain-0"
            assert node.spreader.is_current == (serves or not cut_off)
        cluster.heal()
        await asyncio.sleep(30)
        assert all(node.spreader.is_current for node in cluster.nodes.values())

    check(steps, stale_after=stale_after)


def test_all_processes_are_replaced_one_by_one_across_changes():
    async def steps(cluster):
        for number, item in enumerate(cluster.instances):
            cluster.replace(item.address)
            if number % 5 == 0:
                version = await cluster.publish()
            await asyncio.sleep(0.2)
        await cluster.wait_in_force(version, REPAIR_S)

    check(steps)


def test_a_process_that_cannot_get_what_it_knows_of_is_not_current():
    async def steps(cluster):
        node = cluster.nodes[cluster.instances[0].address]
        known = node.version + 20
        node.identity.on_version("nobody", known)
        await asyncio.sleep(5)
        assert node.spreader.is_current
        await asyncio.sleep(10)
        assert not node.spreader.is_current
        while await cluster.publish() < known:
            await asyncio.sleep(0.01)
        await asyncio.sleep(REPAIR_S)
        assert node.spreader.is_current

    check(steps)


def test_a_document_of_many_pieces_arrives_whole():
    async def steps(cluster):
        address = cluster.instances[0].address
        cluster.store.faults.down = True
        new = cluster.replace(address)
        await cluster.wait_in_force(cluster.accepted[-1].version, REPAIR_S)
        packed = encode_document(cluster.documents[new.version])
        assert len(packed) > 3 * PIECE_BYTES
        assert new.adopted == [(new.version, cluster.documents[new.version])]

    check(steps, accounts=7000, per_domain=2)


def test_bad_digests_are_refused():
    async def steps(cluster):
        node = cluster.nodes[cluster.instances[0].address]
        held = node.spreader.copies.copy
        wrong = digest_document(b"another document")
        assert not node.spreader.copies.take(held.version + 50, encoded(9), wrong)
        step = Change(held.version, held.version + 50, wrong, b"\x80")
        await node.spreader.handle("agent-0-1", Changes((step,), 0.0), None)
        assert node.spreader.copies.refused == 2
        assert node.spreader.copies.copy is held

    check(steps)


def test_what_is_no_document_is_refused():
    async def steps(cluster):
        node = cluster.nodes[cluster.instances[0].address]
        held = node.spreader.copies.copy
        assert not node.spreader.copies.take(held.version + 50, b"\x93\x01\x02\x03")
        assert node.spreader.copies.copy is held

    check(steps)
