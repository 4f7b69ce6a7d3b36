"""Entries that keep origins in a fake store, on a virtual clock."""

import asyncio
import contextlib
import random

from lagoontide.origins.keeper import OriginKeeper, StoredOrigins
from lagoontide.origins.ledger import Origins
from lagoontide.store.revision_store import ChangesUnavailable
from tests.mesh.fake_store import StoreClient

SWEEP_S = 0.25


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class Entry:
    """The records of one entry, its keeper, and its view of the store.

    Attributes
    ----------
    registered : dict
        The versions of the registered targets, by service.
    """

    def __init__(self, name, store, is_responsible=False, entries=4):
        clock = asyncio.get_running_loop().time
        self.client = StoreClient(store)
        self.origins = Origins(clock)
        self.stored = StoredOrigins(self.origins)
        self.is_responsible = is_responsible
        self.registered = {}
        self.keeper = OriginKeeper(
            self.client,
            self.origins,
            self.stored,
            name,
            lambda: self.is_responsible,
            lambda: entries,
            clock,
            random.Random(7),
        )
        self._store = store
        self._tasks = [
            asyncio.ensure_future(work)
            for work in (self.keeper.run(), self._sweep(), self._follow())
        ]

    @property
    def writes(self):
        return [call for call in self.client.calls if call in ("put", "grant")]

    def kill(self):
        for task in self._tasks:
            task.cancel()

    async def _sweep(self):
        while True:
            self.origins.observe_versions(self.registered)
            await asyncio.sleep(SWEEP_S)

    async def _follow(self):
        reader = StoreClient(self._store)
        listing = await reader.list("")
        while True:
            for item in listing.items:
                self.stored.apply(item.key, item.value)
            self.stored.end_listing(item.key for item in listing.items)
            as_of = listing.as_of
            with contextlib.suppress(ChangesUnavailable):
                while True:
                    changes = await reader.watch("", as_of, 0.5)
                    for item in changes.items:
                        self.stored.apply(item.key, item.value)
                    as_of = changes.as_of
            listing = await reader.list("")
