"""Snapshots in the store, by which counts outlive the entry that made them."""

import asyncio
import random
from collections.abc import Iterable

import msgspec
from loguru import logger

from lagoontide.errors import StoreConflict, StoreError
from lagoontide.report.messages import EntryReport, Point, SlotData, Snapshot, Span
from lagoontide.report.reporter import Reporter
from lagoontide.report.slots import TIERS
from lagoontide.report.tally import Tally
from lagoontide.report.window import (
    WindowData,
    make_window,
)
from lagoontide.store.kv import KeyValueStore

__all__ = [
    "INTERVAL_S",
    "PREFIX",
    "SnapshotWriter",
    "read_snapshots",
    "to_report",
]

PREFIX = "lagoontide/report/"
# A write and the renewal of a lease per entry: at 2,600 entries 8.7 of each a
# second, within the several hundred writes that the store takes.
INTERVAL_S = 300.0
JITTER = 0.2
KEPT_S = sum(tier.length * tier.slots for tier in TIERS)
MIN_AGE_S = 0.001


class SnapshotWriter:
    """Writes an entry's snapshot again and again under one key of its own.

    The key goes with its lease once nothing in it can matter any more.
    """

    def __init__(
        self, store: KeyValueStore, reporter: Reporter, rng: random.Random
    ) -> None:
        self._store = store
        self._reporter = reporter
        self._rng = rng
        self._key = f"{PREFIX}{reporter.entry}.{reporter.incarnation}"
        self._version = 0
        self._lease = ""

    async def run(self) -> None:
        """Write until cancelled; the first one after a random wait."""
        await asyncio.sleep(self._rng.uniform(0.0, INTERVAL_S))
        while True:
            await self.write()
            spread = self._rng.uniform(1.0 - JITTER, 1.0 + JITTER)
            await asyncio.sleep(INTERVAL_S * spread)

    async def write(self) -> bool:
        """Write once; return whether the store confirmed it."""
        try:
            data = await self._reporter.snapshot()
            if self._lease:
                await self._store.renew(self._lease)
            else:
                self._lease = await self._store.grant(KEPT_S)
            await self._put(data)
        except StoreConflict as exc:
            # The lease or the key is gone, or an unconfirmed write took effect.
            await self._recover(exc)
            return False
        except StoreError as exc:
            logger.bind(step="snapshot").warning("{}", exc)
            return False
        return True

    async def _put(self, data: bytes) -> None:
        entry = await self._store.swap(self._key, self._version, data, self._lease)
        self._version = entry.version

    async def _recover(self, exc: StoreConflict) -> None:
        logger.bind(step="snapshot").warning("{}", exc)
        self._lease = ""
        try:
            held = await self._store.get(self._key)
        except StoreError:
            return
        self._version = held.version if held else 0


async def read_snapshots(store: KeyValueStore) -> list[Snapshot]:
    """Return all snapshots that can be read; raises StoreError."""
    snapshots = []
    for entry in await store.scan(PREFIX):
        try:
            snapshots.append(msgspec.msgpack.decode(entry.value, type=Snapshot))
        except (msgspec.DecodeError, RecursionError) as exc:
            logger.bind(step="snapshot").warning("{}: {}", entry.key, exc)
    return snapshots


def to_report(
    snapshot: Snapshot, seconds: tuple[float, ...], now: float
) -> EntryReport:
    """Return a snapshot as its entry's report at wall-clock time ``now``.

    A clock that runs behind the writer's makes the age 0, never negative.
    """
    age = max(0.0, now - snapshot.written)
    spans = tuple(
        Span(second, _merge(snapshot.slots, second - age)) for second in seconds
    )
    return EntryReport(
        entry=snapshot.entry,
        incarnation=snapshot.incarnation,
        failure_domain=snapshot.failure_domain,
        covered=snapshot.covered,
        objectives=snapshot.objectives,
        spans=spans,
        points=tuple(_make_points(snapshot, age)),
        # A snapshot is never taken for an answer, whatever the clocks say.
        age=max(age, MIN_AGE_S),
    )


def _merge(slots: Iterable[SlotData], seconds: float) -> WindowData:
    data = (slot.data for slot in slots if slot.age - slot.length < seconds)
    return make_window(data).to_data()


def _make_points(snapshot: Snapshot, age: float) -> Iterable[Point]:
    for slot in snapshot.slots:
        routes: dict[str, Tally] = {}
        for row in slot.data.requests:
            routes.setdefault(row.route, Tally()).merge(row.tally)
        for name, tally in routes.items():
            yield Point(name, slot.age + age, slot.length, tally)
