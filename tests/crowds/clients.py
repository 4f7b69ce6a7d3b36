"""What clients that keep to no limit send."""

import asyncio
import contextlib
import socket

from tests.crowds.site import MAX_BODY_BYTES, MAX_HEAD_BYTES

SHORT_BY = 10
PIECE_BYTES = 64 << 10
OVER_LIMIT_BYTES = 26 << 20
TINY_CHUNKS = 200_000
CLOSED = (OSError, EOFError)


def head(name, *fields, path="/safe/a", method="POST"):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: a.example",
        f"X-Lagoontide-Request-Id: {name}",
        "X-Lagoontide-Deadline-Ms: 2000",
        "Authorization: Bearer key-one",
        *fields,
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LARGE_CHUNK = chunk(b"x" * OVER_LIMIT_BYTES)


class Client:
    """One client of a crowd, with a small receive buffer."""

    def __init__(self, host, port):
        self._address = host, port
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._sock.setblocking(False)

    async def connect(self):
        await asyncio.get_running_loop().sock_connect(self._sock, self._address)

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

    def send_some(self, data):
        with contextlib.suppress(BlockingIOError):
            self._sock.send(data)

    async def read(self):
        return await asyncio.get_running_loop().sock_recv(self._sock, 65536)

    def close(self):
        self._sock.close()


async def whole_body(client, name):
    """Send a body of the largest size at once, but for its end."""
    await client.send(head(name, f"Content-Length: {MAX_BODY_BYTES}"))
    await client.send(b"x" * (MAX_BODY_BYTES - SHORT_BY))


async def body_by_pieces(client, name):
    """Send a body of the largest size piece by piece, but for its end."""
    await client.send(head(name, f"Content-Length: {MAX_BODY_BYTES}"))
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES - 1):
        await client.send(b"x" * PIECE_BYTES)
        await asyncio.sleep(0.01)
    await client.send(b"x" * (PIECE_BYTES - SHORT_BY))


async def large_chunks(client, name):
    """Send a body of the largest size in chunks, without the last one."""
    await client.send(head(name, "Transfer-Encoding: chunked"))
    for _ in range(MAX_BODY_BYTES // PIECE_BYTES - 1):
        await client.send(chunk(b"x" * PIECE_BYTES))


async def unfinished_chunk(client, name):
    """Send one chunk of the largest size, but for its end."""
    await client.send(head(name, "Transfer-Encoding: chunked"))
    await client.send(chunk(b"x" * MAX_BODY_BYTES)[: -SHORT_BY - 2])


async def tiny_chunks(client, name):
    """Send chunks of one byte, without the last one."""
    await client.send(head(name, "Transfer-Encoding: chunked"))
    part = chunk(b"x") * 1000
    for _ in range(TINY_CHUNKS // 1000):
        await client.send(part)


async def chunk_extensions(client, name):
    """Send chunks of one byte with long extensions, without the last one."""
    await client.send(head(name, "Transfer-Encoding: chunked"))
    part = (b"1;" + b"e" * 1000 + b"\r\nx\r\n") * 10
    for _ in range(MAX_BODY_BYTES // len(part)):
        await client.send(part)


async def announced_over_limit(client, name):
    """Announce a body far over the limit, and send some of it."""
    await client.send(head(name, f"Content-Length: {10**12}"))
    for _ in range(OVER_LIMIT_BYTES // PIECE_BYTES):
        await client.send(b"x" * PIECE_BYTES)


async def sent_over_limit(client, name):
    """Send a body far over the limit in chunks."""
    await client.send(head(name, "Transfer-Encoding: chunked"))
    for _ in range(OVER_LIMIT_BYTES // PIECE_BYTES):
        await client.send(chunk(b"x" * PIECE_BYTES))


async def one_chunk_over_limit(client, name):
    """Announce one chunk far over the limit, and send some of it."""
    await client.send(head(name, "Transfer-Encoding: chunked") + b"ffffffffff\r\n")
    for _ in range(OVER_LIMIT_BYTES // PIECE_BYTES):
        await client.send(b"x" * PIECE_BYTES)


async def unread_answers(client, name):
    """Send whole requests whose answers are as long, and read none of them."""
    for number in range(4):
        await client.send(head(f"{name}-{number}", f"Content-Length: {MAX_BODY_BYTES}"))
        await client.send(b"x" * MAX_BODY_BYTES)


async def pipelined(client, name):
    """Send small requests one after the other, and read no answer."""
    for number in range(500):
        await client.send(head(f"{name}-{number}", "Content-Length: 0"))


async def endless_head(client, name):
    """Send a head of the largest size, but for its end."""
    text = head(name, "X: " + "x" * (MAX_HEAD_BYTES - 400))
    await client.send(text[:-SHORT_BY])


async def silent(client, name):
    """Send nothing."""


async def waits_for_continue(client, name):
    """Ask for leave to send a body, then send it but for its end."""
    await client.send(
        head(name, f"Content-Length: {MAX_BODY_BYTES}", "Expect: 100-continue")
    )
    await client.read()
    await client.send(b"x" * (MAX_BODY_BYTES - SHORT_BY))


async def pipelined_to_no_route(client, name):
    """Send small requests that no route serves, one after the other."""
    text = b"".join(
        head(f"{name}-{number}", "Content-Length: 0", path="/none/a")
        for number in range(500)
    )
    await client.send(text)


async def leaving(client, name):
    """Send as much of a body as the connection takes at once, and leave."""
    client.send_some(head(name, "Transfer-Encoding: chunked"))
    client.send_some(LARGE_CHUNK)


async def idle_after_answer(client, name):
    """Send a whole request of the largest size, and keep the connection."""
    await client.send(head(name, f"Content-Length: {MAX_BODY_BYTES}"))
    await client.send(b"x" * MAX_BODY_BYTES)
