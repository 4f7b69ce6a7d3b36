"""Writing of responses to a connection."""

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from lagoontide.http1.messages import Fields, Response, ResponseHead
from lagoontide.http1.tcp import TcpConn

__all__ = ["ResponseWriter", "encode_response"]


def encode_response(
    conn: h11.Connection, response: Response, is_last: bool, has_body: bool = True
) -> bytes:
    """Return the bytes of a complete response.

    Parameters
    ----------
    is_last : bool
        Whether the connection closes after this response.
    has_body : bool
        Whether the body is sent; false for HEAD requests.
    """
    length = (b"Content-Length", b"%d" % len(response.body))
    events = [
        _make_head(response.status, [*response.fields, length], is_last),
        *([h11.Data(data=response.body)] if has_body else []),
        h11.EndOfMessage(),
    ]
    return _encode(conn, *events)


def _make_head(
    status: int, fields: Fields, is_last: bool, reason: bytes = b""
) -> h11.Response:
    if is_last:
        fields = [*fields, (b"Connection", b"close")]
    return h11.Response(status_code=status, headers=fields, reason=reason)


def _encode(conn: h11.Connection, *events: Any) -> bytes:
    return b"".join(conn.send(event) or b"" for event in events)


class ResponseWriter:
    """Writes the response to one request, at once or in parts.

    Parameters
    ----------
    must_close : callable
        Returns whether the connection closes after this response.
    has_body : bool
        Whether the body is sent; false for HEAD requests.
    """

    def __init__(
        self,
        tcp: TcpConn,
        conn: h11.Connection,
        must_close: Callable[[], bool],
        has_body: bool = True,
    ) -> None:
        self._tcp = tcp
        self._conn = conn
        self._must_close = must_close
        self._has_body = has_body
        self.is_started = False
        self.is_complete = False

    def is_ended_by(self, exc: BaseException) -> bool:
        """Return whether an exception only shows that the request was given up.

        That is the client's disconnection or the cancellation of the current task.
        Anything else, also the cancellation of another task, is a fault of the handler.
        """
        match exc:
            case asyncio.CancelledError():
                task = asyncio.current_task()
                return task is not None and task.cancelling() > 0
            case OSError():
                return self.is_disconnected
        return False

    @property
    def is_disconnected(self) -> bool:
        """Whether the connection to the client has ended."""
        return self._tcp.is_lost or self._tcp.transport.is_closing()

    def account_for(self, size: int) -> None:
        """Account for the bytes that are kept of a response until it is sent."""
        if self._tcp.holding is not None:
            self._tcp.holding.set_buffered(size)

    @property
    def may_buffer(self) -> bool:
        """Whether more of a response may be kept until it is complete."""
        return self._tcp.holding is None or self._tcp.holding.may_buffer

    async def send(self, response: Response) -> None:
        """Send a complete response."""
        self.is_started = True
        await self._write(
            encode_response(self._conn, response, self._must_close(), self._has_body)
        )
        self.is_complete = True

    async def start(self, head: ResponseHead) -> None:
        """Send a head; the body that follows is chunked unless its length is set."""
        if head.length is None:
            framing = (b"Transfer-Encoding", b"chunked")
        else:
            framing = (b"Content-Length", b"%d" % head.length)
        self.is_started = True
        fields = [*head.fields, framing]
        event = _make_head(head.status, fields, self._must_close(), head.reason)
        await self._write(_encode(self._conn, event))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._has_body:
            await self._write(_encode(self._conn, h11.Data(data=data)))

    async def finish(self) -> None:
        """End the body."""
        await self._write(_encode(self._conn, h11.EndOfMessage()))
        self.is_complete = True

    async def write_raw(self, data: bytes) -> None:
        """Send raw bytes that bypass HTTP framing; only simulated targets use this."""
        await self._tcp.write(data)

    async def _write(self, data: bytes) -> None:
        if data:
            await self._tcp.write(data)
