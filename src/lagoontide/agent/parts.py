"""An agent with its part in the spreading of versions, before it is served."""

import asyncio
import random
from typing import Any

from lagoontide.agent.service import Agent
from lagoontide.configuration.document import decode_document
from lagoontide.membership.listing import follow_list
from lagoontide.metrics import Metrics
from lagoontide.platform.instances import Instances
from lagoontide.platform.store import Store
from lagoontide.protocol import make_protocol
from lagoontide.spreading.messages import MESSAGES as SPREADING
from lagoontide.spreading.node import Spreader
from lagoontide.wire.conn import Context, Identity, connect
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
        store: Store,
        instances: Instances,
        metrics: Metrics,
        stale_after: float = 0.0,
    ) -> None:
        self.agent = agent
        self.codec = make_protocol()
        self.identity = Identity(agent.name)
        self._instances = instances
        self._metrics = metrics
        self.spreader = Spreader(
            self.identity,
            failure_domain,
            store,
            lambda peer: connect(ctx, peer, self.codec, self.identity),
            self._adopt,
            stale_after,
        )
        self.server = bind(
            ctx, f"tcp://{address}", self.codec, self.identity, self._handle
        )

    async def follow(self) -> None:
        """Keep to the platform's list and the newest version until cancelled."""
        rng = random.Random(self.agent.name)
        on_list = self.spreader.apply
        await asyncio.gather(
            follow_list(self._instances, on_list, rng), self.spreader.run()
        )

    def close(self) -> None:
        """Close the socket and the connections."""
        self.server.close()
        self.spreader.close()

    def _adopt(self, version: int, data: bytes) -> None:
        decode_document(data)
        self._metrics.gauge("configuration.version", version)

    async def _handle(self, peer: str, message: Any, send: Send) -> None:
        if isinstance(message, SPREADING):
            await self.spreader.handle(peer, message, send)
        else:
            await self.agent.handle(peer, message, send)
