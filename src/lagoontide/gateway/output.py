"""Non-blocking JSON log output with a bounded queue."""

import asyncio
import os
import sys
from collections import deque
from typing import Any

import msgspec
from loguru import logger

__all__ = ["LogOutput"]

MAX_QUEUED_LINES = 5000
FLUSH_INTERVAL_S = 0.05
MAX_WRITE_BYTES = 64 << 10


class LogOutput:
    """Queues log lines for standard output; drops and counts lines on overflow.

    Parameters
    ----------
    process : str
        Process name written to every line.
    fd : int, optional
        File descriptor to write to; standard output by default.

    Attributes
    ----------
    dropped : int
        Lines dropped so far.
    """

    def __init__(self, process: str, fd: int | None = None) -> None:
        self.dropped = 0
        self._process = process
        self._fd = sys.stdout.fileno() if fd is None else fd
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._reported = 0
        self._has_lines = asyncio.Event()

    def install(self, level: str = "INFO") -> None:
        """Make this the only log handler."""
        os.set_blocking(self._fd, False)
        logger.remove()
        logger.add(self.enqueue, level=level, format="{message}", backtrace=False)

    def enqueue(self, message: Any) -> None:
        """Encode and queue one loguru message, or drop it if the queue is full."""
        self._has_lines.set()
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        record = message.record
        line = {
            "time": record["time"].isoformat(timespec="milliseconds"),
            "level": record["level"].name,
            "process": self._process,
            "message": record["message"],
            **{key: value for key, value in record["extra"].items() if value != ""},
        }
        if record["exception"] is not None:
            line["exception"] = str(message)
        try:
            data = msgspec.json.encode(line)
        except (TypeError, ValueError, ArithmeticError):
            # A number or a text that JSON has no form for.
            data = msgspec.json.encode({key: ascii(line[key]) for key in line})
        self._lines.append(data + b"\n")

    async def run(self) -> None:
        """Write queued lines until cancelled."""
        while True:
            await self._has_lines.wait()
            self.flush()
            if not self._unwritten and not self._lines:
                self._has_lines.clear()
            await asyncio.sleep(FLUSH_INTERVAL_S)

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        if self.dropped > self._reported:
            newly_dropped, self._reported = self.dropped - self._reported, self.dropped
            logger.warning("{} log lines dropped", newly_dropped)
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_block()
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the loss cannot be logged.
                self.dropped += len(self._lines) + 1
                self._unwritten = b""
                self._lines.clear()
                return
            self._unwritten = self._unwritten[written:]

    def _next_block(self) -> bytes:
        block = bytearray()
        while self._lines and len(block) < MAX_WRITE_BYTES:
            block += self._lines.popleft()
        return bytes(block)
