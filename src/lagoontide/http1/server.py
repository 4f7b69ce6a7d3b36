"""HTTP server with one task per connection."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11
from loguru import logger

from lagoontide.http1.holdings import ConnLimits, Holding, Holdings, Phase
from lagoontide.http1.messages import Response
from lagoontide.http1.request_reader import (
    BadRequest,
    HttpLimits,
    Request,
    RequestReader,
    wait_for_request,
)
from lagoontide.http1.response_writer import ResponseWriter, encode_response
from lagoontide.http1.tcp import TcpConn
from lagoontide.http1.turns import Turns
from lagoontide.logs import format_traceback
from lagoontide.tasks import TaskSet

__all__ = ["HttpLimits", "Listener", "Request", "ResponseWriter"]

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


@dataclass(frozen=True, slots=True)
class _Served:
    """A request was answered, and the connection is kept.

    Attributes
    ----------
    rest : bytes
        What was received after the request.
    """

    rest: bytes


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
        self._turns = Turns()
        self._server: asyncio.Server | None = None
        self._tasks = TaskSet()
        # In the order in which they became idle.
        self._idle: dict[TcpConn, None] = {}
        # The tasks that read a request, which has not run.
        self._reads: dict[TcpConn, asyncio.Task[None]] = {}
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
        return len(self.holdings)

    @property
    def busy_connection_count(self) -> int:
        """Number of connections on which a request is being read or answered."""
        return len(self._tasks) - len(self._idle)

    @property
    def is_quiet(self) -> bool:
        """Whether all requests that began are answered, and the answers sent."""
        return not self.busy_connection_count and not self.holdings.unsent()

    async def start(self, host: str, port: int) -> int:
        """Start listening; return the port."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            limits = self.holdings.limits
            if limits.receive_buffer:
                # Accepted connections inherit it, also before they are accepted.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, limits.receive_buffer
                )
            self._server = await loop.create_server(
                lambda: TcpConn(self._accept), sock=sock, backlog=ACCEPT_BATCH
            )
            # The event loop has set the length of the queue to that of a batch.
            sock.listen(limits.accept_queue)
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
        is_full = len(self.holdings) >= self.holdings.limits.connections
        if is_full and not self._give_up_connection():
            self._closed += 1
            tcp.abort()
            return
        holding = tcp.holding = self.holdings.add(
            lambda _: self._give_up(tcp), tcp.transport.get_write_buffer_size
        )
        tcp.on_closed = holding.close
        self._tasks.start(self._serve_connection(tcp, holding))

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

    def _give_up(self, tcp: TcpConn) -> None:
        """End the wait of a connection for its request, its reader or its close."""
        read = self._reads.get(tcp)
        if read is None:
            tcp.abort()
        else:
            tcp.discard_received()
            read.cancel()

    async def _serve_connection(self, tcp: TcpConn, holding: Holding) -> None:
        try:
            refusal = await self._serve_requests(tcp, holding)
            holding.start_closing()
            if refusal is not None:
                await self._send_refusal(tcp, refusal)
        except (OSError, asyncio.CancelledError):
            _reset(tcp)
        except Exception as exc:
            _reset(tcp)
            logger.bind(traceback=format_traceback(exc)).error(
                "connection of a client failed: {!r:.200}", exc
            )
        finally:
            self._idle.pop(tcp, None)
            tcp.on_lost = None
            tcp.close()

    async def _serve_requests(self, tcp: TcpConn, holding: Holding) -> bytes | None:
        """Serve requests until the connection is to be closed.

        Returns the refusal of the last one, or None if it was answered or none came.
        """
        data, is_pipelined = b"", False
        while True:
            if not data:
                self._idle[tcp] = None
                data = await wait_for_request(tcp, self._limits)
                self._idle.pop(tcp, None)
            if not data:
                return None
            # Nothing of a request is kept by an idle connection.
            match await self._serve_request(tcp, holding, data, is_pipelined):
                case _Served(rest):
                    data, is_pipelined = rest, bool(rest) or tcp.has_unread
                    holding.set_received(len(data) + tcp.unread_bytes)
                case refusal:
                    return refusal

    async def _serve_request(
        self, tcp: TcpConn, holding: Holding, data: bytes, is_pipelined: bool
    ) -> _Served | bytes | None:
        """Serve a request, whose first bytes are given.

        Returns what came after it, the refusal after which the connection is closed, or
        None if it is closed without one.
        """
        # The limits may have changed while the connection waited.
        limits = self._limits()
        conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head_bytes
        )
        conn.receive_data(data)
        reader = RequestReader(tcp, conn, limits, self._turns)
        try:
            req = await self._read_request(tcp, reader, is_pipelined)
        except BadRequest as exc:
            return _encode_refusal(conn, exc)
        if req is None:
            return None
        holding.set_received(len(req.body) + tcp.unread_bytes)
        has_body = req.head.method != b"HEAD"
        reply = ResponseWriter(tcp, conn, lambda: self.is_draining, has_body)
        await self._run_handler(tcp, req, reply)
        if not reply.is_complete:
            tcp.abort()
            return None
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return None
        if self.is_draining:
            # A response that began before the drain carries no "Connection: close".
            return None
        return _Served(conn.trailing_data[0])

    async def _read_request(
        self, tcp: TcpConn, reader: RequestReader, is_pipelined: bool
    ) -> Request | None:
        """Return the next request, or None if no more is sent; raises BadRequest."""
        task = asyncio.current_task()
        assert task is not None
        self._reads[tcp] = task
        try:
            return await reader.read(is_pipelined)
        except asyncio.CancelledError:
            if tcp.holding is None or not tcp.holding.is_given_up:
                raise
        finally:
            self._reads.pop(tcp, None)
        task.uncancel()
        raise _out_of_memory()

    async def _send_refusal(self, tcp: TcpConn, refusal: bytes) -> None:
        """Send a refusal, and drop what arrives until the client has read it."""
        tcp.discard_received()
        if refusal:
            await tcp.write(refusal)
        if tcp.transport.can_write_eof():
            tcp.transport.write_eof()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                while await tcp.wait_for_discarded():
                    await self._turns.wait()

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


def _out_of_memory() -> BadRequest:
    fields = [(b"Retry-After", b"%d" % REFUSED_RETRY_AFTER_S)]
    return BadRequest(503, "not run: too many requests are being read", fields)


def _reset(tcp: TcpConn) -> None:
    """Reset a connection: only that tells the client that a response is incomplete."""
    tcp.on_lost = None
    tcp.abort()


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()


def _encode_refusal(conn: h11.Connection, problem: BadRequest) -> bytes:
    """Return the bytes of a last answer; none if the answer has begun already."""
    if conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return b""
    text = str(problem).encode("utf-8", "replace")
    response = Response(
        problem.status, [(b"Content-Type", b"text/plain"), *problem.fields], text
    )
    return encode_response(conn, response, is_last=True)
