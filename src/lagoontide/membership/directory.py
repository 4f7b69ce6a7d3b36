"""The agents that an entry talks to: a bounded view of the platform's list."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable

from lagoontide.configuration.document import Document
from lagoontide.membership.link import Link
from lagoontide.membership.listing import OnList, follow_list
from lagoontide.membership.messages import Joined, Noted
from lagoontide.membership.pace import heartbeat_interval, start_delay
from lagoontide.membership.peers import Peers
from lagoontide.membership.subset import SUBSET_SIZE, pick_subset
from lagoontide.membership.sums import Cell, estimate_cells
from lagoontide.store.instances import Instance, InstanceSource, Role
from lagoontide.wire.conn import Conn
from lagoontide.wire.server import Send

__all__ = ["Connect", "Directory"]


# How long an agent that joined is kept although the list does not show it.
JOINED_S = 60.0

Connect = Callable[[str], Conn]


class Directory:
    """The links of an entry, by service.

    Parameters
    ----------
    name : str
        Name of this process, which decides its view.
    subset : int
        Agents of each service that it talks to.

    Attributes
    ----------
    peers : Peers
        The other entries.
    """

    def __init__(
        self,
        instances: InstanceSource,
        connect: Connect,
        name: str = "",
        subset: int = SUBSET_SIZE,
    ) -> None:
        self._instances = instances
        self._connect = connect
        self._name = name
        self._subset = subset
        self._rng = random.Random(name)
        self._links: dict[str, Link] = {}
        self._listed: tuple[Instance, ...] = ()
        self._listeners: list[OnList] = []
        self._joined: dict[str, tuple[Instance, float]] = {}
        self.peers = Peers(connect)
        self._draining: frozenset[str] = frozenset()

    @property
    def links(self) -> tuple[Link, ...]:
        """All links."""
        return tuple(self._links.values())

    @property
    def listed(self) -> tuple[Instance, ...]:
        """The platform's list as it was last read."""
        return self._listed

    def conn(self, instance: Instance) -> Conn:
        """Return a connection to an agent, whether it is in the view or not."""
        link = self._links.get(instance.name)
        if link is not None and link.instance.address == instance.address:
            return link.conn
        return self.peers.conn(instance.address)

    @property
    def cells(self) -> tuple[Cell, ...]:
        """Sums by service and failure domain."""
        return estimate_cells(self._listed, self._links.values())

    def usable(self, service: str) -> list[Link]:
        """Return the links of a service that may be given new work."""
        return [
            link
            for link in self._links.values()
            if link.instance.service == service
            and link.is_usable
            and link.name not in self._draining
        ]

    def subscribe(self, listener: OnList) -> None:
        """Call ``listener`` with each list that was read."""
        self._listeners.append(listener)

    def update(self, document: Document) -> None:
        """Take the drain marks of a new document."""
        self._draining = frozenset(
            name for service in document.services.values() for name in service.draining
        )

    async def follow(self) -> None:
        """Keep to the platform's list until cancelled."""
        await follow_list(self._instances, self.apply, self._rng)

    def apply(self, instances: tuple[Instance, ...]) -> None:
        """Open links to agents new in the view and close those that left it."""
        instances = self._add_joined(instances)
        if instances != self._listed:
            self._listed = instances
            self._update(self._pick(instances))
            self.peers.apply(instances)
        for listener in self._listeners:
            listener(instances)

    async def handle(self, peer: str, message: Joined, send: Send) -> None:
        """Take an agent's word that it is there, before the list shows it."""
        now = asyncio.get_running_loop().time()
        self._joined[message.instance.name] = (message.instance, now + JOINED_S)
        self.apply(self._listed)
        await send(Noted())

    def close(self) -> None:
        """Close all links."""
        self.peers.close()
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _add_joined(self, instances: tuple[Instance, ...]) -> tuple[Instance, ...]:
        """Return the list with the agents that joined a short while ago."""
        if not self._joined:
            return instances
        now = asyncio.get_running_loop().time()
        names = {item.name for item in instances}
        self._joined = {
            name: (item, until)
            for name, (item, until) in self._joined.items()
            if until > now
        }
        fresh = (item for item, _ in self._joined.values() if item.name not in names)
        return (*instances, *fresh)

    def _pick(self, instances: tuple[Instance, ...]) -> dict[str, Instance]:
        pools: dict[str, list[Instance]] = defaultdict(list)
        for item in instances:
            if item.role is Role.AGENT:
                pools[item.service].append(item)
        return {
            item.name: item
            for pool in pools.values()
            for item in pick_subset(self._name, pool, self._subset)
        }

    def _update(self, agents: dict[str, Instance]) -> None:
        for name in self._links.keys() - agents.keys():
            self._links.pop(name).close()
        for name, instance in agents.items():
            link = self._links.get(name)
            if link is not None and link.instance.address == instance.address:
                link.instance = instance
                continue
            if link is not None:
                link.close()
            self._links[name] = self._open(instance, len(agents))

    def _open(self, instance: Instance, links: int) -> Link:
        return Link(
            instance,
            self._connect(instance.address),
            lambda: heartbeat_interval(len(self._links)),
            self._rng,
            start_delay(links, self._rng),
        )
