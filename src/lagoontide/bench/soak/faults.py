"""Faults of a soak, drawn from a seed, and how they are brought about."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from lagoontide.bench.soak.checker import Changes, NamedLimit
from lagoontide.bench.soak.proxy import Harm, Proxy
from lagoontide.platform.standins.deployment import write_configuration
from lagoontide.platform.standins.runs import TargetFault
from lagoontide.platform.standins.store import StoreEndpoint, StoreFault, StoreStandin
from lagoontide.platform.standins.targets import TargetStandin

__all__ = ["Faults", "Hurt"]

PAUSE_S = (0.05, 0.5)
LASTS_S = (0.2, 2.0)
TARGETS_KEPT = 1
# What targets name as their rate limit; the texts without a rate name none.
LIMITS = {"0": 0.0, "0.5": 0.5, "1.6": 1.6, "8": 8.0, "nan": None, "-1": None}
# The limit of one target of each service in the calm seconds at the end.
CALM_LIMIT = "0.5"

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
    removed : list of TargetStandin
        Targets that were in service and have ended.
    targets_kept : int
        Targets of each service that do not leave.
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
    removed: list[TargetStandin] = field(default_factory=list)
    targets_kept: int = TARGETS_KEPT
    _version: int = 1
    _ends: list[asyncio.TimerHandle] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Do faults for some time, then heal everything."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        steps = [
            self.trouble_store,
            self._compact,
            self._spoil_target,
            self._spoil_target,
            self._take_target_away,
            self._limit_target,
            self.change_configuration,
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

    @property
    def disturbs_entries(self) -> bool:
        """Whether entries are stopped, killed, paused or cut off."""
        return bool(self.hurts or self.proxies)

    def valid_keys(self) -> list[str]:
        """Return the keys that were not taken away."""
        return [key for key in self.keys if key not in self.changes.revoked_at]

    def heal(self) -> None:
        """End every fault."""
        for end in self._ends:
            end.cancel()
        for endpoint in self.store_endpoints:
            endpoint.trouble = StoreFault.NONE
        for target in self.targets:
            target.faults_left = 0
            self._end_limit(target)
        for proxy in self.proxies:
            proxy.harm = Harm.NONE
            proxy.cut()

    def _later(self, heal: Callable[[], None]) -> None:
        wait = self.rng.uniform(*LASTS_S)
        self._ends.append(asyncio.get_running_loop().call_later(wait, heal))

    def trouble_store(self) -> str:
        """Trouble one endpoint of the store for some time."""
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
        target.draw_silence(self.rng)
        return f"target {target.fault}"

    def _take_target_away(self) -> str:
        target = self.rng.choice(self.targets)
        if not self.can_spare(target):
            return ""
        target.register(self.store, state="draining")
        self.changes.left_at[target.name] = asyncio.get_running_loop().time()
        return "target leaves"

    def can_spare(self, target: TargetStandin) -> bool:
        """Return whether enough targets of its service stay if a target goes."""
        gone = self.changes.gone_at
        others = [
            item
            for item in self.targets
            if item.service == target.service and item.name not in gone
        ]
        return target in others and len(others) > self.targets_kept

    def _limit_target(self) -> str:
        target = self.rng.choice(self.targets)
        if target.rate_limit:
            self._end_limit(target)
            return "target names no limit"
        text, rate = self.rng.choice(list(LIMITS.items()))
        target.rate_limit = text
        # Entries that are stopped, killed, paused or cut off are excused (issue 31).
        if rate is not None and not self.disturbs_entries:
            self._record_limit(target, rate)
        return f"target names limit {text}"

    def limit_for_calm(self) -> None:
        """Let one target of each service that has others name a limit."""
        ready: dict[str, list[TargetStandin]] = {}
        for target in self.targets:
            if target.name not in self.changes.gone_at:
                ready.setdefault(target.service, []).append(target)
        for target, *others in ready.values():
            if others:
                target.rate_limit = CALM_LIMIT
                self._record_limit(target, float(CALM_LIMIT))

    def add_route(self) -> None:
        """Write a configuration that also takes requests at ``/new/``."""
        self._version += 1
        write_configuration(
            self.store, self._version, self.valid_keys(), has_new_route=True
        )

    def _record_limit(self, target: TargetStandin, rate: float) -> None:
        now = asyncio.get_running_loop().time()
        self.changes.limits.append(NamedLimit(target.name, rate, now))

    def _end_limit(self, target: TargetStandin) -> None:
        now = asyncio.get_running_loop().time()
        if LIMITS.get(target.rate_limit) is not None:
            self.changes.unlimited_at[target.name] = now
        target.rate_limit = ""
        for limit in self.changes.limits:
            if limit.target == target.name:
                limit.until = min(limit.until, now)

    def change_configuration(self) -> str:
        """Write a newer configuration."""
        self._version += self.rng.randint(1, 4)
        write_configuration(self.store, self._version, self.valid_keys())
        return "configuration"

    def _revoke(self) -> str:
        left = self.valid_keys()
        if len(left) < 2:
            return ""
        key = self.rng.choice(left)
        self.changes.revoked_at[key] = asyncio.get_running_loop().time()
        return self.change_configuration() + ", a key taken away"

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
