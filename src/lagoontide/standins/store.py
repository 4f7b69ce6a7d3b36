"""Stand-in of the platform's key-value service."""

import asyncio
from collections import Counter
from itertools import count

from lagoontide.admission.accounts import TokenBucket
from lagoontide.errors import StoreConflict, StoreUnavailable
from lagoontide.standins.faults import Faults
from lagoontide.store.kv import KeyValue

__all__ = ["MemoryStore"]

LATENCY_S = 0.002
WRITES_PER_S = 300.0
READS_PER_S = 2000.0
MAX_VALUE_BYTES = 1 << 20


class MemoryStore:
    """Compare-and-swap, leases and watches in memory, with limits and faults.

    Versions come from one counter for all keys, so that they rise even when a
    key is deleted and written again.

    Attributes
    ----------
    calls : Counter
        Calls by name; a waiting watch counts as one.
    """

    def __init__(
        self,
        latency: float = LATENCY_S,
        writes_per_s: float = WRITES_PER_S,
        reads_per_s: float = READS_PER_S,
    ) -> None:
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self._latency = latency
        self._entries: dict[str, KeyValue] = {}
        self._key_lease: dict[str, str] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._revisions = count(1)
        self._lease_numbers = count(1)
        self._changed = asyncio.Event()
        self._writes = TokenBucket(writes_per_s, writes_per_s, writes_per_s, 0.0)
        self._reads = TokenBucket(reads_per_s, reads_per_s, reads_per_s, 0.0)

    async def get(self, key: str) -> KeyValue | None:
        """See KeyValueStore."""
        await self._read("get")
        return self._entries.get(key)

    async def scan(self, prefix: str) -> list[KeyValue]:
        """See KeyValueStore."""
        await self._read("scan")
        return [entry for key, entry in self._entries.items() if key.startswith(prefix)]

    async def swap(
        self, key: str, expected: int, value: bytes, lease: str = ""
    ) -> KeyValue:
        """See KeyValueStore."""
        await self._write("swap")
        if len(value) > MAX_VALUE_BYTES:
            raise StoreConflict(
                f"the value has {len(value)} bytes, over {MAX_VALUE_BYTES}", step="swap"
            )
        self._check_version(key, expected, "swap")
        if lease:
            self._check_lease(lease)
            self._key_lease[key] = lease
        entry = KeyValue(key, next(self._revisions), value)
        self._entries[key] = entry
        self._notify()
        self._lose_answer("swap")
        return entry

    async def delete(self, key: str, expected: int) -> None:
        """See KeyValueStore."""
        await self._write("delete")
        self._check_version(key, expected, "delete")
        self._drop(key)
        self._lose_answer("delete")

    async def grant(self, ttl: float) -> str:
        """See KeyValueStore."""
        await self._write("grant")
        lease = f"lease-{next(self._lease_numbers)}"
        self._leases[lease] = (ttl, self._now() + ttl)
        self._lose_answer("grant")
        return lease

    async def renew(self, lease: str) -> None:
        """See KeyValueStore."""
        await self._write("renew")
        self._check_lease(lease)
        ttl = self._leases[lease][0]
        self._leases[lease] = (ttl, self._now() + ttl)
        self._lose_answer("renew")

    async def watch(self, key: str, after: int, wait: float) -> KeyValue | None:
        """See KeyValueStore."""
        await self._read("watch")
        try:
            async with asyncio.timeout(wait):
                while True:
                    if self.faults.down:
                        raise StoreUnavailable("the store is down", step="watch")
                    entry = self._entries.get(key)
                    if entry is not None and entry.version > after:
                        return entry
                    await self._changed.wait()
        except TimeoutError:
            return None

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    async def _read(self, name: str) -> None:
        await self._enter(name, self._reads)

    async def _write(self, name: str) -> None:
        await self._enter(name, self._writes)

    async def _enter(self, name: str, bucket: TokenBucket) -> None:
        self.calls[name] += 1
        if self._latency:
            await asyncio.sleep(self._latency * self.faults.slow)
        await self.faults.pass_stall()
        if self.faults.down:
            raise StoreUnavailable("the store is down", step=name)
        if bucket.take(self._now()):
            raise StoreUnavailable("over the rate", step=name)
        self._lapse()

    def _lapse(self) -> None:
        now = self._now()
        over = {lease for lease, (_, until) in self._leases.items() if until <= now}
        if not over:
            return
        for lease in over:
            del self._leases[lease]
        lapsed = [key for key, lease in self._key_lease.items() if lease in over]
        for key in lapsed:
            self._drop(key)

    def _drop(self, key: str) -> None:
        self._entries.pop(key, None)
        self._key_lease.pop(key, None)
        self._notify()

    def _check_version(self, key: str, expected: int, step: str) -> None:
        entry = self._entries.get(key)
        version = entry.version if entry else 0
        if version != expected:
            raise StoreConflict(
                f"{key!r} is at version {version}, not {expected}", step=step
            )

    def _check_lease(self, lease: str) -> None:
        if lease not in self._leases:
            raise StoreConflict(f"lease {lease!r} has lapsed", step="lease")

    def _lose_answer(self, step: str) -> None:
        if self.faults.take_drop():
            raise StoreUnavailable("the answer was lost", step=step)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
