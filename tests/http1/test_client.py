"""The client connection, against a server that sends given bytes."""

import asyncio
import contextlib

import pytest

from lagoontide.http1.client import InvalidResponse, TargetConn
from lagoontide.http1.messages import RequestHead
from lagoontide.http1.tcp import connect_tcp

HEAD = RequestHead(b"GET", b"/", [(b"Host", b"a")])


def call(answer, head=HEAD):
    """Send one request; return the response and whether the connection is reusable."""

    served = asyncio.Event()

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()
        served.set()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        conn = TargetConn(await connect_tcp("127.0.0.1", port, 1.0))
        try:
            response = await conn.call(head)
            return response, conn.prepare_reuse()
        finally:
            conn.close()
            server.close()
            await served.wait()

    return asyncio.run(main())


def test_complete_response_leaves_a_reusable_connection():
    response, is_reusable = call(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert (response.status, response.body, is_reusable) == (200, b"ok", True)


@pytest.mark.parametrize("value", [b"close", b"Close", b"x, close"])
def test_connection_close_prevents_reuse(value):
    head = b"HTTP/1.1 200 OK\r\nConnection: " + value
    response, is_reusable = call(head + b"\r\nContent-Length: 2\r\n\r\nok")
    assert (response.body, is_reusable) == (b"ok", False)


def test_bytes_after_a_response_prevent_reuse():
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" * 2
    assert call(extra)[1] is False


# Guards against a response to CONNECT that is read for ever, without a pause in which
# anything else could run.
def test_response_that_opens_a_tunnel_is_invalid():
    head = RequestHead(b"CONNECT", b"/a", HEAD.fields)
    with pytest.raises(InvalidResponse):
        call(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", head)
