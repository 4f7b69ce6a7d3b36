"""Interface of a key-value store with revisions, watches and leases."""

from dataclasses import dataclass
from typing import Protocol

from lagoontide.errors import StoreError

__all__ = [
    "Changes",
    "ChangesUnavailable",
    "KeyRevision",
    "LeaseNotFound",
    "Listing",
    "RevisionStore",
]


class ChangesUnavailable(StoreError):
    """The requested changes were dropped or are too large; a new listing is needed."""


class LeaseNotFound(StoreError):
    """The lease has expired or was revoked."""


@dataclass(frozen=True, slots=True)
class KeyRevision:
    """The state of a key after its write or deletion.

    Attributes
    ----------
    value : bytes or None
        None if the key was deleted.
    revision : int
        Store revision of that write or deletion.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys under a prefix, not necessarily as one snapshot.

    Attributes
    ----------
    as_of : int
        Revision from which to watch for changes. Items may be newer; a key that is
        absent did not exist then or has been deleted since.
    """

    items: tuple[KeyRevision, ...]
    as_of: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Consecutive changes, in order of their revisions.

    Attributes
    ----------
    as_of : int
        Revision up to which the changes are complete.
    """

    items: tuple[KeyRevision, ...]
    as_of: int


class RevisionStore(Protocol):
    """A store that assigns a revision to every change.

    Attributes
    ----------
    era : int
        Rises when the store is restored from a copy; revisions may then go back.

    Every coroutine raises StoreUnavailable if no usable response arrived. A write may
    nevertheless have taken effect, or may still do so.
    """

    era: int

    def set_address(self, host: str, port: int) -> None:
        """Set the address for all further calls."""

    async def list(self, prefix: str) -> Listing:
        """Return all keys under a prefix; see Listing for what ``as_of`` means."""

    async def watch(self, prefix: str, after: int, wait: float) -> Changes:
        """Return the changes after a revision; waits up to ``wait`` seconds for one.

        Raises
        ------
        ChangesUnavailable
            If the store no longer keeps all changes after that revision.
        """

    async def grant(self, ttl: float) -> tuple[str, float]:
        """Return the id of a new lease and its time to live in seconds."""

    async def keep(self, lease: str) -> None:
        """Renew a lease; raises LeaseNotFound if it has ended."""

    async def revoke(self, lease: str) -> None:
        """Revoke a lease, which deletes its keys."""

    async def put(self, key: str, value: bytes, lease: str = "") -> None:
        """Write a key that is deleted when its lease ends; without one it stays.

        Raises
        ------
        LeaseNotFound
            If the lease has already ended.
        """

    async def delete(self, key: str) -> None:
        """Delete a key, if it exists."""
