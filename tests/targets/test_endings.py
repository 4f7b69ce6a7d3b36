"""Detection of targets whose process has ended."""

import asyncio
import contextlib
import socket

import pytest

from lagoontide.targets.directory import Directory
from lagoontide.targets.endings import Endings
from lagoontide.targets.pools import Pools
from lagoontide.targets.records import Target, TargetState


@contextlib.contextmanager
def silent_port():
    """Yield a port whose queue of new connections is full, so that none is answered."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(2):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


async def ask(port, state):
    """Return whether the target at a port is found ended, asked five times at once."""
    loop = asyncio.get_running_loop()
    target = Target("t1", "plain", "127.0.0.1", port, "z1", state)
    directory = Directory(loop.time)
    directory.put(target)
    pools = Pools(lambda name: 10, lambda: 1)
    endings = Endings(directory, pools, loop.time)
    results = await asyncio.gather(*(endings.has_ended(target) for _ in range(5)))
    await asyncio.sleep(0.05)
    pools.close()
    assert len(set(results)) == 1
    assert endings.count == int(results[0])
    return results[0]


async def check(state=TargetState.READY, is_listening=True):
    """Return the result of a check, and the connections that the target got."""
    accepted = []
    server = await asyncio.start_server(
        lambda reader, writer: accepted.append(writer), "127.0.0.1", 0
    )
    port = server.sockets[0].getsockname()[1]
    if not is_listening:
        server.close()
        await server.wait_closed()
    try:
        return await ask(port, state), len(accepted)
    finally:
        server.close()


def test_a_target_that_refuses_connections_has_ended():
    assert asyncio.run(check(is_listening=False)) == (True, 0)


def test_a_target_that_accepts_connections_is_asked_once_for_all_that_broke():
    assert asyncio.run(check()) == (False, 1)


def test_a_silent_network_is_no_end():
    with silent_port() as port:
        assert asyncio.run(ask(port, TargetState.READY)) is False


@pytest.mark.parametrize("is_listening", [True, False])
def test_a_target_that_was_leaving_is_not_asked(is_listening):
    result = asyncio.run(check(TargetState.LEAVING, is_listening))
    assert result == (False, 0)


# Guards against missing a crash that comes soon after a connection was reset.
def test_a_target_that_ends_after_a_check_is_checked_again():
    async def main():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        port = server.sockets[0].getsockname()[1]
        target = Target("t1", "plain", "127.0.0.1", port, "z1", TargetState.READY)
        directory = Directory(loop.time)
        directory.put(target)
        pools = Pools(lambda name: 10, lambda: 1)
        endings = Endings(directory, pools, loop.time)
        assert not await endings.has_ended(target)
        server.close()
        await asyncio.sleep(0.05)
        assert await endings.has_ended(target)
        pools.close()

    asyncio.run(main())
