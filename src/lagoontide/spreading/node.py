"""One process's part in spreading versions: watch, pass on, compare and pull."""

import asyncio
import math
import random
from collections.abc import Callable

from loguru import logger

from lagoontide.configuration.source import CONFIGURATION_KEY
from lagoontide.errors import PeerError, StoreError
from lagoontide.membership.pace import spread
from lagoontide.spreading.copies import Adopt, Copies
from lagoontide.spreading.messages import Changes, Compare, Fetch, Offer, State
from lagoontide.spreading.peers import Peers
from lagoontide.spreading.pull import compare
from lagoontide.spreading.roles import Roles, assign
from lagoontide.store.instances import Instance
from lagoontide.store.kv import KeyValueStore
from lagoontide.tasks import TaskSet
from lagoontide.wire.conn import Conn, Identity
from lagoontide.wire.server import Send

__all__ = ["Spreader"]

WATCH_S = 20.0
RETRY_S = 1.0
COMPARE_S = 1.0
PULL_PAUSE_S = 0.2
LIST_WAIT_S = 1.0
# Reads of the store per second when all processes start at the same time.
STARTS_PER_S = 1000.0
BEHIND_S = 10.0


class Spreader:
    """Keeps a process at the newest version, through the store or its peers.

    Parameters
    ----------
    identity : Identity
        Its version is what this process's messages are stamped with.
    adopt : callable
        Puts a version in force.
    stale_after : float
        Seconds without word of the store after which this process is not
        current; 0 means that it serves its last version for any time.
    """

    def __init__(
        self,
        identity: Identity,
        failure_domain: str,
        store: KeyValueStore,
        connect: Callable[[str], Conn],
        adopt: Adopt,
        stale_after: float = 0.0,
    ) -> None:
        self.identity = identity
        self.copies = Copies(adopt)
        # Without a list nobody is known who could watch for this process.
        self.roles = Roles(watches=True, children=(), view=())
        self._domain = failure_domain
        self._store = store
        self._peers = Peers(connect)
        self._stale_after = stale_after
        self._rng = random.Random(identity.name)
        self._loop = asyncio.get_running_loop()
        self._instances: tuple[Instance, ...] = ()
        self._is_listed = asyncio.Event()
        self._roles_changed = asyncio.Event()
        self._behind = asyncio.Event()
        self._wanted = 0
        self._behind_since = math.inf
        self._source = ""
        self._confirmed_at = -math.inf
        self._sends = TaskSet()
        identity.on_version = self.note_version

    @property
    def version(self) -> int:
        """Version in force."""
        return self.copies.version

    @property
    def age(self) -> float:
        """Seconds since the store confirmed the version held."""
        return self._loop.time() - self._confirmed_at

    @property
    def is_current(self) -> bool:
        """Whether this process may go on serving with what it holds.

        May be read from any thread.
        """
        now = self._loop.time()
        if not self.version or now - self._behind_since > BEHIND_S:
            return False
        return not self._stale_after or self.age <= self._stale_after

    def apply(self, instances: tuple[Instance, ...]) -> None:
        """Take the platform's list."""
        self._is_listed.set()
        if instances == self._instances:
            return
        self._instances = instances
        self.roles = assign(self.identity.name, self._domain, instances)
        self._peers.update(instances, (*self.roles.children, *self.roles.view))
        self._roles_changed.set()

    def note_version(self, peer: str, version: int) -> None:
        """Take note of the version on a message; a newer one is pulled."""
        if version <= max(self.version, self._wanted):
            return
        if not self._behind.is_set():
            self._behind_since = self._loop.time()
        self._wanted = version
        self._source = peer
        self._behind.set()

    async def handle(self, peer: str, message: object, send: Send) -> None:
        """Answer one message of a peer."""
        match message:
            case Compare(version=version, digest=digest, age=age):
                self._note_age(version, digest, age)
                await send(self.copies.answer(version, self.age))
            case Fetch(version=version, offset=offset):
                piece = self.copies.cut(version, offset)
                await send(piece or self.copies.answer(self.version, self.age))
            case Changes(steps=steps, age=age) if steps:
                if self.copies.take_steps(steps):
                    self._settle()
                self._note_age(steps[-1].version, steps[-1].digest, age)
                self.note_version(peer, steps[-1].version)
            case Offer(version=version):
                self.note_version(peer, version)
            case _:
                logger.bind(peer=peer).warning("unexpected {!r:.80}", message)

    async def run(self) -> None:
        """Take part until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._start())
            tasks.create_task(self._watch())
            tasks.create_task(self._compare())
            tasks.create_task(self._pull())

    def close(self) -> None:
        """Close the connections."""
        self._peers.close()

    async def _start(self) -> None:
        """Read the store once, unless a peer answers first."""
        await self._wait_listed()
        await asyncio.sleep(self._rng.random() * len(self._instances) / STARTS_PER_S)
        while not self.version:
            try:
                entry = await self._store.get(CONFIGURATION_KEY)
                if entry is not None:
                    self._take(entry.version, entry.value)
            except StoreError as exc:
                logger.bind(step="spreading").warning("store: {}", exc)
            await asyncio.sleep(spread(RETRY_S, self._rng))

    async def _wait_listed(self) -> None:
        try:
            async with asyncio.timeout(LIST_WAIT_S):
                await self._is_listed.wait()
        except TimeoutError:
            logger.bind(step="spreading").info("no list of instances yet")

    async def _watch(self) -> None:
        """Watch the store while this process is one of its domain's watchers."""
        await self._wait_listed()
        while True:
            if not self.roles.watches:
                self._roles_changed.clear()
                await self._roles_changed.wait()
                continue
            try:
                before = self.version
                entry = await self._store.watch(CONFIGURATION_KEY, before, WATCH_S)
            except StoreError as exc:
                logger.bind(step="spreading").warning("store: {}", exc)
                await asyncio.sleep(spread(RETRY_S, self._rng))
                continue
            if entry is not None:
                self._take(entry.version, entry.value)
                if self.version == before:
                    # An old answer, or no document: the next may be as useless.
                    await asyncio.sleep(spread(RETRY_S, self._rng))
            elif before == self.version:
                self._confirmed_at = self._loop.time()

    async def _compare(self) -> None:
        """Compare with one peer of the view after the other, at random."""
        await self._is_listed.wait()
        while True:
            if self.version:
                await asyncio.sleep(spread(COMPARE_S, self._rng))
            if self.roles.view:
                await self._ask(self._rng.choice(self.roles.view))
            if not self.version:
                await asyncio.sleep(spread(PULL_PAUSE_S, self._rng))

    async def _pull(self) -> None:
        """Fetch a version that is known of, first from who has spoken of it."""
        while True:
            await self._behind.wait()
            if self.version >= self._wanted:
                self._settle()
                continue
            source = self._peers.find(self._source)
            if source is not None:
                await self._ask(source)
            if self.version < self._wanted and self.roles.view:
                await self._ask(self._rng.choice(self.roles.view))
            if self.version < self._wanted:
                await asyncio.sleep(spread(PULL_PAUSE_S, self._rng))

    async def _ask(self, instance: Instance) -> None:
        """Compare with a peer and take what it has newer."""
        try:
            conn = self._peers.get(instance)
            answer = await compare(conn, self.copies, self.age)
        except PeerError as exc:
            logger.bind(step="spreading", peer=instance.name).debug("{}", exc)
            return
        finally:
            self._settle()
        match answer:
            case Changes(steps=steps) if steps:
                self._note_age(steps[-1].version, steps[-1].digest, answer.age)
            case State() | Offer():
                self._note_age(answer.version, answer.digest, answer.age)

    def _take(self, version: int, data: bytes) -> None:
        """Take what the store says; an older answer changes nothing."""
        if self.copies.take(version, data):
            self._settle()
        if version == self.version:
            self._confirmed_at = self._loop.time()

    def _note_age(self, version: int, digest: int, age: float) -> None:
        if version != self.version:
            return
        if digest != self.copies.copy.digest:
            self.copies.refused += 1
            logger.bind(step="spreading").error(
                "version {} has digest {} here and {} at a peer",
                version,
                self.copies.copy.digest,
                digest,
            )
        else:
            now = self._loop.time()
            self._confirmed_at = max(self._confirmed_at, now - max(0.0, age))

    def _settle(self) -> None:
        """Stamp messages with the version in force and pass it on."""
        rises = self.version > self.identity.version
        self.identity.version = self.version
        if self.version >= self._wanted:
            self._behind.clear()
            self._behind_since = math.inf
        if rises:
            for child in self.roles.children:
                self._sends.start(self._pass_on(child))

    async def _pass_on(self, child: Instance) -> None:
        """Tell a child of the newest step; it pulls what it lacks besides."""
        try:
            message = self.copies.answer_newest(self.age)
            await self._peers.get(child).tell(message)
        except PeerError as exc:
            logger.bind(step="spreading", peer=child.name).debug("{}", exc)
