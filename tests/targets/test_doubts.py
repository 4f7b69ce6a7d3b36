"""Targets that may have started again under their id, before they register."""

import asyncio
from dataclasses import replace

import pytest

from lagoontide.targets.directory import Directory
from lagoontide.targets.endings import DOUBT_S, WATCH_S, Endings
from lagoontide.targets.pools import Pools
from lagoontide.targets.records import Target, TargetState

HOST = "127.0.0.1"
SETTLE_S = 0.05


class Shop:
    """A target at a loopback port, and what an entry makes of its connections."""

    def __init__(self, port):
        loop = asyncio.get_running_loop()
        self.later = 0.0
        self.is_cut_off = False

        def clock():
            return loop.time() + self.later

        self.target = Target("t1", "s", HOST, port, "z1", TargetState.READY, born=1)
        self.directory = Directory(clock)
        self.directory.put(self.target)
        self.pools = Pools(lambda name: 100, lambda: 1)
        self.endings = Endings(
            self.directory, self.pools, clock, lambda: self.is_cut_off
        )
        self.pool = self.pools.pool_of(self.target)

    async def open(self, number):
        conns = [await self.pool.acquire(1.0) for _ in range(number)]
        await asyncio.sleep(SETTLE_S)
        return conns

    @property
    def is_in_doubt(self):
        return self.endings.is_in_doubt(self.target)


def play(scenario):
    """Run a scenario with a target whose connections it can close."""

    async def main():
        accepted = []
        server = await asyncio.start_server(
            lambda reader, writer: accepted.append(writer), HOST, 0
        )
        shop = Shop(server.sockets[0].getsockname()[1])
        shop.endings.watch(shop.target)
        try:
            await scenario(shop, accepted, server)
        finally:
            shop.endings.close()
            shop.pools.close()
            server.close()
            for writer in accepted:
                writer.close()

    asyncio.run(main())


async def close(writers):
    for writer in writers:
        writer.close()
    await asyncio.sleep(SETTLE_S)


# Guards against streams that go on at another version: the process that holds the port
# now may not be the one that is registered.
def test_target_that_closes_all_idle_connections_is_in_doubt_for_a_while():
    async def scenario(shop, accepted, server):
        for conn in await shop.open(2):
            shop.pool.release(conn, is_reusable=True)
        assert not shop.is_in_doubt
        await close(accepted[:1])
        assert not shop.is_in_doubt
        await close(accepted[1:2])
        assert shop.is_in_doubt
        shop.is_cut_off, shop.later = True, DOUBT_S + 0.1
        assert shop.is_in_doubt
        shop.is_cut_off = False
        assert not shop.is_in_doubt

    play(scenario)


# Guards against a doubt that stays with the target that has registered since.
def test_registration_of_another_start_is_not_in_doubt():
    async def scenario(shop, accepted, server):
        for conn in await shop.open(1):
            shop.pool.release(conn, is_reusable=True)
        await close(accepted)
        assert shop.is_in_doubt
        assert not shop.endings.is_in_doubt(replace(shop.target, born=2))
        shop.endings.keep_only([("t1", 2)])
        assert not shop.is_in_doubt

    play(scenario)


# Guards against take-ups that are refused at sound targets that close what rests.
@pytest.mark.parametrize("rested", [2.5, 0.0])
def test_connection_closed_at_its_announced_timeout_leaves_no_doubt(rested):
    async def scenario(shop, accepted, server):
        (conn,) = await shop.open(1)
        conn.keep_alive_timeout = 3.0
        shop.pool.release(conn, is_reusable=True)
        conn.idle_since -= rested
        await close(accepted)
        assert shop.is_in_doubt == (rested == 0.0)

    play(scenario)


# Guards against doubts, and checks, of targets to which no streams are sent.
def test_target_without_streams_of_late_is_not_checked():
    async def scenario(shop, accepted, server):
        shop.later = WATCH_S + 0.1
        for conn in await shop.open(1):
            shop.pool.release(conn, is_reusable=True)
        await close(accepted)
        assert not shop.is_in_doubt
        assert len(accepted) == 1

    play(scenario)


# Guards against doubts of a target that broke off one response and goes on.
@pytest.mark.parametrize("is_listening", [True, False])
def test_broken_response_leaves_a_doubt_only_if_connections_are_refused(is_listening):
    async def scenario(shop, accepted, server):
        (conn,) = await shop.open(1)
        if not is_listening:
            server.close()
        accepted[0].transport.abort()
        await asyncio.sleep(SETTLE_S)
        shop.pool.release(conn, is_reusable=False)
        await asyncio.sleep(SETTLE_S)
        assert shop.is_in_doubt != is_listening

    play(scenario)
