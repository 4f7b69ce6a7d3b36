"""HTTP server with one task per connection."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import h11
from loguru import logger

from lagoontide.http1.holdings import ConnLimits, Holding, Holdings, Phase
from lagoontide.http1.messages import Response
from lagoontide.http1.request_reader import (
    BadRequest,
    HttpLimits,
    ParseLane,
    Request,
    RequestReader,
    wait_for_request,
)
from lagoontide.http1.response_writer import ResponseWriter
from lagoontide.http1.tcp import TcpConn
from lagoontide.logs import format_traceback
from lagoontide.tasks import TaskSet

__all__ = ["HttpLimits", "Listener", "Request", "ResponseWriter"]

BACKLOG = 1024
# Connections are accepted so many at a time, as each takes a descriptor before it is
# counted.
ACCEPT_BATCH = 16
# Callers that are refused for want of memory come back after this time.
REFUSED_RETRY_AFTER_S = 1
# How long request bytes are still read after an error response. A close with unread
# bytes resets the connection, and the client may lose the response (RFC 9112, 9.6).
LINGER_S = 0.5

Handler = Callable[[Request, ResponseWriter], Awaitable[None]]
DEFAULT_CONN_LIMITS = ConnLimits()


class Listener:
    """Accepts connections and passes their requests to a handler.

    Parameters
    ----------
    handle : callable
        Responds to a request; it is cancelled once the client disconnects.
    limits : callable
        Returns the current limits of a request.
    conn_limits : ConnLimits
        Limits of all connections together.

    Attributes
    ----------
    holdings : Holdings
        What is held for the connections.
    """

    def __init__(
        self,
        handle: Handler,
        limits: Callable[[], HttpLimits],
        conn_limits: ConnLimits = DEFAULT_CONN_LIMITS,
    ) -> None:
        self._handle = handle
        self._limits = limits
        self.holdings = Holdings(conn_limits)
        self._lane = ParseLane()
        self._server: asyncio.Server | None = None
        self._tasks = TaskSet()
        # In the order in which they became idle.
        self._idle: dict[TcpConn, None] = {}
        self.is_draining = False
        self.in_flight = 0
        self._closed = 0

    @property
    def given_up(self) -> int:
        """Number of connections given up so far, as too much was held for callers."""
        return self._closed + self.holdings.given_up.total()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    @property
    def busy_connection_count(self) -> int:
        """Number of connections on which a request is being read or answered."""
        return len(self._tasks) - len(self._idle)

    async def start(self, host: str, port: int) -> int:
        """Start listening; return the port."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            self._server = await loop.create_server(
                lambda: TcpConn(self._accept), sock=sock, backlog=ACCEPT_BATCH
            )
            # The event loop has set the length of the queue to that of a batch.
            sock.listen(BACKLOG)
        except BaseException:
            sock.close()
            raise
        return int(sock.getsockname()[1])

    def stop_accepting(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close the connections on which no request has begun.

        During a drain, a request that a client sends on them would come too late.
        """
        for tcp in tuple(self._idle):
            if tcp.has_arrived():
                self._idle.pop(tcp, None)
            else:
                tcp.close()

    async def close(self) -> None:
        """Stop listening and cancel all connections."""
        self.stop_accepting()
        self._tasks.cancel()
        await self._tasks.join()

    def _accept(self, tcp: TcpConn) -> None:
        is_full = len(self._tasks) >= self.holdings.limits.connections
        if is_full and not self._give_up_connection():
            self._closed += 1
            tcp.abort()
            return
        self._tasks.start(self._serve_connection(tcp))

    def _give_up_connection(self) -> bool:
        """Close the connection that was idle for longest, or else give one up.

        Returns False if all of them wait for their answers.
        """
        for tcp in self._idle:
            if not tcp.has_arrived():
                self._idle.pop(tcp)
                self._closed += 1
                tcp.close()
                return True
        return self.holdings.give_up_one()

    async def _serve_connection(self, tcp: TcpConn) -> None:
        task = asyncio.current_task()
        assert task is not None
        holding = tcp.holding = self.holdings.add(
            lambda holding: _give_up(tcp, task, holding)
        )
        if tcp.has_unread:
            holding.receive(tcp.unread_bytes)
        try:
            await self._serve_requests(tcp, holding)
        except (OSError, asyncio.CancelledError):
            _reset(tcp)
        except Exception as exc:
            _reset(tcp)
            logger.bind(traceback=format_traceback(exc)).error(
                "connection of a client failed: {!r:.200}", exc
            )
        finally:
            self._idle.pop(tcp, None)
            holding.close()
            tcp.on_lost = None
            tcp.close()

    async def _serve_requests(self, tcp: TcpConn, holding: Holding) -> None:
        data = b""
        while True:
            if not data:
                self._idle[tcp] = None
                data = await wait_for_request(tcp, self._limits)
                self._idle.pop(tcp, None)
            if not data:
                return
            # The limits may have changed while the connection waited.
            limits = self._limits()
            conn = h11.Connection(
                h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
            )
            conn.receive_data(data)
            req = await self._read_request(tcp, conn, holding, limits)
            if isinstance(req, BadRequest):
                await _send_error(tcp, conn, req)
                return
            if req is None:
                return
            holding.set_received(len(req.body) + tcp.unread_bytes)
            has_body = req.head.method != b"HEAD"
            reply = ResponseWriter(tcp, conn, lambda: self.is_draining, has_body)
            await self._run_handler(tcp, req, reply)
            if not reply.is_complete:
                tcp.abort()
                return
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            if self.is_draining:
                # A response that began before the drain carries no "Connection: close".
                return
            data, _ = conn.trailing_data
            holding.set_received(len(data) + tcp.unread_bytes)

    async def _read_request(
        self,
        tcp: TcpConn,
        conn: h11.Connection,
        holding: Holding,
        limits: HttpLimits,
    ) -> Request | BadRequest | None:
        """Return the next request, why there is none, or None if no more is sent.

        Nothing that was read is kept of a request that is rejected.
        """
        try:
            return await RequestReader(tcp, conn, limits, self._lane).read()
        except BadRequest as exc:
            return BadRequest(exc.status, str(exc), exc.fields)
        except asyncio.CancelledError:
            if not holding.is_given_up:
                raise
        task = asyncio.current_task()
        assert task is not None
        task.uncancel()
        return _out_of_memory()

    async def _run_handler(
        self, tcp: TcpConn, req: Request, reply: ResponseWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        if tcp.is_lost:
            raise ConnectionResetError("client disconnected before its request ran")
        tcp.on_lost = lambda: _cancel(task)
        self.in_flight += 1
        assert tcp.holding is not None
        tcp.holding.phase = Phase.ANSWER
        try:
            await self._handle(req, reply)
        except (Exception, asyncio.CancelledError) as exc:
            if reply.is_ended_by(exc):
                raise
            logger.bind(
                path=req.head.path[:80].decode("latin-1"),
                traceback=format_traceback(exc),
            ).error("request failed: {!r:.200}", exc)
        finally:
            self.in_flight -= 1
            tcp.holding.phase = Phase.REQUEST
            tcp.holding.set_buffered(0)
            tcp.on_lost = None


def _give_up(tcp: TcpConn, task: asyncio.Task[None], holding: Holding) -> None:
    """End the wait of a connection for its request or its reader."""
    if holding.phase is Phase.READER:
        tcp.abort()
    else:
        tcp.discard_unread()
        task.cancel()


def _out_of_memory() -> BadRequest:
    fields = [(b"Retry-After", b"%d" % REFUSED_RETRY_AFTER_S)]
    return BadRequest(503, "not run: too many requests are being read", fields)


def _reset(tcp: TcpConn) -> None:
    """Reset a connection: only that tells the client that a response is incomplete."""
    tcp.on_lost = None
    tcp.abort()


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


async def _send_error(tcp: TcpConn, conn: h11.Connection, problem: BadRequest) -> None:
    if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
        text = str(problem).encode("utf-8", "replace")
        reply = ResponseWriter(tcp, conn, lambda: True)
        await reply.send(
            Response(
                problem.status,
                [(b"Content-Type", b"text/plain"), *problem.fields],
                text,
            )
        )
    if tcp.transport.can_write_eof():
        tcp.transport.write_eof()
    try:
        async with asyncio.timeout(LINGER_S):
            while await tcp.read():
                pass
    except TimeoutError:
        return
