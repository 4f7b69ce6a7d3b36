"""A proxy on the loopback that harms what passes through it."""

import asyncio
import contextlib
from enum import StrEnum

from lagoontide.platform.standins.ports import HOST, reserve_ports
from lagoontide.tasks import TaskSet

__all__ = ["Harm", "Proxy"]

BLOCK_BYTES = 64 << 10
DELAY_S = 0.15


class Harm(StrEnum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one way"


class Proxy:
    """Passes bytes between callers and one address.

    Attributes
    ----------
    harm : Harm
        What it does from now on; what is silent stays so.
    """

    def __init__(self, host: str, port: int) -> None:
        self.harm = Harm.NONE
        self.port = 0
        self._upstream = host, port
        self._server: asyncio.Server | None = None
        self._ports = contextlib.ExitStack()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks = TaskSet()

    async def start(self) -> int:
        """Listen; return the port, which stays its own until it is closed."""
        self.port = reserve_ports(self._ports, 1)[0]
        await self._listen()
        return self.port

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def refuse(self) -> None:
        """Refuse new connections and reset the others, as if the upstream had ended."""
        if self._server is not None:
            self._server.close()
        self.cut()

    def resume(self) -> None:
        """Listen again, at the same port."""
        self._tasks.start(self._listen())

    async def close(self) -> None:
        """Stop, cutting all connections."""
        if self._server is not None:
            self._server.close()
        self._ports.close()
        self.cut()

    def cut(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.harm is Harm.RESET:
                return
            back, forth = await asyncio.open_connection(*self._upstream)
            self._writers.add(forth)
            try:
                await asyncio.gather(
                    self._pass(reader, forth, is_answer=False),
                    self._pass(back, writer, is_answer=True),
                )
            finally:
                self._writers.discard(forth)
                forth.transport.abort()
        except OSError:
            return  # Either side has gone; the other is told below.
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(BLOCK_BYTES):
            match self.harm:
                case Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                case Harm.RESET:
                    raise ConnectionResetError("harmed")
                case Harm.SILENCE:
                    continue
                case Harm.ONE_WAY if is_answer:
                    continue
            writer.write(data)
            await writer.drain()
        if not writer.is_closing():
            writer.write_eof()
        if is_answer:
            raise ConnectionResetError("answered to the end")
