"""Callers of a soak: open loop, on connections that they keep."""

import asyncio
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import count

from lagoontide.bench.soak.records import KINDS, Asked, Kind
from lagoontide.http1.client import InvalidResponse, TargetConn
from lagoontide.http1.messages import RequestHead, field_value
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.fields import (
    AUTHORIZATION,
    DEADLINE,
    PROMPT_PREFIX,
    REQUEST_ID,
    RESPONSE_SEAL,
)
from lagoontide.tasks import TaskSet

__all__ = ["Address", "Callers"]

PATIENCE_MS = 4000
CONNECT_S = 1.0
LEAVE_SHARE = 0.05
MOST_KEPT = 8

Address = tuple[str, int]


@dataclass(slots=True)
class Callers:
    """Sends requests at a rate, and keeps what became of them.

    Attributes
    ----------
    addresses : callable
        Returns where entries listen.
    keys : list of str
        Keys that callers use.
    rate : float
        Requests a second.
    kinds : sequence of Kind
        The kinds of requests that it sends.
    """

    addresses: Callable[[], list[Address]]
    keys: list[str]
    rate: float
    rng: random.Random
    name: str = "r"
    kinds: Sequence[Kind] = KINDS
    asked: list[Asked] = field(default_factory=list)
    _kept: list[tuple[Address, TargetConn]] = field(default_factory=list)
    _tasks: TaskSet = field(default_factory=TaskSet)
    _numbers: Iterator[int] = field(default_factory=count)

    async def run(self, seconds: float) -> None:
        """Send for some time, and wait for what is under way."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            self._tasks.start(self._ask())
        await self._tasks.join()

    def close(self) -> None:
        """Close the kept connections."""
        while self._kept:
            self._kept.pop()[1].close()

    async def _ask(self) -> None:
        item = Asked(
            id=f"{self.name}{next(self._numbers)}",
            kind=self.rng.choice(self.kinds),
            key=self.rng.choice(self.keys),
            sent_at=asyncio.get_running_loop().time(),
        )
        self.asked.append(item)
        leaves = self.rng.random() < LEAVE_SHARE
        patience = self.rng.uniform(0.01, 0.3) if leaves else PATIENCE_MS / 1000
        conn: TargetConn | None = None
        try:
            async with asyncio.timeout(patience):
                conn = await self._connect(item)
                await self._exchange(conn, item)
        except TimeoutError:
            item.has_left = True
        except (OSError, InvalidResponse):
            item.is_whole = False
        finally:
            item.ended_at = asyncio.get_running_loop().time()
            if conn is not None:
                self._rest(conn, item)

    async def _connect(self, item: Asked) -> TargetConn:
        while self._kept:
            item.entry, conn = self._kept.pop(self.rng.randrange(len(self._kept)))
            if conn.is_usable:
                return conn
            conn.close()
        item.entry = self.rng.choice(self.addresses())
        return TargetConn(await connect_tcp(*item.entry, CONNECT_S))

    async def _exchange(self, conn: TargetConn, item: Asked) -> None:
        fields = [
            (b"Host", b"a.example"),
            (REQUEST_ID, item.id.encode()),
            (DEADLINE, b"%d" % PATIENCE_MS),
            (AUTHORIZATION, b"Bearer " + item.key.encode()),
            *item.kind.fields,
        ]
        if item.kind.shared_parts:
            parts = ",".join(
                f"{part}:100" for part in (*item.kind.shared_parts, item.id)
            )
            fields.append((PROMPT_PREFIX, parts.encode()))
        head = RequestHead(b"POST", item.kind.path.encode(), fields)
        await conn.send(head, item.id.encode())
        answer = await conn.read_head()
        item.status = answer.status
        item.is_sealed = field_value(answer.fields, RESPONSE_SEAL.lower()) is not None
        async for data in conn.read_body():
            item.body += data
        item.is_whole = True

    def _rest(self, conn: TargetConn, item: Asked) -> None:
        if item.is_whole and len(self._kept) < MOST_KEPT and conn.prepare_reuse():
            self._kept.append((item.entry, conn))
        else:
            conn.close()
