"""The client connection, against a server that sends given bytes."""

import asyncio
import contextlib
import socket

import pytest

from lagoontide.http1.client import SKIP_TIMEOUT_S, InvalidResponse, TargetConn
from lagoontide.http1.messages import RequestHead, field_value
from lagoontide.http1.tcp import connect_tcp
from tests.support.freezing import freeze

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


# Guards against requests whose answer is given up behind that to another request, as
# this entry did not run while the rest of that one arrived (LOST).
def test_response_to_another_request_is_skipped_after_a_freeze():
    head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: 2\r\n\r\n"

    async def main(server):
        tcp = await connect_tcp(*server.getsockname(), 1.0)
        peer, _ = server.accept()

        def send_rest_and_freeze():
            peer.sendall(b"x" + head % b"own" + b"ok")
            freeze(SKIP_TIMEOUT_S + 0.3)

        with peer:
            conn = TargetConn(tcp)
            await conn.send(HEAD, b"")
            peer.sendall(head % b"other" + b"x")
            asyncio.get_running_loop().call_later(0.05, send_rest_and_freeze)
            answer = await conn.read_head(
                lambda head: field_value(head.fields, b"x-id") == b"own"
            )
            conn.close()
        return answer.status

    with socket.create_server(("127.0.0.1", 0)) as server:
        assert asyncio.run(main(server)) == 200
