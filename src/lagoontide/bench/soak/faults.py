"""Faults of a soak, drawn from a seed, and how they are brought about."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lagoontide.bench.soak.checker import Changes
from lagoontide.bench.soak.proxy import Harm, Proxy
from lagoontide.platform.standins.deployment import write_configuration
from lagoontide.platform.standins.store import StoreEndpoint, StoreFault, StoreStandin
from lagoontide.platform.standins.targets import TargetFault, TargetStandin

__all__ = ["Faults", "Hurt"]

PAUSE_S = (0.05, 0.5)
LASTS_S = (0.2, 2.0)
TARGETS_KEPT = 1

Hurt = Callable[[random.Random], str]


@dataclass(slots=True)
class Faults:
    """Brings faults about, several at a time.

    Attributes
    ----------
    hurts : sequence of callable
        Further faults; each does one and returns what it did.
    done : list of str
        What was done, for the report.
    """

    store: StoreStandin
    store_endpoints: Sequence[StoreEndpoint]
    targets: list[TargetStandin]
    proxies: Sequence[Proxy]
    rng: random.Random
    keys: list[str]
    hurts: Sequence[Hurt] = ()
    changes: Changes = field(default_factory=Changes)
    done: list[str] = field(default_factory=list)
    _version: int = 1
    _ends: list[asyncio.TimerHandle] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Do faults for some time, then heal everything."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        steps = [
            self._trouble_store,
            self._compact,
            self._spoil_target,
            self._spoil_target,
            self._take_target_away,
            self._change_configuration,
            self._revoke,
            *([self._harm_link] * bool(self.proxies)),
            *(lambda hurt=hurt: hurt(self.rng) for hurt in self.hurts),
        ]
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            step = self.rng.choice(steps)
            done = step()
            if done:
                self.done.append(done)
        self.heal()

    def heal(self) -> None:
        """End every fault."""
        for end in self._ends:
            end.cancel()
        for endpoint in self.store_endpoints:
            endpoint.trouble = StoreFault.NONE
        for target in self.targets:
            target.faults_left = 0
        for proxy in self.proxies:
            proxy.harm = Harm.NONE
            proxy.cut()

    def _later(self, heal: Callable[[], None]) -> None:
        wait = self.rng.uniform(*LASTS_S)
        self._ends.append(asyncio.get_running_loop().call_later(wait, heal))

    def _trouble_store(self) -> str:
        endpoint = self.rng.choice(self.store_endpoints)
        endpoint.trouble = self.rng.choice(list(StoreFault))
        self._later(lambda: setattr(endpoint, "trouble", StoreFault.NONE))
        return f"store {endpoint.trouble}"

    def _compact(self) -> str:
        self.store.compact()
        return "history dropped"

    def _spoil_target(self) -> str:
        target = self.rng.choice(self.targets)
        target.fault = self.rng.choice(list(TargetFault))
        target.faults_left = self.rng.randint(1, 4)
        target.events_before_fault = self.rng.randint(0, 4)
        return f"target {target.fault}"

    def _take_target_away(self) -> str:
        target = self.rng.choice(self.targets)
        others = [
            item
            for item in self.targets
            if item.service == target.service and item.id not in self.changes.left_at
        ]
        if target not in others or len(others) <= TARGETS_KEPT:
            return ""
        target.register(self.store, state="draining")
        self.changes.left_at[target.id] = asyncio.get_running_loop().time()
        return "target leaves"

    def _change_configuration(self) -> str:
        self._version += self.rng.randint(1, 4)
        write_configuration(self.store, self._version, self._keys())
        return "configuration"

    def _revoke(self) -> str:
        left = self._keys()
        if len(left) < 2:
            return ""
        key = self.rng.choice(left)
        self.changes.revoked_at[key] = asyncio.get_running_loop().time()
        return self._change_configuration() + ", a key taken away"

    def _keys(self) -> list[str]:
        return [key for key in self.keys if key not in self.changes.revoked_at]

    def _harm_link(self) -> str:
        proxy = self.rng.choice(self.proxies)
        proxy.harm = self.rng.choice(list(Harm))
        if self.rng.random() < 0.3:
            proxy.cut()
        self._later(lambda: self._heal_link(proxy))
        return f"link {proxy.harm}"

    @staticmethod
    def _heal_link(proxy: Proxy) -> None:
        if proxy.harm in (Harm.SILENCE, Harm.ONE_WAY):
            # Bytes have been lost; nothing sound can follow on these connections.
            proxy.cut()
        proxy.harm = Harm.NONE
