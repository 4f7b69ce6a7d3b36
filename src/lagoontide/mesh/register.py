"""The key of an entry in the store, by which others find it."""

import asyncio

import msgspec
from loguru import logger

from lagoontide.errors import StoreUnavailable
from lagoontide.store.feed import LeaseGone, RevisionStore

__all__ = ["ENTRIES_PREFIX", "EntryAddress", "Registration", "entry_name"]

ENTRIES_PREFIX = "lagoontide/entries/"
LEASE_S = 6.0
KEEP_SHARE = 1 / 3
RETRY_S = 0.5


def entry_name(key: str) -> str:
    """Return the entry that a key of the store speaks of."""
    return key.removeprefix(ENTRIES_PREFIX)


class EntryAddress(msgspec.Struct, frozen=True):
    """What an entry says of itself in the store.

    Attributes
    ----------
    address : str
        ``IP:PORT`` where it listens for peers.
    capacity : float
        Its processor cores.
    failure_domain : str
        Where its instance is; "" if it does not say.
    """

    address: str
    capacity: float = 1.0
    failure_domain: str = ""


class Registration:
    """Keeps the key of an entry under a lease.

    Parameters
    ----------
    entry : EntryAddress
        What is written there.
    """

    def __init__(
        self, store: RevisionStore, name: str, entry: EntryAddress, ttl_min: float
    ) -> None:
        self._store = store
        self._key = ENTRIES_PREFIX + name
        self._value = msgspec.json.encode(entry)
        self._ttl = max(LEASE_S, ttl_min)
        self._lease: str | None = None
        self._has_key = False
        self._has_ended = False

    async def run(self) -> None:
        """Hold the key until it is given up."""
        while not self._has_ended:
            try:
                wait = await self._hold()
            except LeaseGone:
                logger.info("lease gone; registering anew")
                self._lease, self._has_key = None, False
                wait = 0.0
            except StoreUnavailable as exc:
                logger.debug("not registered: {}", exc)
                wait = RETRY_S
            await asyncio.sleep(wait)

    async def end(self) -> None:
        """Give the key up, for good."""
        self._has_ended = True
        if self._lease is None:
            return
        try:
            await self._store.end(self._lease)
        except (LeaseGone, StoreUnavailable) as exc:
            logger.info("lease left to lapse: {}", exc)

    async def _hold(self) -> float:
        if self._lease is None:
            self._lease, _ = await self._store.grant(self._ttl)
            if self._has_ended:
                # It was given up before the lease was known.
                await self.end()
                return 0.0
        if self._has_key:
            await self._store.keep(self._lease)
        else:
            await self._store.put(self._key, self._value, self._lease)
            self._has_key = True
        return self._ttl * KEEP_SHARE
