"""Connections to other entries, opened when they are needed."""

from collections.abc import Callable

from lagoontide.platform.instances import Instance, Role
from lagoontide.wire.conn import Conn

__all__ = ["Peers"]


class Peers:
    """Entries of the platform's list and the connections to them.

    Parameters
    ----------
    connect : callable
        Returns a connection to an address.
    """

    def __init__(self, connect: Callable[[str], Conn]) -> None:
        self._connect = connect
        self._conns: dict[str, Conn] = {}
        self.entries: tuple[Instance, ...] = ()

    def apply(self, instances: tuple[Instance, ...]) -> None:
        """Take a new list; connections to instances that are gone are closed."""
        self.entries = tuple(item for item in instances if item.role is Role.ENTRY)
        listed = {item.address for item in instances}
        for address in self._conns.keys() - listed:
            self._conns.pop(address).close()

    def conn(self, address: str) -> Conn:
        """Return the connection to a process of the list."""
        if address not in self._conns:
            self._conns[address] = self._connect(address)
        return self._conns[address]

    def close(self) -> None:
        """Close all connections."""
        for conn in self._conns.values():
            conn.close()
        self._conns.clear()
