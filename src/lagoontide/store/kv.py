"""Interface of the platform's key-value service."""

from typing import Protocol

import msgspec

__all__ = ["KeyValue", "KeyValueStore"]


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value and version.

    Attributes
    ----------
    version : int
        Increases with each write of the key; 0 stands for a key that does not
        exist.
    """

    key: str
    version: int
    value: bytes


class KeyValueStore(Protocol):
    """A key-value store with compare-and-swap, leases and watches.

    Every method raises StoreUnavailable if no usable response arrived. A write may
    nevertheless have taken effect.
    """

    async def get(self, key: str) -> KeyValue | None:
        """Return the entry of a key, or None if it does not exist."""

    async def swap(
        self, key: str, expected: int, value: bytes, lease: str = ""
    ) -> KeyValue:
        """Replace version ``expected`` of a key (0: create it); return the new entry.

        A key written with a lease is deleted when the lease ends. Raises
        StoreConflict if the key has another version.
        """

    async def delete(self, key: str, expected: int) -> None:
        """Delete a key; raises StoreConflict if its version is not ``expected``."""

    async def scan(self, prefix: str) -> list[KeyValue]:
        """Return all entries whose keys begin with ``prefix``."""

    async def grant(self, ttl: float) -> str:
        """Return the id of a new lease that expires after ``ttl`` seconds."""

    async def renew(self, lease: str) -> None:
        """Renew a lease; raises StoreConflict if it has expired."""

    async def watch(self, key: str, after: int, wait: float) -> KeyValue | None:
        """Return the entry once its version exceeds ``after``.

        Returns None if that does not happen within ``wait`` seconds.
        """
