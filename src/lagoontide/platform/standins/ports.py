"""Loopback addresses and reserved ports for deployments of stand-ins."""

import contextlib
import os
import socket

__all__ = ["HOST", "loopback_addresses", "reserve_ports"]

HOST = "127.0.0.1"
FIRST_NETWORK, NETWORKS = 10, 200
SUBNETS_PER_PROCESS, HOSTS_PER_SUBNET = 5, 200
SUBNETS_PER_NETWORK = 250


def loopback_addresses(number: int) -> list[str]:
    """Return loopback addresses that no process with a nearby id gets.

    Entries have fixed ports, so concurrent runs need addresses of their own. At
    most SUBNETS_PER_PROCESS * HOSTS_PER_SUBNET addresses.
    """
    network, slot = os.getpid() % NETWORKS, os.getpid() // NETWORKS
    first = slot * SUBNETS_PER_PROCESS % SUBNETS_PER_NETWORK
    return [
        f"127.{FIRST_NETWORK + network}.{first + index // HOSTS_PER_SUBNET}"
        f".{index % HOSTS_PER_SUBNET + 1}"
        for index in range(number)
    ]


def reserve_ports(
    stack: contextlib.ExitStack, number: int, host: str = HOST
) -> list[int]:
    """Return ports that no other program is given while the stack is open.

    Each port stays bound to a socket that never listens. A listener that sets
    ``SO_REUSEADDR``, as asyncio and ZeroMQ do, can still bind it; for any other
    socket, and for outgoing connections, the port is in use.
    """
    socks = [stack.enter_context(socket.socket()) for _ in range(number)]
    for sock in socks:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
    return [int(sock.getsockname()[1]) for sock in socks]
