"""HTTP client for targets, with one request at a time on a connection."""

import asyncio
import math
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Any

import h11

from lagoontide.http1.messages import (
    Fields,
    RequestHead,
    Response,
    ResponseHead,
    field_value,
    is_success,
)
from lagoontide.http1.tcp import TcpConn
from lagoontide.timers import run_timeout

__all__ = ["InvalidResponse", "ResponseTooLarge", "TargetConn"]

MAX_HEAD_BYTES = 64 << 10
# Final responses (RFC 9110, 15); other codes say that the sender is out of order.
FINAL_STATUSES = range(200, 600)
# A target that rejects a larger body may not have read all of it; the connection
# is then not reused.
LARGE_BODY_BYTES = 16 << 10
# Interim (1xx) responses before the final one (RFC 9110, 15.2); one or two are usual.
MAX_INTERIM_RESPONSES = 16
# Limits on skipping responses to other requests, to read the expected one after them.
MAX_SKIPPED_RESPONSES = 4
# A second copy of a response comes where the next one or one soon after is expected.
MAX_REQUEST_IDS = 64
MAX_SKIPPED_BYTES = 256 << 10
SKIP_TIMEOUT_S = 1.0
DEFAULT_MAX_BODY_BYTES = 1 << 20

HeadPredicate = Callable[[ResponseHead], bool]
ResponsePredicate = Callable[[Response], bool]


class InvalidResponse(Exception):
    """The received data is no complete response to this request."""


class ResponseTooLarge(InvalidResponse):
    """The response body exceeds the permitted size."""


class TargetConn:
    """A connection to a target.

    Attributes
    ----------
    idle_since : float
        Loop time at which the last response was complete.
    keep_alive_timeout : float or None
        Idle timeout in seconds that the target announced in Keep-Alive.
    is_fresh : bool
        Whether no request has been sent on the connection yet.
    lane : str
        Kind of calls that the connection is reserved for, see ConnPool; "" for none.
    answer_marks : deque of bytes
        What tells the last responses from all others, for users whose calls have no id.
    request_ids : deque of str
        Ids of the last requests sent, for users that match responses by them.
    """

    def __init__(self, tcp: TcpConn) -> None:
        self.tcp = tcp
        self.idle_since = asyncio.get_running_loop().time()
        self.keep_alive_timeout: float | None = None
        self.is_fresh = True
        self.lane = ""
        self.answer_marks: deque[bytes] = deque(maxlen=MAX_REQUEST_IDS)
        self.request_ids: deque[str] = deque(maxlen=MAX_REQUEST_IDS)
        self._conn = _make_h11()
        self._sent_events: list[Any] = []
        self._request_body_bytes = 0
        self._is_broken = False

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent: open, in sync, and nothing unread."""
        return not (self.tcp.is_lost or self.tcp.has_unread or self._is_broken)

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Send a request; raises ConnectionError."""
        fields = head.fields
        if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
            fields = [*fields, (b"Content-Length", b"%d" % len(body))]
        request = h11.Request(method=head.method, target=head.path, headers=fields)
        data = [h11.Data(data=body)] if body else []
        self._sent_events = [request, *data, h11.EndOfMessage()]
        self.is_fresh = False
        await self.tcp.write(self._encode_request())
        self._request_body_bytes = len(body)

    async def read_head(self, is_match: HeadPredicate | None = None) -> ResponseHead:
        """Return the head of the final response.

        Parameters
        ----------
        is_match : callable, optional
            Returns whether a response belongs to this request. A late or duplicated
            response to another one is read to its end and discarded.

        Raises
        ------
        InvalidResponse, ConnectionError
        """
        for _ in range(MAX_SKIPPED_RESPONSES):
            head = await self._read_final_head()
            if is_match is None or is_match(head):
                if (
                    not is_success(head.status)
                    and self._request_body_bytes > LARGE_BODY_BYTES
                ):
                    self._is_broken = True
                return head
            await self._skip_response()
        raise InvalidResponse("no response to this request, only to other requests")

    async def read_body(self, max_bytes: int | None = None) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive.

        Parameters
        ----------
        max_bytes : int, optional
            Maximum size of the body; by default unlimited.

        Raises
        ------
        InvalidResponse, ConnectionError
        """
        left = math.inf if max_bytes is None else max_bytes
        while True:
            match await self._next_event():
                case h11.Data(data=data):
                    left -= len(data)
                    if left < 0:
                        self._is_broken = True
                        raise ResponseTooLarge(
                            f"response body exceeds {max_bytes} bytes"
                        )
                    yield bytes(data)
                case h11.EndOfMessage():
                    return
                case h11.ConnectionClosed():
                    raise InvalidResponse(
                        "connection closed before the end of the response body"
                    )
                case event:
                    # A response that makes a tunnel of the connection has no end.
                    self._is_broken = True
                    raise InvalidResponse(f"unexpected {event!r} in a response body")

    async def read_full_body(self, max_bytes: int) -> bytes:
        """Return the complete body, of up to ``max_bytes`` bytes; see ``read_body``."""
        return b"".join([chunk async for chunk in self.read_body(max_bytes)])

    async def call(
        self,
        head: RequestHead,
        body: bytes = b"",
        max_bytes: int = DEFAULT_MAX_BODY_BYTES,
        is_match: ResponsePredicate | None = None,
    ) -> Response:
        """Send a request and return the complete response.

        Parameters
        ----------
        max_bytes : int
            Maximum size of the response body.
        is_match : callable, optional
            Returns whether a response belongs to this request; others are discarded.

        Raises
        ------
        InvalidResponse, ConnectionError
        """
        await self.send(head, body)
        for _ in range(MAX_SKIPPED_RESPONSES):
            answer = await self.read_head()
            response = Response(
                answer.status, answer.fields, await self.read_full_body(max_bytes)
            )
            if is_match is None or is_match(response):
                return response
            self._expect_next_response()
        raise InvalidResponse("no response to this request, only to other requests")

    def prepare_reuse(self) -> bool:
        """Prepare for the next request; return whether the connection is reusable."""
        is_done = (
            self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE
        )
        if not is_done or self._conn.trailing_data[0] or not self.is_usable:
            return False
        if self.tcp.transport.get_write_buffer_size():
            return False
        self._conn.start_next_cycle()
        # They hold the body of the request.
        self._sent_events = []
        self.idle_since = asyncio.get_running_loop().time()
        return True

    def close(self) -> None:
        """Reset the connection, so that the target can stop the request at once."""
        self.tcp.on_lost = None
        self.tcp.abort()

    def _encode_request(self) -> bytes:
        return b"".join(self._conn.send(event) or b"" for event in self._sent_events)

    async def _read_final_head(self) -> ResponseHead:
        for _ in range(MAX_INTERIM_RESPONSES):
            match await self._next_event():
                case h11.Response() as event:
                    if event.status_code not in FINAL_STATUSES:
                        self._is_broken = True
                        raise InvalidResponse(f"status {event.status_code}")
                    fields = list(event.headers.raw_items())
                    self._parse_keep_alive(fields)
                    length = field_value(fields, b"content-length")
                    return ResponseHead(
                        event.status_code,
                        fields,
                        bytes(event.reason),
                        None if length is None else int(length),
                    )
                case h11.ConnectionClosed():
                    raise ConnectionResetError("connection closed before a response")
        self._is_broken = True
        raise InvalidResponse(
            f"no final response after {MAX_INTERIM_RESPONSES} interim responses"
        )

    async def _skip_response(self) -> None:
        """Read a response to another request; the expected one has to follow it."""
        try:
            async with run_timeout(SKIP_TIMEOUT_S):
                async for _ in self.read_body(MAX_SKIPPED_BYTES):
                    pass
        except TimeoutError:
            self._is_broken = True
            raise InvalidResponse(
                "timed out skipping a response to another request"
            ) from None
        self._expect_next_response()

    def _expect_next_response(self) -> None:
        """Go on after a response to another request; the expected one follows it."""
        data, has_ended = self._conn.trailing_data
        must_close = self._conn.our_state is h11.MUST_CLOSE
        if has_ended or must_close:
            raise ConnectionResetError(
                "connection closed after a response to another request"
            )
        self._conn = _make_h11()
        self._encode_request()
        if data:
            self._conn.receive_data(data)

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._conn.receive_data(await self.tcp.read())
            except h11.RemoteProtocolError as exc:
                self._is_broken = True
                raise InvalidResponse(str(exc)) from None

    def _parse_keep_alive(self, fields: Fields) -> None:
        value = field_value(fields, b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_timeout = float(seconds)


def _make_h11() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
