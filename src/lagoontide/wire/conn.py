"""The asking side: one connection for each peer."""

import asyncio
from collections.abc import Callable
from itertools import count
from types import TracebackType
from typing import Any

import msgspec
import zmq
from loguru import logger

from lagoontide.errors import PeerError, PeerTimeout, WireError
from lagoontide.timers import run_timeout
from lagoontide.wire.codec import Codec, Header
from lagoontide.wire.sock import LoopSocket

__all__ = ["Conn", "Context", "Exchange", "Identity", "connect"]

SEND_QUEUE_MESSAGES = 10_000
MAX_MESSAGE_BYTES = 64 << 20
CONNECT_S = 0.5
CONNECT_POLL_S = 0.01
KEEPALIVE_IDLE_S = 10
# Each try waits longer, by chance, so that a restart of many makes no storm.
RECONNECT_S = (0.25, 4.0)
MS_PER_S = 1000
CONNECT_TIMEOUT_MS = 400
HEARTBEAT_MS = 500
HEARTBEAT_TIMEOUT_MS = 1500

Context = zmq.Context[zmq.Socket[bytes]]


class Identity(msgspec.Struct):
    """Who this process is towards its peers.

    Attributes
    ----------
    name : str
        Name of the process.
    version : int
        Configuration version in force, sent with every message.
    on_version : callable or None
        Called with the peer's name and its version for every message received.
    """

    name: str
    version: int = 0
    on_version: Callable[[str, int], None] | None = None

    def observe(self, header: Header) -> None:
        """Take note of the version that a peer has in force."""
        if self.on_version is not None:
            self.on_version(header.sender, header.version)


class Exchange:
    """One message sent and the replies to it, in order of arrival."""

    def __init__(self, conn: "Conn", number: int) -> None:
        self._conn = conn
        self.number = number
        self._replies: asyncio.Queue[msgspec.Struct] = asyncio.Queue()

    def __enter__(self) -> "Exchange":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._conn.forget(self.number)

    def put(self, message: msgspec.Struct) -> None:
        """Add a reply that has arrived."""
        self._replies.put_nowait(message)

    async def next(self, timeout: float) -> Any:
        """Return the next reply.

        Parameters
        ----------
        timeout : float
            Seconds to wait.

        Raises
        ------
        PeerTimeout
            If no reply arrives in time.
        """
        try:
            async with run_timeout(timeout):
                return await self._replies.get()
        except TimeoutError:
            raise PeerTimeout(
                f"no reply within {timeout:.3f} s", step="reply", peer=self._conn.peer
            ) from None


class Conn:
    """A connection to the server socket of one peer."""

    def __init__(
        self, sock: zmq.Socket[bytes], peer: str, codec: Codec, identity: Identity
    ) -> None:
        self.peer = peer
        self._sock = LoopSocket(sock, self._take)
        self._codec = codec
        self._identity = identity
        self._numbers = count(1)
        self._exchanges: dict[int, Exchange] = {}
        self._connected_by = asyncio.get_running_loop().time() + CONNECT_S
        self.dropped = 0

    async def open(self, message: msgspec.Struct) -> Exchange:
        """Send a message and return the exchange of its replies."""
        number = next(self._numbers)
        exchange = Exchange(self, number)
        self._exchanges[number] = exchange
        await self._send(number, message)
        return exchange

    async def ask(self, message: msgspec.Struct, timeout: float) -> Any:
        """Send a message and return its first reply, waiting ``timeout`` seconds."""
        with await self.open(message) as exchange:
            return await exchange.next(timeout)

    async def tell(self, message: msgspec.Struct) -> None:
        """Send a message to which no reply is expected."""
        await self._send(0, message)

    def tell_now(self, message: msgspec.Struct) -> None:
        """Send a message to which no reply is expected, unless that would wait."""
        header = Header(self._identity.name, 0, self._identity.version)
        try:
            self._sock.send(self._codec.encode(header, message))
        except zmq.ZMQError as exc:
            raise PeerError(f"cannot send: {exc}", step="send", peer=self.peer) from exc

    def forget(self, number: int) -> None:
        """Drop the replies of an exchange that arrive from now on."""
        self._exchanges.pop(number, None)

    def close(self) -> None:
        """Close the socket; unsent messages are dropped."""
        self._sock.close()

    async def _send(self, number: int, message: msgspec.Struct) -> None:
        header = Header(self._identity.name, number, self._identity.version)
        frames = self._codec.encode(header, message)
        try:
            while not self._try_send(frames):
                await asyncio.sleep(CONNECT_POLL_S)
        except zmq.ZMQError as exc:
            self.forget(number)
            raise PeerError(f"cannot send: {exc}", step="send", peer=self.peer) from exc

    def _try_send(self, frames: list[bytes]) -> bool:
        """Send unless the connection is still being made; raises ZMQError."""
        try:
            self._sock.send(frames)
        except zmq.Again:
            if asyncio.get_running_loop().time() < self._connected_by:
                return False
            raise
        self._connected_by = 0.0
        return True

    def _take(self, frames: list[bytes]) -> None:
        try:
            header, message = self._codec.decode(frames)
        except WireError as exc:
            self.dropped += 1
            logger.bind(peer=self.peer).warning("dropped a reply: {}", exc)
            return
        self._identity.observe(header)
        exchange = self._exchanges.get(header.exchange)
        if exchange is None:
            self.dropped += 1
            return
        exchange.put(message)


def connect(
    ctx: Context,
    address: str,
    codec: Codec,
    identity: Identity,
    reconnect: tuple[float, float] = RECONNECT_S,
    max_bytes: int = MAX_MESSAGE_BYTES,
) -> Conn:
    """Return a connection to ``address``, for example ``tcp://10.0.0.7:7101``.

    Parameters
    ----------
    reconnect : tuple of float
        Seconds before the first try to connect anew, and the most before others.
    max_bytes : int
        Bytes of the longest message; a peer that sends more is cut off.
    """
    sock = ctx.socket(zmq.DEALER)
    sock.set(zmq.LINGER, 0)
    sock.set(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
    sock.set(zmq.MAXMSGSIZE, max_bytes)
    # Without a connection a message is refused at once rather than kept for
    # whoever listens there later: what was refused has certainly not run.
    sock.set(zmq.IMMEDIATE, 1)
    sock.set(zmq.TCP_KEEPALIVE, 1)
    sock.set(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
    # A connection may go silent without a reset; only heartbeats show it.
    sock.set(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    sock.set(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    # The opening packet to an instance without power is lost; a later one is not.
    sock.set(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
    first, most = reconnect
    sock.set(zmq.RECONNECT_IVL, int(first * MS_PER_S))
    sock.set(zmq.RECONNECT_IVL_MAX, int(most * MS_PER_S))
    sock.connect(address)
    return Conn(sock, address, codec, identity)
