"""Connections to other entries, opened when they are needed."""

from collections.abc import Callable

from lagoontide.store.instances import Instance, Role
from lagoontide.wire.conn import Conn
from lagoontide.wire.pool import ConnPool

__all__ = ["Peers"]


class Peers:
    """Entries of the platform's list and the connections to them.

    Parameters
    ----------
    connect : callable
        Returns a connection to an address.
    """

    def __init__(self, connect: Callable[[str], Conn]) -> None:
        self._conns = ConnPool(connect)
        self.entries: tuple[Instance, ...] = ()

    def apply(self, instances: tuple[Instance, ...]) -> None:
        """Take a new list; connections to instances that are gone are closed."""
        self.entries = tuple(item for item in instances if item.role is Role.ENTRY)
        self._conns.keep(item.address for item in instances)

    def conn(self, address: str) -> Conn:
        """Return the connection to a process of the list."""
        return self._conns.get(address)

    def close(self) -> None:
        """Close all connections."""
        self._conns.close()
