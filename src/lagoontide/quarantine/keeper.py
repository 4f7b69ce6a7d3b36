"""Quarantines kept in the store, for entries that start while no other one runs."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec
import xxhash
from loguru import logger

from lagoontide.decoding import JsonDecoder
from lagoontide.errors import StoreError, WireError
from lagoontide.quarantine.ledger import Ledger
from lagoontide.quarantine.records import Block, CrashReport
from lagoontide.store.revision_store import RevisionStore

__all__ = ["QUARANTINE_PREFIX", "Keeper", "StoredQuarantines"]

QUARANTINE_PREFIX = "lagoontide/quarantine/"
INTERVAL_S = 0.5
# After a failed call the store is left alone for longer each time, up to a maximum.
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 10.0
STORE_SOURCE = "store"

_decoder = JsonDecoder(list[CrashReport], "quarantine", "quarantine")


class StoredQuarantines:
    """The quarantines that the store holds, as far as this entry knows."""

    def __init__(self, ledger: Ledger) -> None:
        self.values: dict[str, bytes] = {}
        self._ledger = ledger

    def apply(self, key: str, value: bytes | None) -> None:
        """Apply a change of a key with QUARANTINE_PREFIX."""
        if value is None:
            self.values.pop(key, None)
            return
        self.values[key] = value
        try:
            reports = _decoder.decode(value)
        except WireError as exc:
            logger.warning("quarantine at key {!r:.200} ignored: {}", key, exc)
            return
        self._ledger.merge(STORE_SOURCE, reports)

    def keep_only(self, keys: Iterable[str]) -> None:
        """Drop all keys but these."""
        for key in self.values.keys() - set(keys):
            del self.values[key]


class Keeper:
    """Writes the quarantines of the ledger to the store, and deletes ended ones.

    Parameters
    ----------
    is_responsible : callable
        Returns whether this entry is the one that writes, and knows what is stored.
    """

    def __init__(
        self,
        store: RevisionStore,
        ledger: Ledger,
        stored: StoredQuarantines,
        is_responsible: Callable[[], bool],
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._stored = stored
        self._is_responsible = is_responsible

    async def run(self) -> None:
        """Bring the store in line with the ledger until cancelled."""
        backoff = MIN_BACKOFF_S
        while True:
            await asyncio.sleep(INTERVAL_S)
            if not self._is_responsible():
                continue
            try:
                await self._reconcile()
            except StoreError as exc:
                logger.info("quarantines not stored: {}", exc)
                await asyncio.sleep(backoff)
                backoff = min(2.0 * backoff, MAX_BACKOFF_S)
            else:
                backoff = MIN_BACKOFF_S

    async def _reconcile(self) -> None:
        wanted = {_key_of(block): _encode(block) for block in self._ledger.blocks}
        for key, value in wanted.items():
            if self._stored.values.get(key) != value:
                await self._store.put(key, value)
                self._stored.values[key] = value
                logger.info("quarantine stored at key {}", key)
        for key in self._stored.values.keys() - wanted.keys():
            await self._store.delete(key)
            self._stored.values.pop(key, None)
            logger.info("quarantine deleted at key {}", key)


def _key_of(block: Block) -> str:
    text = "\n".join(sorted(block.keys))
    return QUARANTINE_PREFIX + xxhash.xxh64_hexdigest(text.encode())


def _encode(block: Block) -> bytes:
    """Return a value from which ``Ledger.merge`` derives the block again.

    It holds no times: an entry that reads it waits the whole time to the next probe.
    """
    keys = tuple(sorted(block.keys))
    return msgspec.json.encode(
        [
            CrashReport(target, born, keys, is_trial=True)
            for target, born in sorted(block.targets)
        ]
    )
