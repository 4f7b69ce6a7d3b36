"""A fake store with revisions, watches and leases, and clients of it."""

import asyncio
from itertools import count

from lagoontide.errors import StoreUnavailable
from lagoontide.store.revision_store import (
    Changes,
    ChangesUnavailable,
    KeyRevision,
    LeaseNotFound,
    Listing,
    Revision,
)

STORE_LATENCY_S = 0.004
SLOW_FACTOR = 50
SILENT_S = 2.0


class Store:
    """A fake store with revisions, watches, leases and a history that can be lost."""

    def __init__(self):
        self.era = 1
        self.number = 0
        self.keys = {}
        self.history = []
        self.dropped_until = Revision()
        self.leases = {}
        self._lease_ids = count(1)
        self._changed = asyncio.Event()

    @property
    def revision(self):
        return Revision(self.era, self.number)

    def put(self, key, value, lease=0):
        self.number += 1
        self.keys[key] = (value, self.revision, lease)
        self._note(KeyRevision(key, value, self.revision))

    def delete(self, key):
        if key in self.keys:
            self.number += 1
            del self.keys[key]
            self._note(KeyRevision(key, None, self.revision))

    def copy(self):
        """Return what ``restore`` takes."""
        return self.number, dict(self.keys), list(self.history)

    def restore(self, copy):
        """Go back to a copy, in the next era; leases of the copy have run out."""
        number, keys, history = copy
        self.era += 1
        self.number = number
        self.keys = {key: row for key, row in keys.items() if not row[2]}
        self.history = []
        self.leases.clear()
        self.dropped_until = self.revision
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self):
        self.dropped_until = self.revision
        self.history.clear()

    def expire(self, now):
        for lease in [item for item, (at, _) in self.leases.items() if at <= now]:
            self.end(lease)

    def end(self, lease):
        del self.leases[lease]
        for key, (_, _, owner) in tuple(self.keys.items()):
            if owner == lease:
                self.delete(key)

    def _note(self, item):
        self.history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, after, seconds):
        if self.revision > after:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


class StoreClient:
    """The store client of one entry.

    Attributes
    ----------
    trouble : str
        "" for none, "refuses" to fail each call at once, "silent" to let it time out,
        or "slow" for answers that take fifty times as long.
    calls : list of str
        The names of the calls made so far.
    """

    def __init__(self, store):
        self.store = store
        self.trouble = ""
        self.calls = []
        self._losses = 0
        self._cut = asyncio.Event()

    @property
    def era(self):
        return self.store.era

    def renew_connections(self):
        pass

    def lose_calls(self):
        """Lose the answers to all calls in progress; they time out."""
        self._losses += 1

    def cut(self):
        """Cut the watch that is waiting."""
        self._cut.set()
        self._cut = asyncio.Event()

    async def _call(self, call):
        self.calls.append(call)
        await asyncio.sleep(STORE_LATENCY_S)
        self.store.expire(asyncio.get_running_loop().time())
        match self.trouble:
            case "slow":
                await asyncio.sleep(STORE_LATENCY_S * SLOW_FACTOR)
            case "silent":
                await asyncio.sleep(SILENT_S)
                raise StoreUnavailable("silent", step=call)
            case "refuses":
                raise StoreUnavailable("refuses", step=call)

    async def list(self, prefix):
        await self._call("list")
        items = (
            KeyRevision(key, row[0], row[1]) for key, row in self.store.keys.items()
        )
        return Listing(tuple(items), self.store.revision)

    async def watch(self, prefix, after, wait):
        losses = self._losses
        await self._call("watch")
        if after < self.store.dropped_until:
            raise ChangesUnavailable("dropped", step="watch")
        waiting = asyncio.ensure_future(self.store.wait(after, wait))
        cut = asyncio.ensure_future(self._cut.wait())
        try:
            await asyncio.wait((waiting, cut), return_when=asyncio.FIRST_COMPLETED)
        finally:
            waiting.cancel()
            cut.cancel()
        if cut.done() and not cut.cancelled():
            raise StoreUnavailable("cut", step="watch")
        if losses != self._losses:
            await asyncio.sleep(SILENT_S)
            raise StoreUnavailable("silent", step="watch")
        if self.trouble in ("silent", "refuses"):
            raise StoreUnavailable(self.trouble, step="watch")
        if after < self.store.dropped_until:
            raise ChangesUnavailable("dropped", step="watch")
        items = tuple(item for item in self.store.history if item.revision > after)
        return Changes(items, self.store.revision)

    async def grant(self, ttl):
        await self._call("grant")
        lease = next(self.store._lease_ids)
        self.store.leases[lease] = asyncio.get_running_loop().time() + ttl, ttl
        return lease, ttl

    async def keep(self, lease):
        await self._call("keep")
        if lease not in self.store.leases:
            raise LeaseNotFound("gone", step="keep")
        ttl = self.store.leases[lease][1]
        self.store.leases[lease] = asyncio.get_running_loop().time() + ttl, ttl

    async def delete(self, key):
        await self._call("delete")
        self.store.delete(key)

    async def put(self, key, value, lease=0):
        await self._call("put")
        if lease and lease not in self.store.leases:
            raise LeaseNotFound("gone", step="put")
        self.store.put(key, value, lease)
