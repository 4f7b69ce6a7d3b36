"""How connections end: if a handler fails, and beside requests that cross the end."""

import asyncio
import socket
import time

import pytest
from loguru import logger

from lagoontide.http1.messages import Response, ResponseHead
from lagoontide.http1.server import HttpLimits, Listener
from tests.support.waiting import wait_for

REQUEST = b"GET /%b HTTP/1.%d\r\nHost: a.example\r\nX-Request: r1\r\n\r\n"


@pytest.fixture
def records():
    found = []
    number = logger.add(lambda message: found.append(message.record), format="")
    yield found
    logger.remove(number)


async def start_listener(handle):
    listener = Listener(handle, HttpLimits)
    return listener, await listener.start("127.0.0.1", 0)


async def exchange(port, request):
    """Send a request; return what arrives, and whether the end is a reset."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    data = b""
    try:
        while chunk := await asyncio.wait_for(reader.read(1 << 16), 3.0):
            data += chunk
    except ConnectionResetError:
        return data, True
    finally:
        writer.close()
    return data, False


# Guards against a response that a failed handler leaves unfinished and that the caller
# takes for complete: in HTTP/1.0, a FIN is the end of a body without a length.
@pytest.mark.parametrize("minor", [0, 1])
@pytest.mark.parametrize("length", [None, 10])
def test_response_of_a_failed_handler_ends_in_a_reset(minor, length):
    async def handle(req, reply):
        await reply.start(ResponseHead(200, [], length=length))
        await reply.send_data(b"part")
        # Lets the part arrive first, as a reset discards what is unsent.
        await asyncio.sleep(0.05)
        raise RuntimeError("unforeseen")

    async def main():
        listener, port = await start_listener(handle)
        data, was_reset = await exchange(port, REQUEST % (b"a", minor))
        await listener.close()
        assert b"part" in data
        assert was_reset

    asyncio.run(main())


# Guards against a handler's exception that shows only as a task that nobody awaited, or
# that is taken for a client that has left.
@pytest.mark.parametrize(
    "exc", [RuntimeError("unforeseen"), OSError("unforeseen"), asyncio.CancelledError()]
)
def test_exception_of_a_handler_is_logged(records, exc):
    async def handle(req, reply):
        raise exc

    async def main():
        problems = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: problems.append(context))
        listener, port = await start_listener(handle)
        data, was_reset = await exchange(port, REQUEST % (b"some-path", 1))
        await listener.close()
        assert (data, was_reset) == (b"", True)
        assert not problems

    asyncio.run(main())
    found = [item for item in records if item["level"].name == "ERROR"]
    assert len(found) == 1
    assert repr(exc) in found[0]["message"]
    assert found[0]["extra"]["path"] == "/some-path"
    assert type(exc).__name__ in found[0]["extra"]["traceback"]


# Guards against a log line for each client that leaves.
def test_client_that_leaves_is_no_error(records):
    async def handle(req, reply):
        await asyncio.sleep(3600)

    async def main():
        listener, port = await start_listener(handle)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST % (b"a", 1))
        await wait_for(lambda: listener.in_flight)
        writer.close()
        await wait_for(lambda: not listener.connection_count)
        await listener.close()

    asyncio.run(main())
    assert not records


# Guards against a request that a caller sent ahead of the FIN of its kept connection,
# and that is not read as the event loop had not seen it yet.
@pytest.mark.parametrize("ends_by", ["drain", "idle timeout"])
def test_request_that_has_arrived_unseen_is_answered(ends_by):
    async def handle(req, reply):
        await reply.send(Response(200))

    async def main():
        loop = asyncio.get_running_loop()
        is_timeout = ends_by == "idle timeout"
        limits = HttpLimits(idle_timeout=1.0 if is_timeout else 30.0)
        listener = Listener(handle, lambda: limits)
        port = await listener.start("127.0.0.1", 0)
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(REQUEST % (b"a", 1))
            client.setblocking(False)
            assert b" 200 " in await loop.sock_recv(client, 1000)

            def send_and_end():
                client.send(REQUEST % (b"b", 1))
                if not is_timeout:
                    listener.is_draining = True
                    listener.close_idle()
                    # The drain waits for it.
                    assert listener.busy_connection_count == 1

            # In the pass in which the idle timeout expires, after the look at sockets.
            loop.call_later(0.05, time.sleep, 1.2)
            loop.call_later(0.06, send_and_end)
            data = await asyncio.wait_for(loop.sock_recv(client, 1000), 3.0)
        await listener.close()
        assert data.startswith(b"HTTP/1.1 200 ")

    asyncio.run(main())


# Guards against an idle connection that stays, as its caller has closed it meanwhile.
def test_connection_that_its_caller_has_closed_unseen_ends():
    async def main():
        listener, port = await start_listener(None)
        with socket.create_connection(("127.0.0.1", port)) as client:
            await wait_for(lambda: listener.connection_count)
            client.shutdown(socket.SHUT_WR)
            listener.close_idle()
            await wait_for(lambda: not listener.connection_count)
        await listener.close()

    asyncio.run(main())


# Guards against a stop that breaks off answers which callers read slowly, and against
# answers that count as held after they were read.
def test_listener_is_not_quiet_while_an_answer_is_unsent():
    async def handle(req, reply):
        await reply.send(Response(200, [], bytes(32 << 10)))

    async def main():
        listener, port = await start_listener(handle)
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", port))
            client.setblocking(False)
            async with asyncio.timeout(10.0):
                # Until the kernel takes no more. The writer waits only beyond 64 KiB.
                while not listener.holdings.unsent():
                    await loop.sock_sendall(client, REQUEST % (b"a", 1))
                    await asyncio.sleep(0.01)
                await wait_for(lambda: not listener.busy_connection_count)
                assert listener.holdings.unsent()
                assert not listener.is_quiet
                while not listener.is_quiet:
                    await loop.sock_recv(client, 1 << 16)
            assert listener.holdings.held == 0
        await listener.close()

    asyncio.run(main())
