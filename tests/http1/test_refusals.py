"""What callers get whose connections are given up or whose requests are too large."""

import asyncio
import contextlib
import tracemalloc

import pytest

from lagoontide.http1.client import TargetConn
from lagoontide.http1.holdings import ConnLimits
from lagoontide.http1.messages import RequestHead, Response, field_value
from lagoontide.http1.server import HttpLimits, Listener
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.standins.ports import HOST

BODY_BYTES = 1 << 20
HELD_BYTES = 4 * BODY_BYTES
LIMITS = HttpLimits(max_body_bytes=BODY_BYTES)
PIPELINED = b"GET /pipelined HTTP/1.1\r\nHost: a\r\n\r\n"
PIPELINED_REQUESTS = 500
CONNECTIONS = 10
MAX_TURNS = 4
STALLED = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


class Server:
    """A listener that records the paths of the requests that it handles."""

    def __init__(self, conn_limits):
        self.paths = []
        self.release = asyncio.Event()
        self.listener = Listener(self._handle, lambda: LIMITS, conn_limits)

    async def _handle(self, req, reply):
        self.paths.append(req.head.path)
        if field_value(req.head.fields, b"wait"):
            await self.release.wait()
        await reply.send(Response(200, [], b"%d" % len(req.body)))


@contextlib.asynccontextmanager
async def running(conn_limits):
    server = Server(conn_limits)
    server.port = await server.listener.start(HOST, 0)
    try:
        yield server
    finally:
        await server.listener.close()


async def open_raw(port, data=b""):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    return reader, writer


async def ask(port, body=b"x", fields=()):
    conn = TargetConn(await connect_tcp(HOST, port, 1.0))
    try:
        head = RequestHead(b"POST", b"/ordinary", [(b"Host", b"a"), *fields])
        return await conn.call(head, body)
    finally:
        conn.close()


# Guards against a refusal that promises nothing, or that is untrue.
def test_given_up_request_gets_503_with_retry_after_and_does_not_run():
    async def main():
        async with running(ConnLimits(HELD_BYTES, 100)) as server:
            crowd = []
            for number in range(8):
                data = STALLED % (number, BODY_BYTES) + b"x" * (BODY_BYTES - 1)
                crowd.append(await open_raw(server.port, data))
            await asyncio.sleep(0.3)
            assert (await ask(server.port)).status == 200
            refused = 0
            for reader, writer in crowd:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.1):
                        head = await reader.readuntil(b"\r\n\r\n")
                        assert head.startswith(b"HTTP/1.1 503 ")
                        assert b"Retry-After: 1\r\n" in head
                        refused += 1
                writer.close()
            assert refused >= 4
            assert server.listener.given_up == refused
            assert server.paths == [b"/ordinary"]

    asyncio.run(main())


# Guards against bytes that are accounted for when nothing is held any more.
@pytest.mark.parametrize("size", [0, 1, BODY_BYTES])
def test_nothing_is_held_after_an_answer(size):
    async def main():
        async with running(ConnLimits(HELD_BYTES, 100)) as server:
            conn = TargetConn(await connect_tcp(HOST, server.port, 1.0))
            head = RequestHead(b"POST", b"/a", [(b"Host", b"a")])
            for _ in range(3):
                answer = await conn.call(head, b"x" * size)
                assert answer.body == b"%d" % size
                assert conn.prepare_reuse()
                await asyncio.sleep(0.01)
                assert server.listener.holdings.held == 0
            conn.close()

    asyncio.run(main())


# Guards against a body over the limit that is read before it is refused.
def test_announced_body_over_the_limit_is_refused_at_the_head():
    async def main():
        async with running(ConnLimits(HELD_BYTES, 100)) as server:
            for length in (BODY_BYTES + 1, 10**12, 10**17, 10**19, 10**30):
                data = STALLED % (0, length)
                reader, writer = await open_raw(server.port, data)
                async with asyncio.timeout(5.0):
                    head = await reader.readuntil(b"\r\n\r\n")
                assert head.split(b" ")[1] in (b"413", b"400")
                assert length > 10**18 or head.split(b" ")[1] == b"413"
                writer.close()
            assert server.paths == []

    asyncio.run(main())


# Guards against a caller that cannot connect as others keep idle connections open.
def test_connection_that_was_idle_for_longest_makes_room():
    async def main():
        async with running(ConnLimits(HELD_BYTES, 4)) as server:
            idle = []
            for _ in range(4):
                idle.append(await open_raw(server.port))
                await asyncio.sleep(0.02)
            assert (await ask(server.port)).status == 200
            async with asyncio.timeout(5.0):
                assert await idle[0][0].read() == b""
            assert server.listener.given_up == 1
            for _, writer in idle:
                writer.close()

    asyncio.run(main())


# Guards against descriptors that run out while all connections wait for their answers,
# which none is given up for.
def test_connection_beyond_the_limit_is_closed_while_all_others_wait_for_answers():
    async def main():
        async with running(ConnLimits(HELD_BYTES, 4)) as server:
            waiting = [
                asyncio.create_task(ask(server.port, fields=[(b"Wait", b"1")]))
                for _ in range(4)
            ]
            async with asyncio.timeout(5.0):
                while server.listener.in_flight < 4:
                    await asyncio.sleep(0.01)
            for _ in range(3):
                reader, writer = await open_raw(server.port, STALLED % (1, 1))
                async with asyncio.timeout(5.0):
                    with contextlib.suppress(ConnectionError):
                        assert await reader.read() == b""
                writer.close()
            assert server.listener.connection_count == 4
            assert server.listener.given_up == 3
            server.release.set()
            answers = await asyncio.gather(*waiting)
            assert [answer.status for answer in answers] == [200] * 4
            assert (await ask(server.port)).status == 200

    asyncio.run(main())


# Guards against a request that is reset or refused for the way in which it is sent.
def test_body_in_chunks_of_one_byte_is_read():
    async def main():
        async with running(ConnLimits(HELD_BYTES, 4)) as server:
            head = b"POST /tiny HTTP/1.1\r\nHost: a\r\n"
            head += b"Transfer-Encoding: chunked\r\n\r\n"
            body = b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n"
            reader, writer = await open_raw(server.port, head + body)
            answers = [await ask(server.port) for _ in range(3)]
            assert [answer.status for answer in answers] == [200] * 3
            assert b" 200 " in await reader.readline()
            writer.close()

    asyncio.run(main())


def test_status_of_a_head_that_is_too_large():
    async def main():
        async with running(ConnLimits(HELD_BYTES, 4)) as server:
            answer = await ask(server.port, fields=[(b"X", b"x" * (40 << 10))])
            assert answer.status == 431
            assert field_value(answer.fields, b"connection") == b"close"

    asyncio.run(main())


# Guards against callers that wait for all requests of another connection.
def test_other_callers_are_answered_between_pipelined_requests():
    async def main():
        async with running(ConnLimits(HELD_BYTES, 100)) as server:
            crowd = [
                await open_raw(server.port, PIPELINED * PIPELINED_REQUESTS)
                for _ in range(CONNECTIONS)
            ]
            async with asyncio.timeout(5.0):
                while not server.paths:
                    await asyncio.sleep(0)
            before = len(server.paths)
            assert (await ask(server.port)).status == 200
            between = server.paths.index(b"/ordinary") - before
            assert between <= MAX_TURNS * CONNECTIONS
            for _, writer in crowd:
                writer.close()

    asyncio.run(main())


# Guards against requests of a pipeline that are answered out of order, or not at all.
def test_all_pipelined_requests_are_answered_in_order():
    async def main():
        async with running(ConnLimits(HELD_BYTES, 100)) as server:
            requests = [STALLED % (n, n) + b"x" * n for n in range(PIPELINED_REQUESTS)]
            reader, writer = await open_raw(server.port, b"".join(requests))
            async with asyncio.timeout(20.0):
                for number in range(PIPELINED_REQUESTS):
                    await reader.readuntil(b"\r\n\r\n")
                    body = await reader.readexactly(len(b"%d" % number))
                    assert body == b"%d" % number
            writer.close()

    asyncio.run(main())


# Guards against a refused client whose further bytes fill the memory unnoticed.
def test_nothing_is_kept_of_what_a_refused_client_sends():
    async def main():
        async with running(ConnLimits(HELD_BYTES, 100)) as server:
            data = STALLED % (0, 10**12)
            reader, writer = await open_raw(server.port, data)
            async with asyncio.timeout(5.0):
                await reader.readuntil(b"\r\n\r\n")
            for _ in range(64):
                writer.write(b"x" * (16 << 10))
                await asyncio.sleep(0)
                assert server.listener.holdings.held == 0
            writer.close()
            async with asyncio.timeout(5.0):
                while server.listener.connection_count:
                    await asyncio.sleep(0.01)

    asyncio.run(main())


# Guards against bodies that stay in memory until the next request of a connection.
def test_idle_connections_keep_nothing_of_their_last_request():
    async def main():
        async with running(ConnLimits(HELD_BYTES, 100)) as server:
            head = RequestHead(b"POST", b"/a", [(b"Host", b"a")])
            conns = []
            tracemalloc.start()
            for _ in range(CONNECTIONS):
                conn = TargetConn(await connect_tcp(HOST, server.port, 1.0))
                answer = await conn.call(head, bytes(BODY_BYTES))
                assert answer.body == b"%d" % BODY_BYTES
                assert conn.prepare_reuse()
                conns.append(conn)
            await asyncio.sleep(0.01)
            # That of the last one may be in use by this test.
            assert tracemalloc.get_traced_memory()[0] <= 2 * BODY_BYTES
            tracemalloc.stop()
            for conn in conns:
                conn.close()

    asyncio.run(main())
