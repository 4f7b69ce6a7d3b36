"""An agent with its part in the spreading of versions, before it is served."""

import asyncio
import random
from typing import Any

from lagoontide.agent.service import Agent
from lagoontide.configuration.document import decode_document
from lagoontide.membership.announce import announce
from lagoontide.membership.listing import follow_list
from lagoontide.metrics import Metrics
from lagoontide.protocol import make_protocol_codec
from lagoontide.spreading.messages import MESSAGES as SPREADING
from lagoontide.spreading.node import Spreader
from lagoontide.store.instances import Instance, InstanceSource, Role
from lagoontide.store.kv import KeyValueStore
from lagoontide.wire.conn import Conn, Context, Identity, connect
from lagoontide.wire.server import Send, bind

__all__ = ["AgentParts"]


class AgentParts:
    """An agent and what it stands on.

    Parameters
    ----------
    address : str
        ``IP:PORT`` for entries and other agents.

    Attributes
    ----------
    server : Server
        Its socket, already bound.
    """

    def __init__(
        self,
        agent: Agent,
        failure_domain: str,
        address: str,
        ctx: Context,
        store: KeyValueStore,
        instances: InstanceSource,
        metrics: Metrics,
    ) -> None:
        self.agent = agent
        self.codec = make_protocol_codec()
        self.identity = Identity(agent.name)
        self._ctx = ctx
        self._failure_domain = failure_domain
        self._instances = instances
        self._listed: tuple[Instance, ...] = ()
        self._first_list = asyncio.Event()
        self._metrics = metrics
        self.spreader = Spreader(
            self.identity,
            failure_domain,
            store,
            self._connect,
            self._adopt,
        )
        self.server = bind(
            ctx, f"tcp://{address}", self.codec, self.identity, self._handle
        )

    async def _announce(self, rng: random.Random) -> None:
        await self._first_list.wait()
        instance = Instance(
            self.agent.name,
            Role.AGENT,
            self.server.address,
            self._failure_domain,
            self.agent.service,
        )
        await announce(instance, self._listed, self._connect, rng)

    def _apply(self, instances: tuple[Instance, ...]) -> None:
        self._listed = instances
        self.spreader.apply(instances)
        self._first_list.set()

    async def follow(self) -> None:
        """Keep to the platform's list and the newest version until cancelled."""
        rng = random.Random(self.agent.name)
        await asyncio.gather(
            follow_list(self._instances, self._apply, rng),
            self.spreader.run(),
            self._announce(rng),
        )

    def close(self) -> None:
        """Close the socket and the connections."""
        self.server.close()
        self.spreader.close()

    def _connect(self, address: str) -> Conn:
        return connect(self._ctx, address, self.codec, self.identity)

    def _adopt(self, version: int, data: bytes) -> None:
        decode_document(data)
        self._metrics.gauge("configuration.version", version)

    async def _handle(self, peer: str, message: Any, send: Send) -> None:
        if isinstance(message, SPREADING):
            await self.spreader.handle(peer, message, send)
        else:
            await self.agent.handle(peer, message, send)
