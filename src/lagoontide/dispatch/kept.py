"""Whole answers, kept at agents for callers that repeat a request."""

import asyncio
import heapq
from collections import OrderedDict
from collections.abc import Iterable

import xxhash

from lagoontide.dispatch.messages import Keep, Kept, Recall, digest, is_whole
from lagoontide.errors import PeerError
from lagoontide.membership.directory import Directory
from lagoontide.store.instances import Instance, Role
from lagoontide.wire.conn import Conn

__all__ = ["AnswerStore", "Keepers"]

KEEP_S = 120.0
KEEP_BYTES = 2 << 20
KEEPERS = 2
KEEP_TIMEOUT_S = 0.1
POOL_NAME = "kept answers"
POOL_SIZE = 256  # Agents, so that an entry has at most as many connections more.
RECALL_S = 0.25


def _first(agents: Iterable[Instance], key: str, count: int) -> list[Instance]:
    """Return the agents that come first for a key."""

    def rank(item: Instance) -> int:
        return xxhash.xxh3_64_intdigest(f"{key} {item.name}".encode())

    return heapq.nsmallest(count, agents, key=rank)


class AnswerStore:
    """The agent's side: answers by request, the oldest let go of first.

    Parameters
    ----------
    window : float
        Seconds that an answer is kept.
    max_bytes : int
        Bytes of answers.
    """

    def __init__(self, window: float = KEEP_S, max_bytes: int = KEEP_BYTES) -> None:
        self._window = window
        self._max_bytes = max_bytes
        self._answers: OrderedDict[str, tuple[float, Keep]] = OrderedDict()
        self._bytes = 0

    def keep(self, message: Keep, now: float) -> None:
        """Keep an answer that arrived whole; the first one stays."""
        if message.request in self._answers or not is_whole(message):
            return
        self._answers[message.request] = (now, message)
        self._bytes += len(message.body)
        self._evict(now)

    def recall(self, request: str, now: float) -> Kept:
        """Return the answer of a request if it is kept."""
        self._evict(now)
        found = self._answers.get(request)
        if found is None:
            return Kept(request)
        return Kept(request, found[1].body, found[1].digest)

    def _evict(self, now: float) -> None:
        while self._answers:
            request, (kept_at, message) = next(iter(self._answers.items()))
            if now - kept_at < self._window and self._bytes <= self._max_bytes:
                return
            del self._answers[request]
            self._bytes -= len(message.body)


class Keepers:
    """The entry's side: which agents keep an answer is told by the request's id.

    All entries have to choose the same agents, so the choice is among a pool that
    the platform's list alone decides, not the agents in this entry's view.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._listed: tuple[Instance, ...] = ()
        self._pool: list[Instance] = []

    async def keep(self, request: str, body: bytes) -> None:
        """Have an answer kept; best effort."""
        message = Keep(request, body, digest(body))
        for conn in self._find(request):
            try:
                async with asyncio.timeout(KEEP_TIMEOUT_S):
                    await conn.tell(message)
            except (PeerError, TimeoutError):
                continue

    async def recall(self, request: str, deadline: float) -> bytes | None:
        """Return the answer of an earlier request, waiting while it may still run.

        Parameters
        ----------
        deadline : float
            Loop time until which to ask.
        """
        loop = asyncio.get_running_loop()
        while (left := deadline - loop.time()) > 0:
            for conn in self._find(request):
                body = await self._ask(conn, request, min(left, RECALL_S))
                if body is not None:
                    return body
            await asyncio.sleep(min(RECALL_S, max(0.0, deadline - loop.time())))
        return None

    @staticmethod
    async def _ask(conn: Conn, request: str, timeout: float) -> bytes | None:
        try:
            async with asyncio.timeout(timeout):
                reply = await conn.ask(Recall(request), timeout)
        except (PeerError, TimeoutError):
            return None
        match reply:
            case Kept() if reply.request == request and is_whole(reply):
                return reply.body
        return None

    def _find(self, request: str) -> list[Conn]:
        """Return connections to a request's agents, by rendezvous hashing."""
        if self._listed is not self._directory.listed:
            self._listed = self._directory.listed
            agents = (item for item in self._listed if item.role is Role.AGENT)
            self._pool = _first(agents, POOL_NAME, POOL_SIZE)
        chosen = _first(self._pool, request, KEEPERS)
        return [self._directory.conn(item) for item in chosen]
