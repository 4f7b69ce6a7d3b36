"""The history of changes, in a ring of small values in the store.

Entry ``n`` lies in segment ``n // SEGMENT_ENTRIES``; segments take turns on
``SEGMENTS`` keys, so the oldest one makes room for the newest. A segment that
grows over its bound loses the changes of its oldest entries, but not who made
them, when and how many. All segments together stay below a megabyte.
"""

import asyncio
from collections.abc import AsyncIterator

import msgspec

from lagoontide.configuration.record import HistoryEntry
from lagoontide.errors import StoreConflict
from lagoontide.store.kv import KeyValueStore

__all__ = ["HISTORY_PREFIX", "History"]

HISTORY_PREFIX = "lagoontide/history/"
SEGMENTS = 32
SEGMENT_ENTRIES = 256
SEGMENT_BYTES = 32 << 10
RACES = 8
RACE_PAUSE_S = 0.05


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """A run of entries.

    Attributes
    ----------
    index : int
        Number of the run since the beginning.
    """

    index: int
    entries: tuple[HistoryEntry, ...] = ()

    def add(self, entry: HistoryEntry) -> "Segment":
        """Return the segment with an entry more."""
        return Segment(self.index, (*self.entries, entry))

    def has(self, version: int) -> bool:
        """Whether the entry of a version is there."""
        return any(entry.version == version for entry in self.entries)


_decoder = msgspec.msgpack.Decoder(Segment)


class History:
    """Adds to the history and reads it.

    Parameters
    ----------
    store : KeyValueStore
        The platform's store.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def add(self, number: int, entry: HistoryEntry) -> None:
        """Add the entry of document ``number`` unless it is there.

        Raises
        ------
        StoreUnavailable
            If the store gave no answer; the entry may then be there or not.
        StoreConflict
            If others kept on adding at the same time.
        """
        index = number // SEGMENT_ENTRIES
        for _ in range(RACES):
            version, segment = await self._read(index)
            if segment.index > index or segment.has(entry.version):
                return
            if segment.index < index:
                segment = Segment(index)
            data = encode_segment(segment.add(entry))
            try:
                await self._store.swap(_make_key(index), version, data)
                return
            except StoreConflict:
                await asyncio.sleep(RACE_PAUSE_S)
        raise StoreConflict("others keep on changing the history", step="history")

    async def read(self, number: int, limit: int) -> list[HistoryEntry]:
        """Return up to ``limit`` entries before document ``number``, newest first."""
        found: list[HistoryEntry] = []
        async for segment in self._walk(number):
            found.extend(reversed(segment.entries))
            if len(found) >= limit:
                break
        return found[:limit]

    async def _walk(self, number: int) -> AsyncIterator[Segment]:
        """Yield segments from the newest back to the oldest that is kept."""
        newest = number // SEGMENT_ENTRIES
        for index in range(newest, max(-1, newest - SEGMENTS), -1):
            _, segment = await self._read(index)
            if segment.index == index:
                yield segment

    async def _read(self, index: int) -> tuple[int, Segment]:
        entry = await self._store.get(_make_key(index))
        if entry is None:
            return 0, Segment(-1)
        return entry.version, _decoder.decode(entry.value)


def encode_segment(segment: Segment) -> bytes:
    """Return a segment's bytes within the bound.

    Changes go first, from the oldest entry on.
    """
    entries = list(segment.entries)
    size = len(msgspec.msgpack.encode(segment))
    for position, entry in enumerate(entries):
        if size <= SEGMENT_BYTES:
            break
        slim = msgspec.structs.replace(entry, changes=())
        size -= len(msgspec.msgpack.encode(entry)) - len(msgspec.msgpack.encode(slim))
        entries[position] = slim
    return msgspec.msgpack.encode(Segment(segment.index, tuple(entries)))


def _make_key(index: int) -> str:
    return f"{HISTORY_PREFIX}{index % SEGMENTS:02d}"
