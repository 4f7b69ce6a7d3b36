"""Releases in series: targets of a newer version start beside those of the older."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count

from lagoontide.bench.soak.crashes import is_crashing_run
from lagoontide.bench.soak.faults import Faults
from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.standins.signals import SignallingTarget
from lagoontide.platform.standins.targets import TargetStandin

__all__ = ["KEPT_WITH_RELEASES", "Releases"]

SERVICE = "engine"
NEW_TARGETS = 2
# Targets of each service that do not leave otherwise.
KEPT_WITH_RELEASES = 2
EVENTS = 6
PAUSE_S = (0.2, 1.0)
SIDE_BY_SIDE_S = (1.5, 3.0)
DRAINING_S = (0.3, 1.5)
KILL_SHARE = 0.6


@dataclass(slots=True)
class Releases:
    """Releases new versions of the engines, one after the other.

    It draws from numbers of its own, so that the other faults of a seed stay the same.

    Attributes
    ----------
    start : callable
        Starts a target and registers it.
    kill_all : callable
        Kills all entries at once, and returns what it did.
    """

    faults: Faults
    rng: random.Random
    start: Callable[[TargetStandin], Awaitable[None]]
    kill_all: Callable[[], str] = lambda: ""

    async def run(self, seconds: float) -> None:
        """Release versions for some time."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        for number in count(1):
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            if loop.time() >= ends_at:
                return
            old = self._serving()
            for place in range(NEW_TARGETS):
                name = f"eng-r{number}-{place}"
                target = SignallingTarget(
                    name, SERVICE, events=EVENTS, version=f"r{number}"
                )
                target.crashes_on = is_crashing_run
                await self.start(target)
                self.faults.targets.append(target)
            self.faults.done.append(f"release r{number}")
            wait = self.rng.uniform(*SIDE_BY_SIDE_S)
            kill_after = self.rng.uniform(0.0, wait)
            await asyncio.sleep(kill_after)
            if self.rng.random() < KILL_SHARE:
                self.faults.done.append(self.kill_all())
            await asyncio.sleep(wait - kill_after)
            await self._retire(old)

    def _serving(self) -> list[TargetStandin]:
        return [
            target
            for target in self.faults.targets
            if target.service == SERVICE
            and target.name not in self.faults.changes.gone_at
        ]

    async def _retire(self, old: list[TargetStandin]) -> None:
        loop = asyncio.get_running_loop()
        retired = []
        for target in old:
            serving = self._serving()
            if target in serving and len(serving) > NEW_TARGETS:
                target.register(self.faults.store, state="draining")
                self.faults.changes.left_at[target.name] = loop.time()
                retired.append(target)
                await asyncio.sleep(self.rng.uniform(*DRAINING_S))
        for target in retired:
            self.faults.store.delete(TARGETS_PREFIX + target.id)
            self.faults.targets.remove(target)
            self.faults.removed.append(target)
            await target.close()
            target.on_crash()
