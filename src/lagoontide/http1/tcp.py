"""A TCP connection with awaitable reads and writes, for one reading task."""

import asyncio
import select
import socket
import threading
from collections.abc import Callable

from lagoontide.http1.holdings import Holding, Phase
from lagoontide.http1.peer_watch import PeerWatch, read_tcp_info
from lagoontide.timers import run_timeout

__all__ = ["TcpConn", "connect_tcp"]

# Unread bytes above which reading is paused, so that TCP slows the peer down.
READ_HIGH_WATER_BYTES = 64 << 10
READ_BYTES = 64 << 10
WRITE_HIGH_WATER_BYTES = 64 << 10
# A peer that lost power sends neither FIN nor reset. The kernel detects it by keepalive
# probes, ``PeerWatch`` by data that stays unacknowledged.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Only where the kernel does not tell what a peer has acknowledged, as this also ends
# connections of peers that read nothing.
USER_TIMEOUT_MS = 2500


class _ReadBuffer(threading.local):
    """The buffer into which all connections of a thread are read, one at a time."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(READ_BYTES))


_read_buffer = _ReadBuffer()


class TcpConn(asyncio.BufferedProtocol):
    """A TCP connection that reports its loss immediately.

    Attributes
    ----------
    on_lost : callable or None
        Called once, when the connection is lost. A local close or abort calls it as
        well, so that callers set it to None before.
    is_lost : bool
        Whether the peer has closed the connection, by FIN or reset.
    was_reset : bool
        Whether the connection ended other than by a clean FIN.
    last_byte_at : float or None
        Loop time at which bytes were last received.
    holding : Holding or None
        Accounts for the bytes that are held for the connection.
    on_closed : callable or None
        Called once the socket is closed, when nothing is held any more.
    """

    def __init__(self, on_open: Callable[["TcpConn"], None] | None = None) -> None:
        self.on_lost: Callable[[], None] | None = None
        self.is_lost = False
        self.was_reset = False
        self.last_byte_at: float | None = None
        self.holding: Holding | None = None
        self.on_closed: Callable[[], None] | None = None
        self._is_discarding = False
        self._on_open = on_open
        self._data = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._watch: PeerWatch | None = None

    @property
    def transport(self) -> asyncio.Transport:
        """The asyncio transport; available once the connection is established."""
        assert self._transport is not None
        return self._transport

    @property
    def has_unread(self) -> bool:
        """Whether received bytes are still unread."""
        return bool(self._data)

    @property
    def unread_bytes(self) -> int:
        """Number of received bytes that are unread."""
        return len(self._data)

    def has_arrived(self) -> bool:
        """Return whether bytes or the peer's FIN wait to be read.

        Unlike ``has_unread``, this includes what the event loop has not seen yet.
        """
        if self._data or self.transport.is_closing():
            return bool(self._data)
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _enable_keepalive(sock)
            if read_tcp_info(sock) is None:
                sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
                )
            else:
                self._watch = PeerWatch(
                    sock, transport.get_write_buffer_size, self.abort
                )
        if self._on_open is not None:
            self._on_open(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """See asyncio.BufferedProtocol."""
        return _read_buffer.view

    def buffer_updated(self, nbytes: int) -> None:
        """See asyncio.BufferedProtocol."""
        if self._is_discarding:
            self.transport.pause_reading()
            self._wake_reader()
            return
        self._data += _read_buffer.view[:nbytes]
        self.last_byte_at = asyncio.get_running_loop().time()
        if len(self._data) > READ_HIGH_WATER_BYTES:
            self.transport.pause_reading()
        if self.holding is not None:
            self.holding.receive(nbytes)
        self._wake_reader()

    def eof_received(self) -> bool:
        """See asyncio.Protocol; the write side stays open."""
        self._mark_lost(was_reset=False)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        if self._watch is not None:
            self._watch.stop()
        self._mark_lost(was_reset=exc is not None or not self.is_lost)
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        if self.on_closed is not None:
            self.on_closed()

    def pause_writing(self) -> None:
        """See asyncio.Protocol."""
        self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """See asyncio.Protocol."""
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        self._write_waiter = None
        if self.holding is not None:
            self.holding.set_unsent(self.transport.get_write_buffer_size())

    async def read(self) -> bytes:
        """Return the received bytes; empty once the peer has closed cleanly.

        Raises
        ------
        ConnectionResetError
            If the connection ended in any other way and nothing is left to read.
        """
        while not self._data and not self.is_lost:
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        if not self._data and self.was_reset:
            raise ConnectionResetError("connection reset")
        data = bytes(self._data)
        self._data.clear()
        if not self.transport.is_closing():
            self.transport.resume_reading()
        return data

    async def write(self, data: bytes) -> None:
        """Send bytes, waiting while the write buffer is full.

        Raises
        ------
        ConnectionResetError
            If the connection is closed already.
        """
        if self.transport.is_closing() or self.was_reset:
            raise ConnectionResetError("cannot write: connection closed")
        self.transport.write(data)
        if self._watch is not None:
            self._watch.start()
        if self.holding is not None:
            self.holding.set_unsent(self.transport.get_write_buffer_size())
        if self._write_waiter is not None:
            await self._wait_for_reader(self._write_waiter)

    async def _wait_for_reader(self, waiter: asyncio.Future[None]) -> None:
        holding = self.holding
        if holding is None:
            await waiter
            return
        phase, holding.phase = holding.phase, Phase.READER
        try:
            await waiter
        finally:
            holding.phase = phase

    def discard_received(self) -> None:
        """Drop what was received and not read, and whatever is received from now on."""
        self._is_discarding = True
        self._data = bytearray()

    async def wait_for_discarded(self) -> bool:
        """Wait until more bytes were dropped; return False once the peer has closed."""
        if not self.is_lost and not self.transport.is_closing():
            self.transport.resume_reading()
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        return not self.is_lost

    def close(self) -> None:
        """Close once all written bytes have been sent."""
        self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the peer sees that the data is incomplete."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.transport.abort()

    def _mark_lost(self, was_reset: bool) -> None:
        self.was_reset = self.was_reset or was_reset
        if self.is_lost:
            self._wake_reader()
            return
        self.is_lost = True
        self._wake_reader()
        if self.on_lost is not None:
            self.on_lost()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)


# struct linger {on, 0 s}: close() sends a reset instead of a FIN.
_LINGER_RESET = (1).to_bytes(4, "little") + (0).to_bytes(4, "little")


def _enable_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def connect_tcp(host: str, port: int, timeout: float) -> TcpConn:
    """Open a connection; raises OSError or TimeoutError, with nothing sent.

    Parameters
    ----------
    timeout : float
        Seconds that the peer has; time in which this process did not run, or was late,
        is not counted against it.
    """
    loop = asyncio.get_running_loop()
    async with run_timeout(timeout):
        _, tcp = await loop.create_connection(TcpConn, host, port)
    return tcp
