"""The agents that an entry knows, from the platform's list and from themselves."""

import asyncio
from collections.abc import Callable

from loguru import logger

from lagoontide.configuration.document import Document
from lagoontide.errors import PeerError, StoreError
from lagoontide.membership.messages import Hello, Welcome
from lagoontide.membership.peers import Peers
from lagoontide.platform.instances import Instance, Instances, InstanceState, Role
from lagoontide.routing.choose import Candidate
from lagoontide.routing.health import Health
from lagoontide.scheduling.load import Load
from lagoontide.wire.conn import Conn

__all__ = ["Connect", "Directory", "Link"]

HEARTBEAT_S = 1.0
LIST_INTERVAL_S = 2.0
MISSED_HEARTBEATS = 2

Connect = Callable[[str], Conn]


class Link:
    """One agent as this entry sees it, with a task that keeps in touch.

    Attributes
    ----------
    incarnation : str
        The agent's process; empty before its first word.
    sent : int
        Calls of this entry that are under way there.
    sent_since : int
        Those sent since the last word of its load.
    """

    def __init__(self, instance: Instance, conn: Conn) -> None:
        self.instance = instance
        self.conn = conn
        self.incarnation = ""
        self.load = Load()
        self.load_at = 0.0
        self.sent = 0
        self.sent_since = 0
        self.health = Health()
        self.is_leaving = False
        self.missed = 0
        self._task = asyncio.create_task(self._keep_in_touch(), name=instance.name)

    @property
    def name(self) -> str:
        """Name of the agent's instance."""
        return self.instance.name

    @property
    def is_usable(self) -> bool:
        """Whether new work may go there."""
        return (
            bool(self.incarnation)
            and not self.is_leaving
            and self.instance.state is InstanceState.LIVE
            and self.missed < MISSED_HEARTBEATS
        )

    def observe(self, load: Load) -> None:
        """Take the load that came with a message."""
        self.load = load
        self.load_at = asyncio.get_running_loop().time()
        self.sent_since = 0

    def to_candidate(self, now: float) -> Candidate:
        """Return the link as routing sees it."""
        return Candidate(
            name=self.name,
            failure_domain=self.instance.failure_domain,
            queued=self.load.queued,
            running=self.load.running,
            limit=max(1, self.load.limit),
            age=now - self.load_at,
            sent=self.sent,
            service_time=self.load.service_time,
            sent_since=self.sent_since,
            ratio=self.health.ratio,
        )

    def close(self) -> None:
        """End the task and the connection."""
        self._task.cancel()
        self.conn.close()

    async def _keep_in_touch(self) -> None:
        while True:
            try:
                await self._beat()
            except PeerError as exc:
                self.missed += 1
                logger.bind(peer=self.name, step="heartbeat").warning("{}", exc)
                await asyncio.sleep(HEARTBEAT_S)

    async def _beat(self) -> None:
        """Say hello and take what the agent says until the next beat is due."""
        loop = asyncio.get_running_loop()
        end = loop.time() + HEARTBEAT_S
        answered = False
        with await self.conn.open(Hello()) as exchange:
            while (left := end - loop.time()) > 0:
                try:
                    welcome = await exchange.next(left)
                except PeerError:
                    break
                answered = True
                self.missed = 0
                self._apply(welcome)
        if not answered:
            self.missed += 1

    def _apply(self, welcome: Welcome) -> None:
        if welcome.incarnation != self.incarnation:
            logger.bind(peer=self.name).debug("incarnation {}", welcome.incarnation)
        self.incarnation = welcome.incarnation
        self.is_leaving = welcome.leaving
        self.observe(welcome.load)


class Directory:
    """The links of an entry, by service.

    Attributes
    ----------
    peers : Peers
        The other entries.
    """

    def __init__(self, instances: Instances, connect: Connect) -> None:
        self._instances = instances
        self._connect = connect
        self._links: dict[str, Link] = {}
        self.peers = Peers(connect)
        self._draining: frozenset[str] = frozenset()

    @property
    def links(self) -> tuple[Link, ...]:
        """All links."""
        return tuple(self._links.values())

    def usable(self, service: str) -> list[Link]:
        """Return the links of a service that may be given new work."""
        return [
            link
            for link in self._links.values()
            if link.instance.service == service
            and link.is_usable
            and link.name not in self._draining
        ]

    def update(self, document: Document) -> None:
        """Take the drain marks of a new document."""
        self._draining = frozenset(
            name for service in document.services.values() for name in service.draining
        )

    async def follow(self) -> None:
        """Keep to the platform's list until cancelled."""
        while True:
            try:
                self.apply(await self._instances.list())
            except StoreError as exc:
                logger.bind(step="instances").warning("{}", exc)
            await asyncio.sleep(LIST_INTERVAL_S)

    def apply(self, instances: tuple[Instance, ...]) -> None:
        """Open links to new agents and close those to agents that are gone."""
        agents = {item.name: item for item in instances if item.role is Role.AGENT}
        for name in self._links.keys() - agents.keys():
            self._links.pop(name).close()
        for name, instance in agents.items():
            link = self._links.get(name)
            if link is not None and link.instance.address == instance.address:
                link.instance = instance
                continue
            if link is not None:
                link.close()
            self._links[name] = Link(instance, self._connect(instance.address))
        self.peers.apply(instances)

    def close(self) -> None:
        """Close all links."""
        self.peers.close()
        for link in self._links.values():
            link.close()
        self._links.clear()
