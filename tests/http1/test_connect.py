"""Time limits of connection attempts."""

import asyncio
import contextlib
import socket
import time

import pytest

from lagoontide.http1.tcp import connect_tcp

HOST = "127.0.0.1"
TIMEOUT_S = 0.3
ROUND_S = 0.2


@contextlib.contextmanager
def listen(backlog: int):
    """Listen at a port whose connections the kernel accepts, up to a backlog."""
    with socket.socket() as server:
        server.bind((HOST, 0))
        server.listen(backlog)
        yield server.getsockname()[1]


def delay_rounds(count: int, seconds: float) -> None:
    """Make the next rounds of the running event loop late."""
    if count:
        time.sleep(seconds)
        asyncio.get_running_loop().call_soon(delay_rounds, count - 1, seconds)


# Guards against sound targets that are given up because this entry itself was late
# (LOST).
@pytest.mark.parametrize(
    ("rounds", "seconds"), [(1, 2 * TIMEOUT_S), (6, ROUND_S), (30, 0.05)]
)
def test_late_rounds_of_the_event_loop_do_not_end_an_attempt(rounds, seconds):
    async def connect(port):
        asyncio.get_running_loop().call_soon(delay_rounds, rounds, seconds)
        tcp = await connect_tcp(HOST, port, TIMEOUT_S)
        tcp.close()

    with listen(backlog=8) as port:
        asyncio.run(connect(port))


# Guards against attempts at a target that does not accept that take longer than they
# may.
def test_attempt_at_a_full_backlog_ends_in_time():
    async def connect(port):
        loop = asyncio.get_running_loop()
        since = loop.time()
        with pytest.raises(TimeoutError):
            await connect_tcp(HOST, port, TIMEOUT_S)
        return loop.time() - since

    with listen(backlog=0) as port, contextlib.ExitStack() as stack:
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex((HOST, port))
        seconds = asyncio.run(connect(port))
    assert TIMEOUT_S <= seconds < TIMEOUT_S + 0.1
