"""Interface of a key-value store with revisions, watches and leases."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from lagoontide.decoding import Int64
from lagoontide.errors import StoreError

__all__ = [
    "Changes",
    "ChangesUnavailable",
    "KeyRevision",
    "LeaseNotFound",
    "Listing",
    "Revision",
    "RevisionStore",
]


class ChangesUnavailable(StoreError):
    """The requested changes were dropped or are too large; a new listing is needed."""


class LeaseNotFound(StoreError):
    """The lease has ended."""


class Revision(NamedTuple):
    """A point in the history of a store, ordered over restores from copies.

    Attributes
    ----------
    era : int
        Rises when the store is restored from a copy; numbers are then given out again.
    number : int
        Rises with each change; 0 before the first one.
    """

    era: Int64 = 0
    number: Int64 = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


@dataclass(frozen=True, slots=True)
class KeyRevision:
    """The state of a key after its write or deletion.

    Attributes
    ----------
    value : bytes or None
        None if the key was deleted.
    revision : Revision
        Store revision of that write or deletion.
    """

    key: str
    value: bytes | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys under a prefix, not necessarily as one snapshot.

    Attributes
    ----------
    as_of : Revision
        Revision from which to watch for changes. Items may be newer; a key that is
        absent did not exist then or has been deleted since.
    """

    items: tuple[KeyRevision, ...]
    as_of: Revision


@dataclass(frozen=True, slots=True)
class Changes:
    """Consecutive changes of one era, in order of their revisions.

    Attributes
    ----------
    as_of : Revision
        Revision up to which the changes are complete.
    """

    items: tuple[KeyRevision, ...]
    as_of: Revision


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

    def renew_connections(self) -> None:
        """Make further calls on new connections, as the idle ones may be silent."""

    async def list(self, prefix: str) -> Listing:
        """Return all keys under a prefix; see Listing for what ``as_of`` means."""

    async def watch(self, prefix: str, after: Revision, wait: float) -> Changes:
        """Return the changes after a revision; waits up to ``wait`` seconds for one.

        Raises
        ------
        ChangesUnavailable
            If the store no longer keeps all changes after that revision, or has been
            restored from a copy since.
        """

    async def grant(self, ttl: float) -> tuple[str, float]:
        """Return a new lease and its time to live in seconds."""

    async def keep(self, lease: str) -> None:
        """Renew a lease; raises LeaseNotFound if it has ended.

        A lease ends with the era in which it was granted, as its id may be given to
        another client in the next one.
        """

    async def put(self, key: str, value: bytes, lease: str = "") -> None:
        """Write a key that is deleted when its lease ends; without one it stays.

        Raises
        ------
        LeaseNotFound
            If the lease has already ended.
        """

    async def delete(self, key: str) -> None:
        """Delete a key, if it exists."""
