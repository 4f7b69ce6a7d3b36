"""Connections to the few processes with which this one exchanges versions."""

from collections.abc import Callable, Iterable

from lagoontide.store.instances import Instance
from lagoontide.wire.conn import Conn
from lagoontide.wire.pool import ConnPool

__all__ = ["Peers"]


class Peers:
    """Opens connections when they are first used and closes those not needed.

    Parameters
    ----------
    connect : callable
        Returns a connection to an address.
    """

    def __init__(self, connect: Callable[[str], Conn]) -> None:
        self._conns = ConnPool(connect)
        self._listed: dict[str, Instance] = {}

    def __len__(self) -> int:
        return len(self._conns)

    def update(self, listed: Iterable[Instance], kept: Iterable[Instance]) -> None:
        """Take a new list and the instances to which connections stay open."""
        self._listed = {item.name: item for item in listed if item.address}
        self._conns.keep(item.address for item in kept)

    def find(self, name: str) -> Instance | None:
        """Return the instance of a name if it is listed."""
        return self._listed.get(name)

    def get(self, instance: Instance) -> Conn:
        """Return a connection to an instance."""
        return self._conns.get(instance.address)

    def close(self) -> None:
        """Close all connections."""
        self._conns.close()
