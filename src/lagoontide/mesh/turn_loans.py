"""Loans of turns in targets' rate limits, from entries with a share to those without.

The holders of a share may have no callers while other entries have. A loan counts in
the lender's bucket, so that a target gets no more than without it.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec
from loguru import logger

from lagoontide.decoding import Number
from lagoontide.errors import PeerError, PeerTimeout
from lagoontide.targets.directory import Directory
from lagoontide.targets.rate_shares import RateShares
from lagoontide.targets.records import Target
from lagoontide.wire.conn import Conn
from lagoontide.wire.router import Router
from lagoontide.wire.server import Send

__all__ = ["MESSAGES", "TurnLoans"]

ASK_TIMEOUT_S = 0.2
# After a refusal, the same target is not asked for again before this.
MIN_REFUSAL_S = 0.1
MAX_REFUSAL_S = 1.5


class TurnRequest(msgspec.Struct, frozen=True, array_like=True, tag="turn"):
    """Asks for the right to send a target one request now."""

    target: str
    born: int


class TurnReply(msgspec.Struct, frozen=True, array_like=True, tag="turn-reply"):
    """Answers a ``TurnRequest``.

    Attributes
    ----------
    wait : float
        0 if the turn is lent; else seconds until the next one may be.
    """

    wait: Number


MESSAGES = (TurnRequest, TurnReply)


class Peers(Protocol):
    """Connections to other entries."""

    def conn(self, name: str) -> Conn | None:
        """Return a connection to an entry, or None."""


class TurnLoans:
    """Lends turns to other entries, and borrows from them.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(
        self,
        shares: RateShares,
        directory: Directory,
        peers: Peers,
        clock: Callable[[], float],
    ) -> None:
        self._shares = shares
        self._directory = directory
        self._peers = peers
        self._clock = clock
        self._refused_until: dict[tuple[str, int], float] = {}

    def register(self, router: Router) -> None:
        """Register the handler for requests of other entries."""
        router.register(TurnRequest, self._handle_request)

    async def borrow(self, target: Target) -> bool:
        """Return whether another entry lends this one a turn, to be used at once."""
        now = self._clock()
        if now < self._refused_until.get(target.key, 0.0):
            return False
        lender = self._shares.lender(target)
        conn = None if lender is None else self._peers.conn(lender)
        wait = MAX_REFUSAL_S
        if conn is not None:
            try:
                reply = await conn.ask(
                    TurnRequest(target.id, target.born), ASK_TIMEOUT_S
                )
            except (PeerError, PeerTimeout) as exc:
                logger.bind(peer=lender).info("turn not lent: {}", exc)
            else:
                wait = reply.wait if isinstance(reply, TurnReply) else wait
        if wait > 0.0:
            pause = min(max(wait, MIN_REFUSAL_S), MAX_REFUSAL_S)
            self._refused_until[target.key] = self._clock() + pause
        logger.bind(target=target.id, peer=lender or "").info(
            "turn of target's rate limit: {}",
            f"refused for {wait:.2f} s" if wait > 0.0 else "lent",
        )
        return wait <= 0.0

    def keep_only(self, keep: set[tuple[str, int]]) -> None:
        """Drop what is known of all targets but those with the given keys."""
        for key in self._refused_until.keys() - keep:
            del self._refused_until[key]

    async def _handle_request(
        self, peer: str, message: TurnRequest, send: Send
    ) -> None:
        target = self._directory.get(message.target)
        wait = MAX_REFUSAL_S
        if target is not None and target.born == message.born:
            wait = 0.0 if self._shares.lend(target) else self._shares.share_wait(target)
        await send(TurnReply(min(wait, MAX_REFUSAL_S)))
