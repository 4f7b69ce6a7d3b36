"""Kept connections to one target."""

import asyncio

from loguru import logger

from lagoontide.errors import TargetUnreachable
from lagoontide.http1.client import BadAnswer, TargetConn
from lagoontide.http1.link import connect_link
from lagoontide.tasks import TaskSet

__all__ = ["ConnPool"]

# A target closes idle connections by its own clock, and says so in whole
# seconds; a request must not cross that close.
IDLE_MARGIN_S = 1.0
# Where the target tells no limit (PROTOCOL, Replicas), work that must not be
# repeated goes only on connections used this recently.
UNTOLD_IDLE_S = 0.4
KEPT_IDLE_S = 20.0
# The rest of an answer that nobody waits for is worth a kept connection up to here.
MAX_SETTLED_BYTES = 64 << 10
SETTLE_TIMEOUT_S = 0.5


class ConnPool:
    """Connections to one target, the last used first.

    Parameters
    ----------
    name : str
        Id of the target, for errors.
    host, port : str, int
        Where the target listens.
    most : int
        Connections that this process may have open.
    """

    def __init__(self, name: str, host: str, port: int, most: int) -> None:
        self._name = name
        self.most = most
        self.opened = 0
        self._host = host
        self._port = port
        self._idle: list[TargetConn] = []
        self._in_use = 0
        self._settling = TaskSet()
        # The shortest idleness after which the target closed a connection.
        self._closed_after = KEPT_IDLE_S

    async def take(self, timeout: float, is_once: bool = False) -> TargetConn:
        """Return a connection for one request.

        Parameters
        ----------
        timeout : float
            Seconds that a new connection may take.
        is_once : bool
            Whether the request must not be sent twice, so that the connection
            has to be one that the target is not about to close.

        Raises
        ------
        TargetUnreachable
            If none can be had; nothing was sent.
        """
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable and now - conn.idle_since < self._limit(conn, is_once):
                conn.link.on_lost = None
                self._in_use += 1
                return conn
            conn.close()
        if self._in_use >= self.most:
            raise self._unreachable(f"{self._in_use} connections in use")
        self._in_use += 1
        try:
            link = await connect_link(self._host, self._port, timeout)
        except (OSError, TimeoutError) as exc:
            self._in_use -= 1
            raise self._unreachable(f"connect: {exc!r}") from exc
        except BaseException:
            self._in_use -= 1
            raise
        self.opened += 1
        return TargetConn(link)

    def give_back(self, conn: TargetConn, is_kept: bool) -> None:
        """Return a connection; it is closed unless it can serve again."""
        self._in_use -= 1
        if not is_kept:
            conn.close()
            return
        conn.link.on_lost = lambda: self._drop(conn)
        self._idle.append(conn)

    def settle(self, conn: TargetConn) -> None:
        """Read an answer that nobody waits for to its end; then as ``give_back``."""
        self._settling.start(self._settle(conn))

    def forget_idle(self) -> None:
        """Close the idle connections, so that the next one is new."""
        while self._idle:
            self._idle.pop().close()

    def close(self) -> None:
        """Close the idle connections, and those with an answer nobody waits for."""
        self._settling.cancel()
        self.forget_idle()

    async def _settle(self, conn: TargetConn) -> None:
        is_kept = False
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                await conn.read_whole(MAX_SETTLED_BYTES)
            is_kept = conn.rest()
        except (OSError, BadAnswer, TimeoutError) as exc:
            logger.bind(target=self._name).info("refusal without end: {!r}", exc)
        finally:
            self.give_back(conn, is_kept)

    def _unreachable(self, why: str) -> TargetUnreachable:
        return TargetUnreachable(why, step="connect", peer=self._name)

    def _limit(self, conn: TargetConn, is_once: bool) -> float:
        told = conn.idle_limit
        if told is not None:
            return max(told - IDLE_MARGIN_S, UNTOLD_IDLE_S)
        limit = min(self._closed_after / 2, KEPT_IDLE_S)
        return min(limit, UNTOLD_IDLE_S) if is_once else limit

    def _drop(self, conn: TargetConn) -> None:
        idle = asyncio.get_running_loop().time() - conn.idle_since
        self._closed_after = max(min(self._closed_after, idle), UNTOLD_IDLE_S)
        if conn in self._idle:
            self._idle.remove(conn)
        conn.close()
