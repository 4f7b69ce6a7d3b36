"""Connections by address, opened when they are first used."""

from collections.abc import Callable, Iterable

from lagoontide.wire.conn import Conn

__all__ = ["ConnPool"]


class ConnPool:
    """Holds one connection to each address in use.

    Parameters
    ----------
    connect : callable
        Returns a connection to an address.
    """

    def __init__(self, connect: Callable[[str], Conn]) -> None:
        self._connect = connect
        self._conns: dict[str, Conn] = {}

    def __len__(self) -> int:
        return len(self._conns)

    def get(self, address: str) -> Conn:
        """Return the connection to an address."""
        if address not in self._conns:
            self._conns[address] = self._connect(address)
        return self._conns[address]

    def keep(self, addresses: Iterable[str]) -> None:
        """Close the connections to all other addresses."""
        for address in self._conns.keys() - set(addresses):
            self._conns.pop(address).close()

    def close(self) -> None:
        """Close all connections."""
        self.keep(())
