"""Writing of responses to a connection."""

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from lagoontide.http1.messages import Fields, Response, ResponseHead
from lagoontide.http1.tcp import TcpConn

__all__ = ["ResponseWriter"]


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

    async def send(self, response: Response) -> None:
        """Send a complete response."""
        length = (b"Content-Length", b"%d" % len(response.body))
        await self._write(
            self._make_head(response.status, [*response.fields, length]),
            *([h11.Data(data=response.body)] if self._has_body else []),
            h11.EndOfMessage(),
        )
        self.is_complete = True

    async def start(self, head: ResponseHead) -> None:
        """Send a head; the body that follows is chunked unless its length is set."""
        if head.length is None:
            framing = (b"Transfer-Encoding", b"chunked")
        else:
            framing = (b"Content-Length", b"%d" % head.length)
        await self._write(
            self._make_head(head.status, [*head.fields, framing], head.reason)
        )

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body."""
        if self._has_body:
            await self._write(h11.Data(data=data))

    async def finish(self) -> None:
        """End the body."""
        await self._write(h11.EndOfMessage())
        self.is_complete = True

    async def write_raw(self, data: bytes) -> None:
        """Send raw bytes that bypass HTTP framing; only simulated targets use this."""
        await self._tcp.write(data)

    def _make_head(
        self, status: int, fields: Fields, reason: bytes = b""
    ) -> h11.Response:
        if self._must_close():
            fields = [*fields, (b"Connection", b"close")]
        return h11.Response(status_code=status, headers=fields, reason=reason)

    async def _write(self, *events: Any) -> None:
        self.is_started = True
        data = b"".join(self._conn.send(event) or b"" for event in events)
        if data:
            await self._tcp.write(data)
