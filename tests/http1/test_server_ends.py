"""How a connection ends if its handler fails."""

import asyncio

import pytest
from loguru import logger

from lagoontide.http1.messages import ResponseHead
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
