"""Reserved ports and loopback addresses do not collide with other programs'."""

import asyncio
import contextlib
import socket

import pytest
import zmq

from lagoontide.http1.server import Listener
from lagoontide.platform.standins.ports import HOST, loopback_addresses, reserve_ports


def test_reserved_port_cannot_be_bound_by_others():
    with contextlib.ExitStack() as stack:
        for port in reserve_ports(stack, 9):
            with socket.socket() as other, pytest.raises(OSError, match="in use"):
                other.bind((HOST, port))


def test_listener_can_bind_reserved_port():
    async def main(stack):
        callers, peers = reserve_ports(stack, 2)
        listener = Listener(None, None)
        assert await listener.start(HOST, callers) == callers
        await listener.close()
        ctx = stack.enter_context(zmq.Context())
        server = stack.enter_context(ctx.socket(zmq.ROUTER))
        server.bind(f"tcp://{HOST}:{peers}")

    with contextlib.ExitStack() as stack:
        asyncio.run(main(stack))


def test_concurrent_processes_get_distinct_loopback_addresses(monkeypatch):
    hosts = set()
    for pid in range(30_000, 40_000):
        monkeypatch.setattr("os.getpid", lambda pid=pid: pid)
        hosts.update((loopback_addresses(1)[0], loopback_addresses(1000)[-1]))
    assert len(hosts) == 20_000
    for host in list(hosts)[::2000]:
        with socket.socket() as sock:
            sock.bind((host, 0))
