"""A pyzmq socket on the event loop, read by a callback instead of futures.

pyzmq's own asyncio sockets make a future and several flag objects for each
message; here the loop watches the socket's file descriptor and all messages
that have arrived are taken at once.
"""

import asyncio
from collections.abc import Callable

import zmq

__all__ = ["LoopSocket"]

OnFrames = Callable[[list[bytes]], None]

MESSAGES_A_TURN = 64
NOBLOCK = int(zmq.NOBLOCK)


class LoopSocket:
    """Reads a socket whenever the loop is told that it is ready.

    Parameters
    ----------
    sock : zmq.Socket
        Connected or bound already.
    on_frames : callable
        Takes the frames of each message, in order of arrival.
    """

    def __init__(self, sock: zmq.Socket[bytes], on_frames: OnFrames) -> None:
        self._sock = sock
        self._on_frames = on_frames
        self._loop = asyncio.get_running_loop()
        self._fd = int(sock.get(zmq.FD))
        self._is_scheduled = False
        self._is_closed = False
        self._loop.add_reader(self._fd, self._read)
        self._schedule()

    def send(self, frames: list[bytes]) -> None:
        """Queue a message for sending; raises zmq.ZMQError if it cannot be."""
        self._sock.send_multipart(frames, NOBLOCK)
        # The descriptor tells of changes only once, and sending may use that up.
        self._schedule()

    def close(self) -> None:
        """Stop reading and close the socket; unsent messages are dropped."""
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_reader(self._fd)
        self._sock.close(linger=0)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._read_scheduled)

    def _read_scheduled(self) -> None:
        self._is_scheduled = False
        self._read()

    def _read(self) -> None:
        """Take what has arrived; leave the rest to the loop's next turn."""
        for _ in range(MESSAGES_A_TURN):
            if self._is_closed:
                return
            try:
                frames = self._sock.recv_multipart(NOBLOCK)
            except zmq.Again:
                return
            self._on_frames(frames)
        self._schedule()
