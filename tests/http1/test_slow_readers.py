"""Peers that read nothing for a while, and peers that are gone without a word."""

import asyncio
import socket

import pytest

from lagoontide.http1 import peer_watch
from lagoontide.http1.messages import Response
from lagoontide.http1.peer_watch import (
    UNANSWERED_CHECKS,
    UNREAD_CHECKS,
    PeerState,
    Progress,
    TcpInfo,
    read_tcp_info,
)
from lagoontide.http1.server import HttpLimits, Listener
from lagoontide.http1.tcp import connect_tcp
from tests.support.waiting import wait_for

REQUEST = b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
BODY = bytes(6 << 20)
PAUSE_S = 4.0

CLOSED_WINDOW = TcpInfo(probes=0, unacked=0, bytes_acked=5, unsent=9)
IN_FLIGHT = TcpInfo(probes=0, unacked=2, bytes_acked=5, unsent=0)
PROBED_IN_VAIN = TcpInfo(probes=3, unacked=0, bytes_acked=5, unsent=9)
DONE = TcpInfo(probes=0, unacked=0, bytes_acked=5, unsent=0)


def states(info, checks, progress=None):
    progress = progress or Progress()
    return [progress.check(info, 0) for _ in range(checks)]


# Guards against connections to callers without power that are never given up.
@pytest.mark.parametrize("info", [IN_FLIGHT, PROBED_IN_VAIN])
def test_peer_that_acknowledges_nothing_is_unreachable(info):
    found = states(info, UNANSWERED_CHECKS + 1)
    assert found[-1] is PeerState.UNREACHABLE
    assert set(found[:-1]) == {PeerState.TAKES}


def test_peer_that_takes_something_between_two_checks_is_reachable():
    progress = Progress()
    for acked in range(10 * UNREAD_CHECKS):
        info = TcpInfo(probes=0, unacked=2, bytes_acked=acked // 3, unsent=9)
        assert progress.check(info, 0) is PeerState.TAKES


def test_peer_that_reads_nothing_is_sound_for_long_but_not_for_ever():
    found = states(CLOSED_WINDOW, UNREAD_CHECKS + 1)
    assert found[-1] is PeerState.STOPPED
    assert set(found[:-1]) == {PeerState.TAKES}
    assert Progress().check(DONE, 0) is PeerState.HAS_ALL
    assert Progress().check(DONE, 1) is PeerState.TAKES


async def ask_slowly(pause, has_left=None):
    """Read an answer after a pause; return how much came, and if it was not reset."""

    async def handle(req, reply):
        await reply.send(Response(200, [], BODY))

    listener = Listener(handle, HttpLimits)
    port = await listener.start("127.0.0.1", 0)
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, REQUEST)
        await asyncio.sleep(pause)
        if has_left is not None:
            await wait_for(lambda: not listener.connection_count)
            has_left.append(True)
        data = bytearray()
        try:
            while len(data) < len(BODY):
                async with asyncio.timeout(5.0):
                    received = await loop.sock_recv(sock, 1 << 16)
                assert received
                data += received
        except OSError:
            return len(data), False
        finally:
            await listener.close()
    return len(data), True


# Guards against answers that are cut off as their caller reads nothing for some seconds
# (LOST).
def test_answer_is_whole_for_a_caller_that_reads_nothing_for_some_seconds():
    size, is_whole = asyncio.run(ask_slowly(PAUSE_S))
    assert is_whole
    assert size >= len(BODY)


# Guards against connections of callers that never read, which are kept for ever.
def test_caller_that_never_reads_is_given_up(monkeypatch):
    monkeypatch.setattr(peer_watch, "UNREAD_CHECKS", 3)
    has_left = []
    _, is_whole = asyncio.run(ask_slowly(0.5, has_left))
    assert has_left
    assert not is_whole


# The same for a body that a target does not read for a while.
def test_kernel_tells_what_a_peer_that_reads_nothing_has_taken():
    async def main(server):
        tcp = await connect_tcp(*server.getsockname(), 1.0)
        peer, _ = server.accept()
        write = asyncio.ensure_future(tcp.write(BODY))
        sock = tcp.transport.get_extra_info("socket")
        await asyncio.sleep(1.0)
        info = read_tcp_info(sock)
        assert info.unacked == 0
        assert info.probes <= 1
        assert info.unsent > 0
        assert 0 < info.bytes_acked < len(BODY)
        loop = asyncio.get_running_loop()
        peer.setblocking(False)
        left = len(BODY)
        while left:
            left -= len(await loop.sock_recv(peer, 1 << 20))
        await write
        await wait_for(lambda: read_tcp_info(sock).bytes_acked >= len(BODY))
        peer.close()
        tcp.close()

    with socket.create_server(("127.0.0.1", 0)) as server:
        asyncio.run(main(server))
