"""The answering side: a server socket that hands messages to a handler."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import zmq
from loguru import logger

from lagoontide.errors import LagoontideError, WireError
from lagoontide.tasks import TaskSet
from lagoontide.wire.codec import Codec, Header
from lagoontide.wire.conn import (
    MAX_MESSAGE_BYTES,
    SEND_QUEUE_MESSAGES,
    Context,
    Identity,
)
from lagoontide.wire.sock import LoopSocket

__all__ = ["Handler", "Send", "Server", "bind"]


Send = Callable[[msgspec.Struct], Awaitable[None]]
Handler = Callable[[str, Any, Send], Awaitable[None]]


class Server:
    """A bound socket; each message is handled in a task of its own.

    Attributes
    ----------
    address : str
        Where peers connect, with the port that was taken.
    rejected : int
        Messages that could not be decoded.
    """

    def __init__(
        self,
        sock: zmq.Socket[bytes],
        codec: Codec,
        identity: Identity,
        handler: Handler,
    ) -> None:
        self._codec = codec
        self._identity = identity
        self._handler = handler
        self._tasks = TaskSet()
        self.address: str = sock.get_string(zmq.LAST_ENDPOINT)
        self.rejected = 0
        self._sock = LoopSocket(sock, self._take)

    def _take(self, frames: list[bytes]) -> None:
        route, *rest = frames
        try:
            header, message = self._codec.decode(rest)
        except WireError as exc:
            self.rejected += 1
            logger.bind(step="decode").warning("rejected a message: {}", exc)
            return
        self._identity.observe(header)
        self._tasks.start(self._handle(route, header, message))

    async def _handle(
        self, route: bytes, header: Header, message: msgspec.Struct
    ) -> None:
        async def send(reply: msgspec.Struct) -> None:
            back = Header(self._identity.name, header.exchange, self._identity.version)
            try:
                self._sock.send([route, *self._codec.encode(back, reply)])
            except zmq.ZMQError as exc:
                logger.bind(peer=header.sender).debug("peer is gone: {}", exc)

        try:
            await self._handler(header.sender, message, send)
        except LagoontideError as exc:
            logger.bind(peer=header.sender).warning("{}", exc)
        except Exception:
            logger.bind(peer=header.sender).exception("handler failed")

    def close(self) -> None:
        """Cancel what is being handled and close the socket."""
        self._tasks.cancel()
        self._sock.close()


def bind(
    ctx: Context,
    address: str,
    codec: Codec,
    identity: Identity,
    handler: Handler,
    max_bytes: int = MAX_MESSAGE_BYTES,
) -> Server:
    """Return a server bound to ``address``; port 0 takes a free one.

    Parameters
    ----------
    max_bytes : int
        Bytes of the longest message; a peer that sends more is cut off.

    Raises
    ------
    WireError
        If the address cannot be bound.
    """
    sock = ctx.socket(zmq.ROUTER)
    sock.set(zmq.LINGER, 0)
    sock.set(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    sock.set(zmq.MAXMSGSIZE, max_bytes)
    try:
        sock.bind(address)
    except zmq.ZMQError as exc:
        sock.close()
        raise WireError(f"cannot bind {address!r}: {exc}", step="bind") from exc
    return Server(sock, codec, identity, handler)
