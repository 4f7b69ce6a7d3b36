"""Log lines on standard output: JSON, bounded, and never waited for."""

import asyncio
import os
import sys
from collections import deque
from typing import Any

import msgspec
from loguru import logger

__all__ = ["LogOutput"]

MOST_LINES = 5000
FLUSH_EVERY_S = 0.05
MAX_WRITE_BYTES = 64 << 10


class LogOutput:
    """Keeps lines until standard output takes them; drops and counts the rest."""

    def __init__(self, process: str, fd: int | None = None) -> None:
        self.dropped = 0
        self._process = process
        self._fd = sys.stdout.fileno() if fd is None else fd
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._told = 0
        self._has_lines = asyncio.Event()

    def install(self, level: str = "INFO") -> None:
        """Send all logs here."""
        os.set_blocking(self._fd, False)
        logger.remove()
        logger.add(self.take, level=level, format="{message}", backtrace=False)

    def take(self, message: Any) -> None:
        """Take one record from loguru."""
        self._has_lines.set()
        if len(self._lines) >= MOST_LINES:
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
        self._lines.append(msgspec.json.encode(line) + b"\n")

    async def run(self) -> None:
        """Write lines for ever."""
        while True:
            await self._has_lines.wait()
            self.flush()
            if not self._rest and not self._lines:
                self._has_lines.clear()
            await asyncio.sleep(FLUSH_EVERY_S)

    def flush(self) -> None:
        """Write what standard output takes now."""
        if self.dropped > self._told:
            told, self._told = self.dropped - self._told, self.dropped
            logger.warning("{} log lines dropped", told)
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_block()
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to say so.
                self.dropped += len(self._lines) + 1
                self._rest = b""
                self._lines.clear()
                return
            self._rest = self._rest[written:]

    def _next_block(self) -> bytes:
        block = bytearray()
        while self._lines and len(block) < MAX_WRITE_BYTES:
            block += self._lines.popleft()
        return bytes(block)
