"""Registration of an entry in the store, where other entries discover it."""

import asyncio

import msgspec
from loguru import logger

from lagoontide.decoding import CoreCount, HostPort
from lagoontide.errors import StoreError
from lagoontide.store.revision_store import LeaseNotFound, RevisionStore

__all__ = ["ENTRIES_PREFIX", "EntryRecord", "Registration", "entry_name"]

ENTRIES_PREFIX = "lagoontide/entries/"
DEFAULT_LEASE_TTL_S = 6.0
RENEWAL_FRACTION = 1 / 3
RETRY_DELAY_S = 0.5


def entry_name(key: str) -> str:
    """Return the name of the entry that is registered under a key."""
    return key.removeprefix(ENTRIES_PREFIX)


class EntryRecord(msgspec.Struct, frozen=True):
    """The record that an entry stores about itself.

    Attributes
    ----------
    address : str
        ``IP:PORT`` where it listens for peers.
    capacity : float
        Processor cores of the entry.
    failure_domain : str
        Failure domain of its instance; "" if unknown.
    """

    address: HostPort
    capacity: CoreCount = 1.0
    failure_domain: str = ""


class Registration:
    """Writes the key of an entry and keeps its lease alive.

    Parameters
    ----------
    entry : EntryRecord
        The value of the key.
    ttl_min : float
        Lower limit of the lease's time to live, in seconds.
    """

    def __init__(
        self, store: RevisionStore, name: str, entry: EntryRecord, ttl_min: float
    ) -> None:
        self._store = store
        self._key = ENTRIES_PREFIX + name
        self._value = msgspec.json.encode(entry)
        self._ttl = max(DEFAULT_LEASE_TTL_S, ttl_min)
        self._lease: str | None = None
        self._is_registered = False
        self._is_stopping = False

    async def run(self) -> None:
        """Register the entry and renew its lease until ``unregister`` is called."""
        while not self._is_stopping:
            try:
                wait = await self._register_or_renew()
            except LeaseNotFound as exc:
                logger.info("lease has ended, registering again: {}", exc)
                self._lease, self._is_registered = None, False
                wait = 0.0
            except StoreError as exc:
                logger.debug("registration failed: {}", exc)
                wait = RETRY_DELAY_S
            await asyncio.sleep(wait)

    async def unregister(self) -> None:
        """Delete the key, and do not register again.

        The lease is left to expire: in a store that was restored from a copy it may
        belong to another client.
        """
        self._is_stopping = True
        if self._lease is None:
            return
        try:
            await self._store.delete(self._key)
        except StoreError as exc:
            logger.info("key not deleted; its lease will expire: {}", exc)

    async def _register_or_renew(self) -> float:
        """Write the key or renew its lease; return the seconds until the next call."""
        if self._lease is None:
            self._lease, _ = await self._store.grant(self._ttl)
            if self._is_stopping:
                # unregister() was called while the lease was being granted.
                await self.unregister()
                return 0.0
        if self._is_registered:
            await self._store.keep(self._lease)
        else:
            await self._store.put(self._key, self._value, self._lease)
            self._is_registered = True
        return self._ttl * RENEWAL_FRACTION
