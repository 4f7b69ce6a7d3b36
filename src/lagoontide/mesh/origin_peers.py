"""Asking other entries which version began a stream, while the store does not tell."""

import asyncio
import random
from typing import Protocol

from lagoontide.errors import PeerError
from lagoontide.origins.ledger import Origins
from lagoontide.origins.messages import OriginReply, OriginRequest
from lagoontide.timers import run_timeout
from lagoontide.wire.conn import Conn
from lagoontide.wire.router import Router
from lagoontide.wire.server import Send

__all__ = ["OriginPeers"]

ASK_TIMEOUT_S = 0.2
MAX_PEERS = 16


class Peers(Protocol):
    """Connections to other entries."""

    name: str

    def live(self) -> tuple[str, ...]:
        """Return the names of entries that accept work, including this one."""

    def conn(self, name: str) -> Conn | None:
        """Return a connection to an entry, or None."""


class OriginPeers:
    """Finds origins of streams at other entries, and answers those that ask."""

    def __init__(
        self, origins: Origins, peers: Peers, rng: random.Random | None = None
    ) -> None:
        self._origins = origins
        self._peers = peers
        self._rng = rng or random.Random(peers.name)

    def register(self, router: Router) -> None:
        """Register the handler for requests of other entries."""
        router.register(OriginRequest, self._handle_request)

    async def find_at_peers(self, request_id: str, service: str) -> str | None:
        """Return the version that began a stream, as the first peer that has it says.

        Asks up to MAX_PEERS entries at once, and waits ASK_TIMEOUT_S at most. None if
        no reply names a version by then.
        """
        message = OriginRequest(request_id, service)
        tasks = [asyncio.ensure_future(_ask(conn, message)) for conn in self._conns()]
        try:
            async with run_timeout(ASK_TIMEOUT_S):
                for reply in asyncio.as_completed(tasks):
                    version = await reply
                    if version is not None:
                        self._origins.learn({service: {version: [request_id]}})
                        return version
        except TimeoutError:
            pass
        finally:
            for task in tasks:
                task.cancel()
        return None

    def _conns(self) -> list[Conn]:
        names = [name for name in self._peers.live() if name != self._peers.name]
        if len(names) > MAX_PEERS:
            names = self._rng.sample(names, MAX_PEERS)
        conns = (self._peers.conn(name) for name in names)
        return [conn for conn in conns if conn is not None]

    async def _handle_request(
        self, peer: str, message: OriginRequest, send: Send
    ) -> None:
        version = self._origins.find(message.request_id, message.service)
        await send(OriginReply(version))


async def _ask(conn: Conn, message: OriginRequest) -> str | None:
    try:
        reply = await conn.ask(message, ASK_TIMEOUT_S)
    except PeerError:
        return None
    return reply.version if isinstance(reply, OriginReply) else None
