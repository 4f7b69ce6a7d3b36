"""Detection of peers that take nothing of what was written to them."""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from loguru import logger

__all__ = ["PeerState", "PeerWatch", "TcpInfo", "read_tcp_info"]

CHECK_INTERVAL_S = 0.5
# A peer that lost power, or to which the network is cut, acknowledges nothing. Checks
# are counted, as time in which this process did not run is no silence of the peer.
UNANSWERED_CHECKS = round(2.5 / CHECK_INTERVAL_S)
# A sound peer that reads nothing for so long holds what was written for nothing; it is
# the time after which idle connections are closed by default.
UNREAD_CHECKS = round(30.0 / CHECK_INTERVAL_S)
# One probe of a peer's window may always be under way.
MAX_PROBES = 1
# struct tcp_info of Linux: state, probes, unacked, bytes_acked and notsent_bytes.
TCP_INFO = struct.Struct("=B2xB20xI92xQ16xI")


class PeerState(Enum):
    """What a peer does with what was written to it."""

    TAKES = "takes bytes"
    HAS_ALL = "has all bytes"
    UNREACHABLE = "acknowledges nothing"
    STOPPED = "reads nothing"


@dataclass(frozen=True, slots=True)
class TcpInfo:
    """What the kernel knows of a connection.

    Attributes
    ----------
    probes : int
        Probes of a closed window that the peer has not answered.
    unacked : int
        Segments that the peer has not acknowledged.
    bytes_acked : int
        Bytes that the peer has acknowledged so far.
    unsent : int
        Bytes that were not sent yet.
    """

    probes: int
    unacked: int
    bytes_acked: int
    unsent: int


def read_tcp_info(sock: socket.socket) -> TcpInfo | None:
    """Return what the kernel knows of a connection, or None if it does not tell."""
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        state, probes, unacked, acked, unsent = TCP_INFO.unpack(data)
    except (OSError, struct.error):
        return None
    return TcpInfo(probes, unacked, acked, unsent) if state else None


class Progress:
    """What a peer has taken since bytes were first waiting for it."""

    def __init__(self) -> None:
        self._acked = -1
        self._unanswered = 0
        self._unread = 0

    def check(self, info: TcpInfo, buffered: int) -> PeerState:
        """Return what the peer does; called at intervals of ``CHECK_INTERVAL_S``.

        A peer that reads nothing closes its window, and acknowledges probes of it.

        Parameters
        ----------
        buffered : int
            Bytes that the process has not passed to the kernel.
        """
        if not (info.unacked or info.unsent or buffered):
            return PeerState.HAS_ALL
        has_taken, self._acked = info.bytes_acked > self._acked, info.bytes_acked
        is_silent = info.unacked > 0 or info.probes > MAX_PROBES
        self._unread = 0 if has_taken else self._unread + 1
        self._unanswered = self._unanswered + 1 if is_silent and self._unread else 0
        if self._unanswered >= UNANSWERED_CHECKS:
            return PeerState.UNREACHABLE
        return PeerState.STOPPED if self._unread >= UNREAD_CHECKS else PeerState.TAKES


class PeerWatch:
    """Ends a connection whose peer is unreachable or has stopped reading.

    TCP_USER_TIMEOUT does not tell these apart: it ends the connection of a sound peer
    as well, if that reads nothing for the time (tcp(7)).

    Parameters
    ----------
    measure_buffered : callable
        Returns the written bytes that the process has not passed to the kernel.
    abort : callable
        Resets the connection.
    """

    def __init__(
        self,
        sock: socket.socket,
        measure_buffered: Callable[[], int],
        abort: Callable[[], None],
    ) -> None:
        self._sock = sock
        self._measure_buffered = measure_buffered
        self._abort = abort
        self._loop = asyncio.get_running_loop()
        self._progress = Progress()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Watch until the peer has taken all that was written."""
        if self._timer is None:
            self._progress = Progress()
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def stop(self) -> None:
        """Watch no more, as the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        info = read_tcp_info(self._sock)
        if info is None:
            return
        buffered = self._measure_buffered()
        match self._progress.check(info, buffered):
            case PeerState.HAS_ALL:
                return
            case PeerState.TAKES:
                self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)
            case state:
                logger.info(
                    "connection given up, its peer {}: {}, {} bytes in the process",
                    state.value,
                    info,
                    buffered,
                )
                self._abort()
