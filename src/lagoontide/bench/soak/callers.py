"""Callers of a soak: open loop, on connections that they keep."""

import asyncio
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import count

from lagoontide.bench.soak.records import EVENTS, KINDS, Asked, Kind
from lagoontide.http1.client import InvalidResponse, TargetConn
from lagoontide.http1.messages import RequestHead, ResponseHead, field_value
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.fields import (
    AUTHORIZATION,
    DEADLINE,
    LAST_EVENT,
    PROMPT_PREFIX,
    REQUEST_ID,
    RESPONSE_SEAL,
    RESUMES,
)
from lagoontide.tasks import TaskSet

__all__ = ["Address", "Callers"]

PATIENCE_MS = 4000
CONNECT_S = 1.0
LEAVE_SHARE = 0.05
# Of the resumable streams; the caller's own connection breaks after some events.
BREAK_SHARE = 0.2
MAX_TAKE_UPS = 3
TAKE_UP_PAUSE_S = (0.0, 0.6)
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
        item = self._make(self.rng.choice(self.kinds), self.rng.choice(self.keys))
        leaves = self.rng.random() < LEAVE_SHARE
        patience = self.rng.uniform(0.01, 0.3) if leaves else PATIENCE_MS / 1000
        ends_at = item.sent_at + patience
        breaks = item.kind.is_resumable and self.rng.random() < BREAK_SHARE
        await self._try(item, ends_at, self.rng.randrange(1, EVENTS) if breaks else 0)
        for _ in range(MAX_TAKE_UPS):
            last_event = item.events[-1][0] if item.events else item.last_event
            is_over = item.is_whole and not item.retry_after
            if is_over or not last_event or leaves:
                return
            pause = max(item.retry_after, self.rng.uniform(*TAKE_UP_PAUSE_S))
            loop = asyncio.get_running_loop()
            if loop.time() + pause >= ends_at:
                return
            await asyncio.sleep(pause)
            if loop.time() >= ends_at:
                return
            item = self._make(item.kind, item.key, item.stream, last_event)
            await self._try(item, ends_at)

    def _make(
        self, kind: Kind, key: str, resumes: str = "", last_event: int = 0
    ) -> Asked:
        now = asyncio.get_running_loop().time()
        name = f"{self.name}{next(self._numbers)}"
        item = Asked(name, kind, key, now, resumes=resumes, last_event=last_event)
        self.asked.append(item)
        return item

    async def _try(self, item: Asked, ends_at: float, breaks_after: int = 0) -> None:
        conn: TargetConn | None = None
        try:
            async with asyncio.timeout_at(ends_at):
                conn = await self._connect(item)
                await self._exchange(conn, item, ends_at, breaks_after)
        except TimeoutError:
            item.has_left = True
        except (OSError, InvalidResponse):
            item.is_whole = False
        finally:
            item.ended_at = asyncio.get_running_loop().time()
            if conn is not None:
                self._rest(conn, item)

    async def _connect(self, item: Asked) -> TargetConn:
        while self._kept and not item.resumes:
            item.entry, conn = self._kept.pop(self.rng.randrange(len(self._kept)))
            if conn.is_usable:
                return conn
            conn.close()
        item.entry = self.rng.choice(self.addresses())
        return TargetConn(await connect_tcp(*item.entry, CONNECT_S))

    async def _exchange(
        self, conn: TargetConn, item: Asked, ends_at: float, breaks_after: int
    ) -> None:
        left_ms = PATIENCE_MS
        if item.resumes:
            left_s = ends_at - asyncio.get_running_loop().time()
            left_ms = max(1, int(1000 * left_s))
        item.time_left = left_ms / 1000
        fields = [
            (b"Host", b"a.example"),
            (REQUEST_ID, item.id.encode()),
            (DEADLINE, b"%d" % left_ms),
            (AUTHORIZATION, b"Bearer " + item.key.encode()),
            *item.kind.fields,
        ]
        if item.resumes:
            fields.append((RESUMES, item.resumes.encode()))
            fields.append((LAST_EVENT, b"%d" % item.last_event))
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
        item.retry_after = _retry_after(answer)
        async for data in conn.read_body():
            item.body += data
            if breaks_after and len(item.events) >= breaks_after:
                item.has_broken_off = True
                raise ConnectionResetError("the caller's connection breaks")
        item.is_whole = True

    def _rest(self, conn: TargetConn, item: Asked) -> None:
        if item.is_whole and len(self._kept) < MOST_KEPT and conn.prepare_reuse():
            self._kept.append((item.entry, conn))
        else:
            conn.close()


def _retry_after(answer: ResponseHead) -> float:
    """Return the seconds after which a caller may come back; 0 if none is named."""
    value = field_value(answer.fields, b"retry-after")
    return float(value) if value else 0.0
