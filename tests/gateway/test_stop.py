"""Graceful stops of an entry: what it still answers, and when it is over."""

import asyncio

import pytest

from lagoontide.gateway.stop import stop_gracefully
from lagoontide.http1.client import TargetConn
from lagoontide.http1.messages import RequestHead
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.standins.deployment import send
from lagoontide.platform.standins.runs import TargetFault
from lagoontide.platform.standins.store import StoreFault
from tests.gateway.test_path import GRACE_PERIOD_S, run_scenario, runs, set_fault
from tests.support.waiting import wait_for


def test_stop_drains_requests_and_accepts_no_more():
    async def scenario(small):
        small.targets_of("plain")[0].work = small.targets_of("plain")[1].work = 1.0
        small.targets_of("plain")[2].work = 1.0
        gateway = small.gateways[0]
        running = asyncio.create_task(send(small.ports[0], "/once/a", "r1"))
        await wait_for(lambda: runs(small, "r1") == 1)
        stopping = asyncio.create_task(stop_gracefully(gateway, 3.0))
        await wait_for(lambda: not gateway.is_ready)
        assert (await running).status == 200
        assert await stopping
        with pytest.raises(OSError):
            await send(small.ports[0], "/once/a", "r2")

    run_scenario(scenario)


def test_stop_closes_connections_whose_answer_began_before():
    async def scenario(small):
        for target in small.targets_of("engine"):
            target.work = 0.1
        conn = TargetConn(await connect_tcp("127.0.0.1", small.ports[0], 1.0))
        fields = [
            (b"Host", b"a.example"),
            (b"X-Lagoontide-Request-Id", b"r1"),
            (b"Authorization", b"Bearer key-one"),
        ]
        await conn.send(RequestHead(b"POST", b"/events/a", fields), b"x")
        await conn.read_head()
        listener = small.gateways[0].callers
        listener.is_draining = True
        assert b"".join([data async for data in conn.read_body()])
        await wait_for(lambda: not listener.connection_count)
        conn.close()

    run_scenario(scenario)


# Guards against requests that end without an answer, as the entry exits while it reads
# them.
def test_stop_answers_a_request_that_it_was_still_reading():
    async def scenario(small):
        tcp = await connect_tcp("127.0.0.1", small.ports[0], 1.0)
        head = (
            b"POST /once/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n"
            b"X-Lagoontide-Request-Id: r1\r\nAuthorization: Bearer key-one\r\n\r\n"
        )
        await tcp.write(head + b"a")
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(
            stop_gracefully(small.gateways[0], GRACE_PERIOD_S)
        )
        # The entry has stopped accepting connections by now.
        await asyncio.sleep(GRACE_PERIOD_S / 2 + 0.2)
        assert not stopping.done()
        await tcp.write(b"b")
        assert (await tcp.read()).startswith(b"HTTP/1.1 200 ")
        assert await stopping
        tcp.close()

    run_scenario(scenario)


def test_stop_closes_idle_connections():
    async def scenario(small):
        tcp = await connect_tcp("127.0.0.1", small.ports[0], 1.0)
        listener = small.gateways[0].callers
        await wait_for(lambda: listener.connection_count == 1)
        listener.close_idle()
        assert await tcp.read() == b""

    run_scenario(scenario)


def test_stop_ends_within_the_grace_period_while_the_store_is_silent():
    async def scenario(small):
        set_fault(small, "plain", TargetFault.STALLS, times=1)
        running = asyncio.create_task(
            send(small.ports[0], "/once/a", "r1", deadline_ms=9000)
        )
        await wait_for(lambda: runs(small, "r1") == 1)
        small.store_endpoints[0].trouble = StoreFault.SILENT
        loop = asyncio.get_running_loop()
        began = loop.time()
        await stop_gracefully(small.gateways[0], GRACE_PERIOD_S)
        assert loop.time() - began < GRACE_PERIOD_S - 0.3
        assert (await running).status in (502, 504)

    run_scenario(scenario)
