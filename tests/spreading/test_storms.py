"""Failures of many at once make no storm, and odd answers no busy loop."""

import asyncio

import pytest
from loguru import logger

from lagoontide.store.kv import KeyValue
from tests.spreading.cluster import Cluster
from tests.support.virtual import run_virtual

DOMAINS = 4
PER_DOMAIN = 50
READS = ("get", "watch")
# A comparison a second is two messages; twice that leaves room for repairs.
MESSAGES_PER_S = 4.0


@pytest.fixture(autouse=True)
def _quiet():
    logger.disable("lagoontide")
    yield
    logger.enable("lagoontide")


def check(steps, domains=DOMAINS, per_domain=PER_DOMAIN):
    async def main():
        cluster = Cluster(domains, per_domain)
        try:
            await cluster.wait_in_force(await cluster.publish(), 8)
            await asyncio.sleep(2)
            await steps(cluster)
            cluster.check_never_reverted()
        finally:
            cluster.close()

    run_virtual(main())


def reads(cluster):
    return sum(cluster.store.calls[name] for name in READS)


def test_a_lost_failure_domain_makes_no_storm_and_no_change_is_late():
    async def steps(cluster):
        for item in cluster.instances:
            if item.failure_domain == "domain-0":
                cluster.nodes.pop(item.address).stop()
        before, messages = reads(cluster), cluster.messages
        version = await cluster.publish()
        # The list still shows the lost ones.
        assert await cluster.wait_in_force(version, 4) < 4
        await asyncio.sleep(10)
        assert reads(cluster) - before <= DOMAINS * 3 * 2
        rate = (cluster.messages - messages) / 10 / len(cluster.nodes)
        assert rate <= MESSAGES_PER_S

    check(steps)


def test_a_hundred_restarts_in_a_minute_make_no_storm():
    async def steps(cluster):
        before, messages = reads(cluster), cluster.messages
        for number, item in enumerate(cluster.instances[:100]):
            cluster.replace(item.address, is_shown=number % 20 == 19)
            await asyncio.sleep(0.6)
        # One read at each start at most, and the watches of new watchers.
        watches = DOMAINS * 3 * 60 / 20
        assert reads(cluster) - before <= 100 + 100 * DOMAINS * 3 / 200 + watches
        rate = (cluster.messages - messages) / 60 / len(cluster.nodes)
        assert rate <= MESSAGES_PER_S
        await cluster.wait_in_force(await cluster.publish(), 4)

    check(steps)


def test_a_fleet_that_starts_at_once_reads_the_store_once_each_at_most():
    async def steps(cluster):
        before = reads(cluster)
        for item in cluster.instances:
            cluster.replace(item.address, is_shown=False)
        cluster.show_list()
        await asyncio.sleep(5)
        newest = cluster.accepted[-1].version
        assert not cluster.behind(newest)
        assert reads(cluster) - before <= 200 + DOMAINS * 3 * 2

    check(steps)


def test_a_process_without_a_list_watches_the_store_itself():
    async def steps(cluster):
        cluster.is_list_up = False
        alone = cluster.start(cluster.instances[0])
        await asyncio.sleep(3)
        version = await cluster.publish()
        await asyncio.sleep(1)
        assert alone.version == version

    check(steps, per_domain=4)


@pytest.mark.parametrize("value", [b"", b"\x93\x01\x02\x03"])
def test_useless_answers_of_the_store_make_no_busy_loop(value):
    async def steps(cluster):
        newest = cluster.accepted[-1].version
        version = newest + 100 if value else newest
        calls = 0

        async def answer(key, after, wait):
            nonlocal calls
            calls += 1
            return KeyValue(key, version, value)

        cluster.store.watch = answer
        for node in list(cluster.nodes.values()):
            cluster.replace(node.address)
        await asyncio.sleep(10)
        # Twelve watchers that try once a second, jitter of a quarter.
        assert calls <= 12 * 10 * 2

    check(steps, per_domain=4)
