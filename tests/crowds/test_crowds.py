"""Crowds of clients that keep to no limit, against an entry with little memory.

Nothing here depends on the speed of the machine: the process lives, its memory and
descriptors stay within its settings, and an ordinary request is answered.
"""

import asyncio
import contextlib
import socket

import pytest

from tests.crowds.site import (
    ENTRY_HOST,
    MAX_BODY_BYTES,
    MAX_FDS,
    MAX_HEAD_BYTES,
    MEMORY_MB,
    run_site,
)

CLIENTS = 100
# How long a crowd sends; what it has not sent by then is held up by the entry.
SEND_S = 10.0
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


class Client:
    """One client of a crowd, with a small receive buffer."""

    def __init__(self, port):
        self._address = ENTRY_HOST, port
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._sock.setblocking(False)

    async def connect(self):
        await asyncio.get_running_loop().sock_connect(self._sock, self._address)

    async def send(self, data):
        await asyncio.get_running_loop().sock_sendall(self._sock, data)

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


async def run_crowd(site, behave, clients):
    """Let clients behave so, and stay open; return them."""

    async def run(client, name):
        with contextlib.suppress(*CLOSED):
            await client.connect()
            await behave(client, name)

    crowd = [Client(site.port) for _ in range(clients)]
    tasks = [
        asyncio.create_task(run(client, f"crowd-{number}"))
        for number, client in enumerate(crowd)
    ]
    await asyncio.wait(tasks, timeout=SEND_S)
    site.count_fds()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return crowd


async def check_crowd(folder, behave, clients):
    async with run_site(folder) as site:
        crowd = await run_crowd(site, behave, clients)
        try:
            await site.wait_until_served("beside")
        finally:
            for client in crowd:
                client.close()
        await site.wait_until_served("after")
        assert site.process.poll() is None
        assert site.peak_mb() <= MEMORY_MB
        assert site.most_fds <= MAX_FDS


# Guards against a process that runs out of memory, descriptors or processor time for
# what clients send.
@pytest.mark.parametrize(
    ("behave", "clients"),
    [
        (whole_body, CLIENTS),
        (body_by_pieces, CLIENTS),
        (large_chunks, CLIENTS),
        (unfinished_chunk, CLIENTS),
        (tiny_chunks, CLIENTS),
        (chunk_extensions, CLIENTS),
        (announced_over_limit, CLIENTS),
        (sent_over_limit, CLIENTS),
        (one_chunk_over_limit, CLIENTS),
        (unread_answers, CLIENTS),
        (pipelined, CLIENTS),
        (endless_head, CLIENTS),
        (waits_for_continue, CLIENTS),
        (silent, 4 * CLIENTS),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
def test_crowd_leaves_the_entry_within_its_machine(tmp_path, behave, clients):
    asyncio.run(check_crowd(tmp_path, behave, clients))
