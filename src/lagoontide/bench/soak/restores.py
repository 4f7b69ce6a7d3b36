"""A store that is restored from a copy, after which others write again."""

import asyncio
import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from lagoontide.bench.soak.faults import Faults
from lagoontide.platform.configuration import CONFIGURATION_KEY
from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.standins.store import StoreCopy, StoreFault, StoreStandin
from lagoontide.platform.standins.targets import TargetStandin

__all__ = ["Restores"]

COPY_INTERVAL_S = 0.3
# Changes by others in that time.
OTHER_WRITES = 10
MAX_COPIES = 12
PAUSE_S = (1.0, 3.0)
AWAY_S = (0.05, 0.4)
# The operator and the targets write again within about two seconds.
REWRITE_S = (0.05, 1.5)


@dataclass(slots=True)
class Restores:
    """Restores the store now and then, from a copy of a few seconds before.

    Other clients write as well, so that its revisions go back far. The last restore is
    at the end: what is written later has lower revisions than what entries know.

    It draws from numbers of its own, so that the other faults of a seed stay the same.
    """

    faults: Faults
    rng: random.Random
    done: int = 0
    _copies: deque[StoreCopy] = field(default_factory=lambda: deque(maxlen=MAX_COPIES))

    @property
    def _store(self) -> StoreStandin:
        return self.faults.store

    @property
    def _targets(self) -> Sequence[TargetStandin]:
        return self.faults.targets

    async def run(self, seconds: float) -> None:
        """Take copies and restore them for some time; at the end all is written."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        next_at = loop.time() + self.rng.uniform(*PAUSE_S)
        while loop.time() < ends_at:
            self._copies.append(self._store.copy())
            for number in range(OTHER_WRITES):
                self._store.put("other/key", b"%d" % number)
            await asyncio.sleep(COPY_INTERVAL_S)
            if loop.time() >= next_at:
                await self._restore(self.rng.choice(self._copies))
                next_at = loop.time() + self.rng.uniform(*PAUSE_S)

        await self._restore(self._copies[0])

    async def _restore(self, copy: StoreCopy) -> None:
        lost = self._store.value_of(CONFIGURATION_KEY)
        for endpoint in self.faults.store_endpoints:
            endpoint.trouble = StoreFault.RESET
        await asyncio.sleep(self.rng.uniform(*AWAY_S))
        # What was written while it was away is lost as well, but for the operator's.
        lost = self._store.value_of(CONFIGURATION_KEY) or lost
        self._store.restore(copy)
        self._copies.clear()
        self._copies.append(copy)
        self.done += 1
        for endpoint in self.faults.store_endpoints:
            endpoint.trouble = StoreFault.NONE
        await asyncio.sleep(self.rng.uniform(*REWRITE_S))
        newer = self._store.value_of(CONFIGURATION_KEY)
        if newer == copy.value_of(CONFIGURATION_KEY):
            self._store.put(CONFIGURATION_KEY, lost)
        for target in self._targets:
            target.write_again()
        names = {target.id for target in self._targets}
        for key in self._store.keys(TARGETS_PREFIX):
            if key.removeprefix(TARGETS_PREFIX) not in names:
                self._store.delete(key)
