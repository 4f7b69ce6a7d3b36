"""Requests that cross the idle timeout of their connection, or a change of limits."""

import asyncio
import socket
import time

import pytest

from lagoontide.http1.messages import Response
from lagoontide.http1.server import HttpLimits, Listener
from tests.support.freezing import freeze

REQUEST = b"GET /%b HTTP/1.1\r\nHost: a.example\r\n\r\n"


async def start_listener(handle):
    limits = HttpLimits(head_timeout=0.2, idle_timeout=0.2)
    listener = Listener(handle, lambda: limits)
    return listener, await listener.start("127.0.0.1", 0)


def block_loop():
    """Block the event loop until received data and the timeout are both due."""
    time.sleep(0.3)


# Guards against a request that was received, but is lost as the idle timeout of its
# connection expired in the same pass of the event loop.
@pytest.mark.parametrize("sent", [b"", REQUEST % b"a"])
def test_request_that_crosses_the_idle_timeout_is_answered(sent):
    async def handle(req, reply):
        await reply.send(Response(200))

    async def main():
        listener, port = await start_listener(handle)
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(sent)
            if sent:
                client.setblocking(False)
                assert b"200" in await loop.sock_recv(client, 1000)
                client.setblocking(True)
            await asyncio.sleep(0.05)
            client.sendall(REQUEST % b"b")
            block_loop()
            client.setblocking(False)
            answer = await loop.sock_recv(client, 1000)
        await listener.close()
        assert answer.startswith(b"HTTP/1.1 200")

    asyncio.run(main())


# Guards against a body that is rejected although its next part has arrived in time.
def test_body_that_crosses_the_idle_timeout_is_read():
    async def handle(req, reply):
        await reply.send(Response(200, [], req.body))

    async def main():
        listener, port = await start_listener(handle)
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", port)) as client:
            head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
            client.sendall(head + b"ab")
            await asyncio.sleep(0.05)
            client.sendall(b"cd")
            block_loop()
            client.setblocking(False)
            answer = await loop.sock_recv(client, 1000)
        await listener.close()
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b"abcd")

    asyncio.run(main())


async def answer_ok(req, reply):
    await reply.send(Response(200))


class Kept:
    """A connection that is kept after a request, at a listener with given limits."""

    def __init__(self, **limits):
        self.limits = HttpLimits(**limits)

    async def __aenter__(self):
        self.listener = Listener(answer_ok, lambda: self.limits)
        port = await self.listener.start("127.0.0.1", 0)
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        assert await self.ask(REQUEST % b"a") == 200
        return self

    async def __aexit__(self, *exc_info):
        self.writer.close()
        await self.listener.close()

    async def ask(self, request):
        """Return the status of the answer to a request; None if there is none."""
        self.writer.write(request)
        try:
            head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 3.0)
        except (asyncio.IncompleteReadError, ConnectionResetError):
            return None
        return int(head.split()[1])


# Guards against callers whose kept connection closes ahead of the idle timeout in
# force, so that their next request gets no answer.
def test_idle_timeout_that_is_raised_applies_to_a_connection_that_waits():
    async def main():
        async with Kept(idle_timeout=0.2) as kept:
            kept.limits = HttpLimits(idle_timeout=10.0)
            await asyncio.sleep(0.5)
            assert await kept.ask(REQUEST % b"b") == 200

    asyncio.run(main())


# Guards against a wait that has no end once its timeout was raised.
def test_idle_timeout_that_is_raised_ends_the_wait():
    async def main():
        async with Kept(idle_timeout=0.2) as kept:
            kept.limits = HttpLimits(idle_timeout=0.5)
            began = asyncio.get_running_loop().time()
            assert await asyncio.wait_for(kept.reader.read(), 5.0) == b""
            assert asyncio.get_running_loop().time() - began > 0.4

    asyncio.run(main())


# Guards against a connection that closes earlier than it was allowed to wait when it
# began to: its caller may not know the new timeout yet.
def test_idle_timeout_that_is_lowered_applies_from_the_next_wait():
    async def main():
        async with Kept(idle_timeout=20.0) as kept:
            kept.limits = HttpLimits(idle_timeout=0.2)
            await asyncio.sleep(0.5)
            assert await kept.ask(REQUEST % b"b") == 200
            assert await asyncio.wait_for(kept.reader.read(), 5.0) == b""

    asyncio.run(main())


# Guards against requests that are rejected although the limits in force allow them, as
# their connection waited when the configuration came.
@pytest.mark.parametrize(
    ("low", "request_bytes"),
    [
        pytest.param(
            {"max_head_bytes": 200},
            b"GET /b HTTP/1.1\r\nHost: a\r\nX: %b\r\n\r\n" % (b"x" * 300),
            id="head",
        ),
        pytest.param(
            {"max_body_bytes": 10},
            b"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n" + b"x" * 20,
            id="body",
        ),
    ],
)
def test_limits_that_are_raised_apply_to_a_connection_that_waits(low, request_bytes):
    async def main():
        async with Kept(**low) as kept:
            # Lets the connection wait for its next request.
            await asyncio.sleep(0.05)
            kept.limits = HttpLimits()
            assert await kept.ask(request_bytes) == 200

    asyncio.run(main())


# The same for a head that arrives in parts.
def test_limit_of_heads_that_is_raised_applies_to_a_head_in_parts():
    async def main():
        async with Kept(max_head_bytes=200, head_timeout=0.1) as kept:
            await asyncio.sleep(0.05)
            kept.limits = HttpLimits()
            kept.writer.write(b"GET /b HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 300)
            await asyncio.sleep(0.3)
            assert await kept.ask(b"x\r\n\r\n") == 200

    asyncio.run(main())


HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"


# Guards against callers that are told 408, or are closed without an answer, for bytes
# that arrived while this entry was frozen (LOST).
@pytest.mark.parametrize("frozen", [0.3, 1.0])
@pytest.mark.parametrize(
    ("before", "meanwhile"),
    [
        (b"", HEAD + b"abcd"),
        (HEAD[:20], HEAD[20:] + b"abcd"),
        (HEAD, b"abcd"),
        (HEAD + b"ab", b"cd"),
    ],
)
def test_request_that_arrives_while_its_entry_is_frozen_is_answered(
    before, meanwhile, frozen
):
    async def handle(req, reply):
        await reply.send(Response(200, [], req.body))

    async def main():
        listener, port = await start_listener(handle)
        loop = asyncio.get_running_loop()
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(before)
            await asyncio.sleep(0.05)
            client.sendall(meanwhile)
            freeze(frozen)
            client.setblocking(False)
            answer = await loop.sock_recv(client, 1000)
        await listener.close()
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b"abcd")

    asyncio.run(main())


# Guards against callers that are waited for without end.
def test_caller_that_sends_nothing_is_closed_in_time_after_a_freeze():
    async def handle(req, reply):
        await reply.send(Response(200))

    async def main():
        listener, port = await start_listener(handle)
        loop = asyncio.get_running_loop()
        since = loop.time()
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.setblocking(False)
            await asyncio.sleep(0.05)
            freeze(0.4)
            assert await loop.sock_recv(client, 1000) == b""
        await listener.close()
        assert loop.time() - since < 0.05 + 0.4 + 2 * 0.2

    asyncio.run(main())
