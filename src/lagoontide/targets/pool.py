"""Pool of persistent connections to one target."""

import asyncio
from collections.abc import Callable

from loguru import logger

from lagoontide.errors import TargetUnreachable
from lagoontide.http1.client import InvalidResponse, TargetConn
from lagoontide.http1.tcp import connect_tcp
from lagoontide.tasks import TaskSet

__all__ = ["ConnPool"]

# A target announces in whole seconds after which idle time it closes a connection,
# and measures that time by its own clock. The margin keeps a request from arriving
# just as the target closes the connection.
IDLE_MARGIN_S = 1.0
# If the target announces no idle limit (PROTOCOL, Replicas), requests that must not
# be sent twice reuse only connections that were idle for less than this.
SAFE_IDLE_S = 0.4
MAX_IDLE_S = 20.0
# An unneeded answer is read up to this length so that its connection can be reused;
# beyond that a new connection is cheaper.
MAX_DRAINED_BODY_BYTES = 64 << 10
BODY_DRAIN_TIMEOUT_S = 0.5


class ConnPool:
    """Connections to one target; the one used last is reused first.

    Parameters
    ----------
    name : str
        Id of the target, for errors.
    host, port : str, int
        Address at which the target listens.
    max_open : int
        Maximum number of connections in use by this process.
    on_all_lost : callable, optional
        Called when the target has closed the last open connection, with whether that
        was idle, and sooner than the target closes idle connections.

    Attributes
    ----------
    opened : int
        Number of connections opened so far.
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        max_open: int,
        on_all_lost: Callable[[bool], None] = lambda was_idle: None,
    ) -> None:
        self._name = name
        self._on_all_lost = on_all_lost
        self.max_open = max_open
        self.opened = 0
        self._host = host
        self._port = port
        self._idle: list[TargetConn] = []
        self._in_use = 0
        self._body_drains = TaskSet()
        # Shortest idle time after which the target has closed a connection.
        self._observed_idle_limit = MAX_IDLE_S
        self._announced_idle_limit: float | None = None

    @property
    def has_room(self) -> bool:
        """Whether another request may get a connection."""
        return bool(self._idle) or self._in_use < self.max_open

    async def acquire(
        self,
        timeout: float,
        is_at_most_once: bool = False,
        request_id: str = "",
        lane: str = "",
    ) -> TargetConn:
        """Return a connection for one send of a request.

        An answer may come a second time, late, where the answer to a later request on
        its connection is expected. A connection therefore carries only requests whose
        answers can be told apart: each request id at most once, and calls without an id
        if their answers are marked (``TargetConn.answer_marks``). Calls that any answer
        to another one of them may serve have connections of their own, a lane.

        Parameters
        ----------
        timeout : float
            Seconds within which a new connection has to be established.
        request_id : str
            Id by which answers are matched; "" if they carry none.
        lane : str
            Name of the calls that share connections with no others; "" for all others.
        is_at_most_once : bool
            Whether the request must not be sent twice; the connection is then one
            that the target is not about to close.

        Raises
        ------
        TargetUnreachable
            If no connection is available; nothing was sent.
        """
        conn = self._take_idle(is_at_most_once, request_id, lane)
        if conn is None:
            conn = await self._open(timeout)
            conn.lane = lane
        if request_id:
            conn.request_ids.append(request_id)
        return conn

    def _take_idle(
        self, is_at_most_once: bool, request_id: str, lane: str
    ) -> TargetConn | None:
        """Return the idle connection used last that may carry a request, if any."""
        now = asyncio.get_running_loop().time()
        unsuited: list[TargetConn] = []
        taken: TargetConn | None = None
        while self._idle and taken is None:
            conn = self._idle.pop()
            idle = now - conn.idle_since
            if not conn.is_usable or idle >= self._max_idle(conn, is_at_most_once):
                conn.close()
            elif conn.lane != lane or (request_id and request_id in conn.request_ids):
                unsuited.append(conn)
            else:
                taken = conn
        self._idle += reversed(unsuited)
        if taken is not None:
            taken.tcp.on_lost = None
            self._in_use += 1
        return taken

    async def _open(self, timeout: float) -> TargetConn:
        if self._in_use >= self.max_open:
            raise self._unreachable(f"{self._in_use} connections in use")
        if self._idle and self._in_use + len(self._idle) >= self.max_open:
            # Targets count the idle ones too.
            self._idle.pop(0).close()
        self._in_use += 1
        try:
            tcp = await connect_tcp(self._host, self._port, timeout)
        except (OSError, TimeoutError) as exc:
            self._in_use -= 1
            raise self._unreachable(f"connect: {exc!r}") from exc
        except BaseException:
            self._in_use -= 1
            raise
        self.opened += 1
        return TargetConn(tcp)

    async def check_listening(self, timeout: float) -> bool | None:
        """Return whether the target accepts connections; None if that is unknown.

        A connection that is established is kept for the next request.
        """
        try:
            tcp = await connect_tcp(self._host, self._port, timeout)
        except ConnectionRefusedError:
            return False
        except (OSError, TimeoutError):
            return None
        self.opened += 1
        self._in_use += 1
        self.release(TargetConn(tcp), is_reusable=True)
        return True

    def release(self, conn: TargetConn, is_reusable: bool) -> None:
        """Put a connection back into the pool, or close it if it is not reusable."""
        self._in_use -= 1
        if conn.keep_alive_timeout is not None:
            self._announced_idle_limit = conn.keep_alive_timeout
        if not is_reusable:
            was_lost = conn.tcp.is_lost
            conn.close()
            if was_lost and not (self._in_use or self._idle):
                self._on_all_lost(False)
            return
        conn.tcp.on_lost = lambda: self._on_idle_closed(conn)
        self._idle.append(conn)

    def drain_and_release(self, conn: TargetConn) -> None:
        """Read an unneeded response in the background, then release the connection."""
        self._body_drains.start(self._drain_body(conn))

    def close_idle(self) -> None:
        """Close the idle connections, so that the next request opens a new one."""
        while self._idle:
            self._idle.pop().close()

    def close(self) -> None:
        """Close the idle connections and those whose answer is being drained."""
        self._body_drains.cancel()
        self.close_idle()

    async def _drain_body(self, conn: TargetConn) -> None:
        is_reusable = False
        try:
            async with asyncio.timeout(BODY_DRAIN_TIMEOUT_S):
                await conn.read_full_body(MAX_DRAINED_BODY_BYTES)
            is_reusable = conn.prepare_reuse()
        except (OSError, InvalidResponse, TimeoutError) as exc:
            logger.bind(target=self._name).info(
                "unneeded answer not drained: {!r}", exc
            )
        finally:
            self.release(conn, is_reusable)

    def _unreachable(self, reason: str) -> TargetUnreachable:
        return TargetUnreachable(reason, step="connect", peer=self._name)

    def _max_idle(self, conn: TargetConn, is_at_most_once: bool) -> float:
        announced = conn.keep_alive_timeout
        if announced is not None:
            return max(announced - IDLE_MARGIN_S, SAFE_IDLE_S)
        limit = min(self._observed_idle_limit / 2, MAX_IDLE_S)
        return min(limit, SAFE_IDLE_S) if is_at_most_once else limit

    def _on_idle_closed(self, conn: TargetConn) -> None:
        idle = asyncio.get_running_loop().time() - conn.idle_since
        self._observed_idle_limit = max(
            min(self._observed_idle_limit, idle), SAFE_IDLE_S
        )
        if conn in self._idle:
            self._idle.remove(conn)
        conn.close()
        announced = self._announced_idle_limit
        is_expected = announced is not None and idle >= announced - IDLE_MARGIN_S
        if not (is_expected or self._in_use or self._idle):
            self._on_all_lost(True)
