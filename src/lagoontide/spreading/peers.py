"""Connections to the few processes with which this one exchanges versions."""

from collections.abc import Callable, Iterable

from lagoontide.platform.instances import Instance
from lagoontide.wire.conn import Conn

__all__ = ["Peers"]


class Peers:
    """Opens connections when they are first used and closes those not needed.

    Parameters
    ----------
    connect : callable
        Returns a connection to an address.
    """

    def __init__(self, connect: Callable[[str], Conn]) -> None:
        self._connect = connect
        self._conns: dict[str, Conn] = {}
        self._listed: dict[str, Instance] = {}

    def __len__(self) -> int:
        return len(self._conns)

    def update(self, listed: Iterable[Instance], kept: Iterable[Instance]) -> None:
        """Take a new list and the instances to which connections stay open."""
        self._listed = {item.name: item for item in listed if item.address}
        addresses = {item.address for item in kept}
        for address in self._conns.keys() - addresses:
            self._conns.pop(address).close()

    def find(self, name: str) -> Instance | None:
        """Return the instance of a name if it is listed."""
        return self._listed.get(name)

    def get(self, instance: Instance) -> Conn:
        """Return a connection to an instance."""
        conn = self._conns.get(instance.address)
        if conn is None:
            conn = self._conns[instance.address] = self._connect(instance.address)
        return conn

    def close(self) -> None:
        """Close all connections."""
        for conn in self._conns.values():
            conn.close()
        self._conns.clear()
