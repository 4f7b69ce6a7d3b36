"""Ports that stay those of a deployment until its listeners take them."""

import contextlib
import os
import socket

__all__ = ["HOST", "keep_ports", "own_host"]

HOST = "127.0.0.1"
FIRST_NET, NETS, SUBNETS = 10, 200, 250


def own_host() -> str:
    """Return a loopback address that no process started about now has, too.

    For entries, whose ports are the same everywhere.
    """
    pid = os.getpid()
    return f"127.{FIRST_NET + pid % NETS}.{pid // NETS % SUBNETS}.1"


def keep_ports(stack: contextlib.ExitStack, number: int) -> list[int]:
    """Return ports which nobody else is given while the stack is open.

    Each port stays bound by a socket that never listens. A listener that sets
    ``SO_REUSEADDR``, as asyncio's and ZeroMQ's do, may listen at it beside that
    socket; for all others, and for outgoing connections, the port is in use.
    """
    socks = [stack.enter_context(socket.socket()) for _ in range(number)]
    for sock in socks:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
    return [int(sock.getsockname()[1]) for sock in socks]
