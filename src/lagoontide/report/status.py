"""What an entry says of itself, its pools and the store."""

import asyncio
from collections.abc import Iterable
from typing import Protocol

import msgspec

from lagoontide.configuration.holder import Holder
from lagoontide.configuration.source import CONFIGURATION_KEY
from lagoontide.errors import StoreError
from lagoontide.membership.directory import Directory
from lagoontide.routing.health import Standing
from lagoontide.store.instances import InstanceState
from lagoontide.store.kv import KeyValueStore

__all__ = ["Pool", "Status", "StatusMaker", "StoreHealth", "TargetStatus"]

STORE_TIMEOUT_S = 2.0
STORE_CHECK_INTERVAL_S = 1.0


class StoreHealth(msgspec.Struct, frozen=True):
    """Whether the store answered a read, and after how many seconds."""

    answers: bool
    elapsed: float
    detail: str = ""


class TargetStatus(msgspec.Struct, frozen=True):
    """A target as this entry sees it.

    Attributes
    ----------
    load_age : float
        Seconds since its agent last told its load.
    sent : int
        Calls of this entry that are under way there.
    suspect : bool
        Whether it is put out as a straggler and only probed.
    slowness : float
        Its recent service times relative to those of its pool.
    missed : int
        Heartbeats in a row without an answer.
    """

    name: str
    failure_domain: str
    usable: bool
    leaving: bool
    suspect: bool
    queued: int
    running: int
    limit: int
    sent: int
    missed: int
    slowness: float
    service_time: float
    load_age: float


class Pool(msgspec.Struct, frozen=True):
    """The targets of a service that this entry may use.

    Attributes
    ----------
    wanted : int
        Replicas by the configuration.
    """

    service: str
    wanted: int
    targets: tuple[TargetStatus, ...]

    @property
    def usable(self) -> int:
        """Number of targets that may be given work."""
        return sum(target.usable for target in self.targets)


class Status(msgspec.Struct, frozen=True):
    """State of an entry."""

    entry: str
    failure_domain: str
    ready: bool
    leaving: bool
    version: int
    uptime: float
    store: StoreHealth
    pools: tuple[Pool, ...]

    def problems(self) -> Iterable[str]:
        """Yield what an operator should look at."""
        if not self.ready:
            yield "leaving" if self.leaving else "not ready"
        if not self.store.answers:
            yield f"store: {self.store.detail}"
        for pool in self.pools:
            if pool.wanted and not pool.usable:
                yield f"pool {pool.service}: no usable target"
            for target in pool.targets:
                if not target.usable and not target.leaving:
                    yield f"target {target.name}: not usable"
                if target.suspect:
                    yield f"target {target.name}: suspected"


class Serving(Protocol):
    """The part of an entry that status needs."""

    is_leaving: bool

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""


class StatusMaker:
    """Makes the status of an entry; reads the store at most once a second."""

    def __init__(
        self,
        name: str,
        failure_domain: str,
        serving: Serving,
        holder: Holder,
        directory: Directory,
        store: KeyValueStore,
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._serving = serving
        self._holder = holder
        self._directory = directory
        self._store = store
        self._started = asyncio.get_running_loop().time()
        self._checked_at = float("-inf")
        self._health = StoreHealth(False, 0.0, "not asked yet")

    async def make(self) -> Status:
        """Return the status now."""
        await self._check_store()
        now = asyncio.get_running_loop().time()
        return Status(
            entry=self._name,
            failure_domain=self._failure_domain,
            ready=self._serving.is_ready,
            leaving=self._serving.is_leaving,
            version=self._holder.version,
            uptime=now - self._started,
            store=self._health,
            pools=tuple(self._make_pools(now)),
        )

    async def _check_store(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        if started - self._checked_at < STORE_CHECK_INTERVAL_S:
            return
        self._checked_at = started
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                await self._store.get(CONFIGURATION_KEY)
        except (StoreError, TimeoutError) as exc:
            detail = str(exc) or f"no answer in {STORE_TIMEOUT_S} s"
            self._health = StoreHealth(False, loop.time() - started, detail)
        else:
            self._health = StoreHealth(True, loop.time() - started)

    def _make_pools(self, now: float) -> Iterable[Pool]:
        services = self._holder.document.services if self._holder.is_ready else {}
        targets: dict[str, list[TargetStatus]] = {name: [] for name in services}
        for link in self._directory.links:
            candidate = link.to_candidate(now)
            targets.setdefault(link.instance.service, []).append(
                TargetStatus(
                    name=link.name,
                    failure_domain=candidate.failure_domain,
                    usable=link.is_usable,
                    leaving=link.is_leaving
                    or link.instance.state is InstanceState.LEAVING,
                    suspect=link.health.standing is Standing.OUT,
                    queued=candidate.queued,
                    running=candidate.running,
                    limit=candidate.limit,
                    sent=link.sent,
                    missed=link.missed,
                    slowness=link.health.ratio,
                    service_time=candidate.service_time,
                    load_age=candidate.age,
                )
            )
        for name, found in sorted(targets.items()):
            wanted = services[name].replicas if name in services else 0
            found.sort(key=lambda target: target.name)
            yield Pool(name, wanted, tuple(found))
