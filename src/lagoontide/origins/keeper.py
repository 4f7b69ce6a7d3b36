"""Origins of streams kept in the store, for entries that start while none runs."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from itertools import count

import msgspec
from loguru import logger

from lagoontide.decoding import JsonDecoder
from lagoontide.errors import StoreError, WireError
from lagoontide.origins.ledger import Origins, make_batch
from lagoontide.origins.messages import AgedOrigin, Batch
from lagoontide.store.revision_store import LeaseNotFound, RevisionStore

__all__ = [
    "ORIGINS_PREFIX",
    "VERSIONS_PREFIX",
    "OriginKeeper",
    "StoredOrigins",
    "lease_period",
    "write_interval",
]

ORIGINS_PREFIX = "lagoontide/origins/"
VERSIONS_PREFIX = VERSIONS_KEY = "lagoontide/versions"
POLL_INTERVAL_S = 0.05
# Half of the writes that the store takes a second from all entries together, and their
# division among batches and the leases of batches.
BATCHES_PER_S = 160.0
GRANTS_PER_S = 40.0
MIN_WRITE_INTERVAL_S = 0.1
MIN_LEASE_PERIOD_S = 10.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
MAX_BATCH_CHARS = 24_000

_Versions = dict[str, list[str]]

_batch_decoder = JsonDecoder(Batch, "batch of origins", "origins")
_versions_decoder = JsonDecoder(_Versions, "version set", "origins")


def write_interval(entries: int) -> float:
    """Return the seconds from one batch of an entry to its next."""
    return max(MIN_WRITE_INTERVAL_S, entries / BATCHES_PER_S)


def lease_period(entries: int) -> float:
    """Return the seconds for which an entry uses a lease for its batches."""
    return max(MIN_LEASE_PERIOD_S, entries / GRANTS_PER_S)


class StoredOrigins:
    """What the store holds of origins and versions, as far as this entry knows.

    Attributes
    ----------
    versions : dict or None
        The stored version set; None if there is none that can be read.
    """

    def __init__(self, origins: Origins) -> None:
        self.versions: _Versions | None = None
        self._values: dict[str, bytes] = {}
        self._origins = origins
        self._is_listed = False

    def apply(self, key: str, value: bytes | None) -> None:
        """Apply a change of a key with one of the two prefixes.

        The deletion of a batch is ignored: its records end by their own time.
        """
        if key.startswith(ORIGINS_PREFIX):
            if value is not None:
                self._apply_batch(key, value)
        elif key == VERSIONS_KEY:
            if value is None:
                self._values.pop(key, None)
            else:
                self._values[key] = value
            self._apply_versions(value)
            self._note_stored()

    def end_listing(self, keys: Iterable[str]) -> None:
        """Record that a full listing of the store was applied, with these keys."""
        self._is_listed = True
        for key in self._values.keys() - set(keys):
            self.apply(key, None)
        self._note_stored()

    def values(self) -> dict[str, bytes]:
        """Return the stored values other than batches, for the snapshot of a peer."""
        return dict(self._values)

    def adopt_snapshot(self, values: dict[str, bytes], rows: list[AgedOrigin]) -> None:
        """Apply what a peer knows of the store, instead of a listing."""
        for key, value in values.items():
            self.apply(key, value)
        self._origins.learn_aged(rows)
        self.end_listing(values)

    def _note_stored(self) -> None:
        is_unreadable = self.versions is None and VERSIONS_KEY in self._values
        # Within a listing this may be premature, but nothing reads it there.
        if self._is_listed and not is_unreadable:
            self._origins.note_stored(self.versions is not None)

    def _apply_batch(self, key: str, value: bytes) -> None:
        try:
            batch = _batch_decoder.decode(value)
        except WireError as exc:
            logger.warning("origins at key {!r:.200} ignored: {}", key, exc)
            return
        self._origins.learn(batch)

    def _apply_versions(self, value: bytes | None) -> None:
        self.versions = None
        if value is None:
            return
        try:
            self.versions = _versions_decoder.decode(value)
        except WireError as exc:
            logger.warning("version set ignored: {}", exc)
            return
        self._origins.learn_versions(self.versions)


class OriginKeeper:
    """Writes the version set, and origins of streams while a service is mixed.

    Parameters
    ----------
    name : str
        Name of this entry.
    is_responsible : callable
        Returns whether this entry is the one that writes the version set, and knows
        what is stored.
    count_entries : callable
        Returns the number of entries, which share the store's writes.
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(
        self,
        store: RevisionStore,
        origins: Origins,
        stored: StoredOrigins,
        name: str,
        is_responsible: Callable[[], bool],
        count_entries: Callable[[], int],
        clock: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._origins = origins
        self._stored = stored
        self._is_responsible = is_responsible
        self._count_entries = count_entries
        self._clock = clock
        self._rng = rng or random.Random(name)
        # Batches of earlier runs under the same name must not be overwritten.
        self._prefix = f"{ORIGINS_PREFIX}{name}/{time.time_ns():016x}-"
        self._numbers = count(1)
        self._era = store.era
        self._lease = ""
        self._lease_until = 0.0
        self._due_at: float | None = None
        self._written_at = float("-inf")

    async def run(self) -> None:
        """Write what the store lacks until cancelled."""
        backoff = MIN_BACKOFF_S
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._check_era()
            try:
                await self._write_versions()
                await self._write_batch()
            except StoreError as exc:
                logger.info(
                    "origins not stored: {} records, the oldest {:.1f} s old: {}",
                    self._origins.unsent_count,
                    self._origins.oldest_unsent_age,
                    exc,
                )
                if isinstance(exc, LeaseNotFound):
                    self._lease = ""
                await asyncio.sleep(backoff)
                backoff = min(2.0 * backoff, MAX_BACKOFF_S)
            else:
                backoff = MIN_BACKOFF_S

    def _check_era(self) -> None:
        era = self._store.era
        if 0 < self._era < era:
            self._lease = ""
            self._origins.mark_all_unsent()
            logger.info(
                "store restored: {} origins to be stored again",
                self._origins.unsent_count,
            )
        self._era = era

    async def _write_versions(self) -> None:
        versions = self._origins.version_set()
        if versions is self._stored.versions or not self._is_responsible():
            return
        if versions == self._stored.versions:
            self._stored.versions = versions
            return
        value = msgspec.json.encode(versions)
        await self._store.put(VERSIONS_KEY, value)
        self._stored.apply(VERSIONS_KEY, value)
        logger.info("version set stored: {}", value.decode()[:500])

    async def _write_batch(self) -> None:
        if not self._origins.unsent_count:
            self._due_at = None
            return
        now = self._clock()
        if self._due_at is None:
            # Entries begin to write at the same time when a service becomes mixed.
            interval = write_interval(self._count_entries())
            self._due_at = max(
                self._written_at + interval, now + self._rng.uniform(0.0, interval)
            )
        if now < self._due_at:
            return
        if not self._lease or now >= self._lease_until:
            await self._grant(now)
        records = self._origins.unsent(MAX_BATCH_CHARS)
        value = msgspec.json.encode(make_batch(records))
        key = f"{self._prefix}{next(self._numbers):06d}"
        await self._store.put(key, value, self._lease)
        self._origins.mark_sent(records)
        self._written_at = now
        self._due_at = now + write_interval(self._count_entries())

    async def _grant(self, now: float) -> None:
        """Get a lease whose batches are kept for the retention time at least."""
        retention = self._origins.retention
        period = lease_period(self._count_entries())
        self._lease, ttl = await self._store.grant(retention + period)
        self._lease_until = now + max(0.0, ttl - retention)
