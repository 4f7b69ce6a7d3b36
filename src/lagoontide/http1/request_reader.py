"""Reading of requests from a connection, within limits of size and time."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import h11

from lagoontide.http1.messages import Fields, RequestHead, field_values
from lagoontide.http1.tcp import TcpConn
from lagoontide.http1.turns import Turns
from lagoontide.timers import run_timeout

__all__ = [
    "BadRequest",
    "HttpLimits",
    "Request",
    "RequestReader",
    "wait_for_request",
]

# Other connections are served after a request was parsed for so long at a stretch.
SLICE_S = 0.002
# Parsing that takes longer in all, as of very small chunks, is done for one request at
# a time.
FREE_PARSE_S = 0.005
EVENTS_PER_CHECK = 32
MAX_LENGTH_DIGITS = 18
# Bodies are kept in blocks of equal size, as a heap in which they grow and move is
# larger than what they hold.
BLOCK_BYTES = 64 << 10


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the size and duration of a client's requests.

    Attributes
    ----------
    head_timeout : float
        Seconds from the first byte of a request head to its end.
    idle_timeout : float
        Seconds without a new request, or without a further byte of a body.
    """

    max_head_bytes: int = 32 << 10
    max_body_bytes: int = 8 << 20
    head_timeout: float = 5.0
    idle_timeout: float = 30.0


@dataclass(frozen=True, slots=True)
class Request:
    """A completely read request.

    Attributes
    ----------
    received_at : float
        Loop time at which the first byte was received.
    """

    head: RequestHead
    body: bytes
    received_at: float


class BadRequest(Exception):
    """A request that is rejected while it is read; ``status`` is for the response."""

    def __init__(self, status: int, message: str, fields: Fields | None = None) -> None:
        super().__init__(message)
        self.status = status
        self.fields = fields or []


async def wait_for_request(tcp: TcpConn, limits: Callable[[], HttpLimits]) -> bytes:
    """Return the first bytes of the next request; empty if the client sends none.

    Parameters
    ----------
    limits : callable
        Returns the current limits. An idle timeout that is raised during the wait
        applies to it, as clients may count on it; one that is lowered doesn't.
    """
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while True:
        idle_timeout = limits().idle_timeout
        try:
            return await _read_within(tcp, started_at + idle_timeout - loop.time())
        except TimeoutError:
            if limits().idle_timeout <= idle_timeout:
                return b""


class RequestReader:
    """Reads one request, whose first bytes ``conn`` has received."""

    def __init__(
        self, tcp: TcpConn, conn: h11.Connection, limits: HttpLimits, turns: Turns
    ) -> None:
        self._tcp = tcp
        self._conn = conn
        self._limits = limits
        self._turns = turns
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._parse_seconds = 0.0

    async def read(self, is_pipelined: bool = False) -> Request | None:
        """Return the request, or None if the client sends no more.

        Parameters
        ----------
        is_pipelined : bool
            Whether it was sent before the last one was answered. It takes its turn, as
            such requests are read and answered without any wait for the client.
        """
        if is_pipelined:
            await self._wait_for_turn()
        head = await self._read_head()
        if head is None:
            return None
        _check_framing(head.fields)
        _check_announced_length(head.fields, self._limits.max_body_bytes)
        if self._conn.they_are_waiting_for_100_continue:
            data = self._conn.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
            await self._tcp.write(data or b"")
        body = await self._read_body()
        return Request(head, body, self._started_at)

    async def _read_head(self) -> RequestHead | None:
        latest = self._loop.time() + self._limits.head_timeout
        while True:
            event = self._next_event()
            match event:
                case h11.Request():
                    fields = list(event.headers.raw_items())
                    head = RequestHead(event.method, event.target, fields)
                    _check_head_size(head, self._limits.max_head_bytes)
                    return head
                case h11.ConnectionClosed():
                    return None
            try:
                data = await _read_within(self._tcp, latest - self._loop.time())
            except TimeoutError:
                raise BadRequest(408, "the head took too long") from None
            self._receive(data)

    async def _read_body(self) -> bytes:
        body = _Body()
        resumed_at, events = self._loop.time(), 0
        while True:
            event = self._next_event()
            match event:
                case h11.Data():
                    body.append(event.data)
                    if body.size > self._limits.max_body_bytes:
                        raise BadRequest(413, "the body is too large")
                case h11.EndOfMessage():
                    return body.join()
                case h11.ConnectionClosed():
                    raise BadRequest(400, "the body was cut")
                case _:
                    self._parse_seconds += self._loop.time() - resumed_at
                    try:
                        data = await _read_within(self._tcp, self._limits.idle_timeout)
                    except TimeoutError:
                        raise BadRequest(408, "the body took too long") from None
                    if self._parse_seconds > FREE_PARSE_S:
                        await self._wait_for_turn()
                    resumed_at = self._loop.time()
                    self._receive(data)
            events += 1
            if events % EVENTS_PER_CHECK:
                continue
            if (seconds := self._loop.time() - resumed_at) > SLICE_S:
                self._parse_seconds += seconds
                if self._parse_seconds > FREE_PARSE_S:
                    await self._wait_for_turn()
                resumed_at = self._loop.time()

    async def _wait_for_turn(self) -> None:
        await self._turns.wait()
        if self._tcp.is_lost:
            raise ConnectionResetError("client disconnected before its request ran")

    def _next_event(self) -> Any:
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadRequest(exc.error_status_hint, str(exc)) from None

    def _receive(self, data: bytes) -> None:
        try:
            self._conn.receive_data(data)
        except h11.RemoteProtocolError as exc:
            raise BadRequest(exc.error_status_hint, str(exc)) from None


class _Body:
    """A body that is being read, in blocks."""

    def __init__(self) -> None:
        self.size = 0
        self._blocks = [bytearray()]

    def append(self, data: bytes) -> None:
        self.size += len(data)
        if len(self._blocks[-1]) + len(data) > BLOCK_BYTES:
            self._blocks.append(bytearray())
        self._blocks[-1] += data

    def join(self) -> bytes:
        """Return the whole body; this one is empty then."""
        blocks, self._blocks = self._blocks, [bytearray()]
        return b"".join(blocks)


async def _read_within(tcp: TcpConn, timeout: float) -> bytes:
    """Return the next bytes; raises TimeoutError if none arrive in time."""
    try:
        async with run_timeout(timeout):
            return await tcp.read()
    except TimeoutError:
        if not tcp.has_arrived():
            raise
    # They arrived before the connection or the request was given up.
    return await tcp.read()


def _check_head_size(head: RequestHead, max_bytes: int) -> None:
    """Reject a head that is too large.

    The limit of h11 applies to incomplete events only, so that a head which arrives
    at once passes it.
    """
    size = len(head.method) + len(head.path)
    size += sum(len(key) + len(value) for key, value in head.fields)
    if size > max_bytes:
        raise BadRequest(431, f"a head of {size} bytes; {max_bytes} are allowed")


def _check_announced_length(fields: Fields, max_bytes: int) -> None:
    """Reject a body that is too large before any of it is read."""
    for value in field_values(fields, b"content-length"):
        if len(value) > MAX_LENGTH_DIGITS or int(value) > max_bytes:
            raise BadRequest(413, "the body is too large")


def _check_framing(fields: Fields) -> None:
    """Reject fields by which two parsers could find different body lengths.

    They would allow request smuggling.
    """
    has_length = any(True for _ in field_values(fields, b"content-length"))
    if has_length and any(True for _ in field_values(fields, b"transfer-encoding")):
        raise BadRequest(400, "a length beside a transfer encoding")
