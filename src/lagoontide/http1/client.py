"""The targets' side: one request at a time on a connection."""

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from typing import Any

import h11

from lagoontide.http1.link import Link
from lagoontide.http1.messages import (
    Fields,
    RequestHead,
    Response,
    ResponseHead,
    field_value,
    is_success,
)

__all__ = ["BadAnswer", "TargetConn", "TooLong"]

MAX_HEAD_BYTES = 64 << 10
# A body this long may still be unread when an early answer comes.
LONG_BODY_BYTES = 16 << 10
# Interim answers (RFC 9110, 15.2) before the final one; usual are one or two.
MAX_INTERIM_HEADS = 16
MAX_STRAY_ANSWERS = 4
# An answer to another request is read on for the one behind it, up to here.
MAX_STRAY_BYTES = 256 << 10
STRAY_TIMEOUT_S = 1.0
# What a call reads whole, unless it says otherwise.
MAX_CALL_BYTES = 1 << 20

IsOurs = Callable[[ResponseHead], bool]


class BadAnswer(Exception):
    """What arrived is no whole answer to this request."""


class TooLong(BadAnswer):
    """An answer's body is longer than it may be."""


class TargetConn:
    """A connection to a target.

    Attributes
    ----------
    idle_since : float
        Loop time at which its last answer ended.
    idle_limit : float or None
        Seconds of idleness after which the target says that it closes.
    is_fresh : bool
        Whether nothing has been sent on it yet.
    last_body : bytes
        Body of the last call's answer, where it tells a doubled answer.
    """

    def __init__(self, link: Link) -> None:
        self.link = link
        self.idle_since = asyncio.get_running_loop().time()
        self.idle_limit: float | None = None
        self.is_fresh = True
        self.last_body = b""
        self._conn = _make_h11()
        self._sent: list[Any] = []
        self._body_bytes = 0
        self._is_spoiled = False

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent: open, in step, and nothing unread."""
        return not (self.link.is_lost or self.link.has_unread or self._is_spoiled)

    async def send(self, head: RequestHead, body: bytes) -> None:
        """Send a request; raises ConnectionError."""
        fields = head.fields
        if body or head.method not in (b"GET", b"HEAD", b"DELETE"):
            fields = [*fields, (b"Content-Length", b"%d" % len(body))]
        request = h11.Request(method=head.method, target=head.path, headers=fields)
        data = [h11.Data(data=body)] if body else []
        self._sent = [request, *data, h11.EndOfMessage()]
        self.is_fresh = False
        await self.link.write(self._send_events())
        self._body_bytes = len(body)

    async def read_head(self, is_ours: IsOurs | None = None) -> ResponseHead:
        """Return the head of the answer.

        Parameters
        ----------
        is_ours : callable, optional
            Tells an answer to this request from a late or doubled one, which is
            read to its end and dropped.

        Raises
        ------
        BadAnswer, ConnectionError
        """
        for _ in range(MAX_STRAY_ANSWERS):
            head = await self._read_any_head()
            if is_ours is None or is_ours(head):
                if not is_success(head.status) and self._body_bytes > LONG_BODY_BYTES:
                    self._is_spoiled = True
                return head
            await self._skip_answer()
        raise BadAnswer("only answers to other requests")

    async def read_body(self, most: int | None = None) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Parameters
        ----------
        most : int, optional
            Bytes that it may have.

        Raises
        ------
        BadAnswer, ConnectionError
        """
        left = math.inf if most is None else most
        while True:
            match await self._next_event():
                case h11.Data(data=data):
                    left -= len(data)
                    if left < 0:
                        self._is_spoiled = True
                        raise TooLong(f"a body of over {most} bytes")
                    yield bytes(data)
                case h11.EndOfMessage():
                    return
                case h11.ConnectionClosed():
                    raise BadAnswer("the answer was cut")

    async def read_whole(self, most: int) -> bytes:
        """Return the whole body, of up to ``most`` bytes; see ``read_body``."""
        return b"".join([chunk async for chunk in self.read_body(most)])

    async def call(
        self, head: RequestHead, body: bytes = b"", most: int = MAX_CALL_BYTES
    ) -> Response:
        """Send a request and return its answer, read whole.

        Parameters
        ----------
        most : int
            Bytes that the answer's body may have.

        Raises
        ------
        BadAnswer, ConnectionError
        """
        await self.send(head, body)
        answer = await self.read_head()
        return Response(answer.status, answer.fields, await self.read_whole(most))

    def rest(self) -> bool:
        """Make ready for the next request; return whether there can be one."""
        is_done = (
            self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE
        )
        if not is_done or self._conn.trailing_data[0] or not self.is_usable:
            return False
        if self.link.transport.get_write_buffer_size():
            return False
        self._conn.start_next_cycle()
        self.idle_since = asyncio.get_running_loop().time()
        return True

    def close(self) -> None:
        """Close, so that the target sees at once that nobody waits."""
        self.link.on_lost = None
        self.link.abort()

    def _send_events(self) -> bytes:
        return b"".join(self._conn.send(event) or b"" for event in self._sent)

    async def _read_any_head(self) -> ResponseHead:
        for _ in range(MAX_INTERIM_HEADS):
            match await self._next_event():
                case h11.Response() as event:
                    fields = list(event.headers.raw_items())
                    self._note_keep_alive(fields)
                    length = field_value(fields, b"content-length")
                    return ResponseHead(
                        event.status_code,
                        fields,
                        bytes(event.reason),
                        None if length is None else int(length),
                    )
                case h11.ConnectionClosed():
                    raise ConnectionResetError("closed without an answer")
        self._is_spoiled = True
        raise BadAnswer(f"{MAX_INTERIM_HEADS} interim answers and no other")

    async def _skip_answer(self) -> None:
        """Read an answer that is not ours, and expect ours behind it."""
        try:
            async with asyncio.timeout(STRAY_TIMEOUT_S):
                async for _ in self.read_body(MAX_STRAY_BYTES):
                    pass
        except TimeoutError:
            self._is_spoiled = True
            raise BadAnswer("another request's answer does not end") from None
        data, has_ended = self._conn.trailing_data
        must_close = self._conn.our_state is h11.MUST_CLOSE
        if has_ended or must_close:
            raise ConnectionResetError("closed behind another answer")
        self._conn = _make_h11()
        self._send_events()
        if data:
            self._conn.receive_data(data)

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._conn.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._conn.receive_data(await self.link.read())
            except h11.RemoteProtocolError as exc:
                self._is_spoiled = True
                raise BadAnswer(str(exc)) from None

    def _note_keep_alive(self, fields: Fields) -> None:
        value = field_value(fields, b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.idle_limit = float(seconds)


def _make_h11() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
