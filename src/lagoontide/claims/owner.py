"""The owner of one partition: claims from memory, committed in groups."""

import asyncio
import uuid
from collections import deque
from dataclasses import dataclass, field

import msgspec
from loguru import logger

from lagoontide.claims.messages import (
    Busy,
    ClaimAsk,
    ClaimReply,
    Granted,
    Held,
    NotOwner,
    ReleaseAsk,
)
from lagoontide.claims.rows import Head, Row, RowTable, decode_rows, encode_rows
from lagoontide.errors import StoreConflict, StoreUnavailable
from lagoontide.store.kv import KeyValueStore

__all__ = ["RETENTION_S", "Owner", "head_key", "owner_key", "take_over"]

RETENTION_S = 900.0
COMMIT_INTERVAL_S = 0.4
STORE_RETRY_S = 0.2
MAX_PENDING = 1024
MAX_BATCH = 512
SEGMENT_ROWS = 1024  # About 48 KB in the store.
ROOT = "lagoontide/claims"


def head_key(partition: int) -> str:
    """Return the store key of a partition's head."""
    return f"{ROOT}/{partition}/head"


def owner_key(partition: int) -> str:
    """Return the store key that names a partition's owner."""
    return f"{ROOT}/{partition}/owner"


def _segments_prefix(partition: int) -> str:
    return f"{ROOT}/{partition}/segment/"


class Fenced(StoreConflict):
    """Another entry has taken the partition over."""


@dataclass(slots=True)
class Pending:
    """A row that waits for its commit.

    Attributes
    ----------
    abandoned : bool
        Whether nobody waits for it at the moment.
    withdrawn : bool
        Whether its request never runs.
    """

    row: Row
    reply: asyncio.Future[ClaimReply] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    abandoned: bool = False
    withdrawn: bool = False


class Owner:
    """Answers for one partition as long as its commits succeed.

    Nothing is granted before the commit that has it is confirmed, so an owner
    that was replaced without knowing it grants nothing.
    """

    def __init__(
        self,
        store: KeyValueStore,
        partition: int,
        head: Head,
        version: int,
        table: RowTable,
    ) -> None:
        self.partition = partition
        self.is_fenced = False
        self.commits = 0
        self._store = store
        self._head = head
        self._version = version
        self._table = table
        self._pending: deque[Pending] = deque()
        self._waiting: dict[bytes, Pending] = {}
        self._withdrawn: set[bytes] = set()
        self._wake = asyncio.Event()
        self._task = asyncio.create_task(self._commit_all(), name=f"claims {partition}")

    def __len__(self) -> int:
        return len(self._table)

    async def claim(self, ask: ClaimAsk) -> ClaimReply:
        """Answer a claim, after its commit if it is a new one."""
        if self.is_fenced:
            return NotOwner("")
        if ask.request in self._withdrawn or self._table.is_released(ask.request):
            return Busy("the request has withdrawn its claim")
        held = self._table.find(ask.key)
        if held is not None and held.request == ask.request:
            return Granted()
        if held is not None and held.request in self._withdrawn:
            return Busy("the key is being given back")
        if held is not None:
            return Held(held.request, held.digest)
        waiting = self._waiting.get(ask.key)
        if waiting is not None and waiting.row.request != ask.request:
            return Held(waiting.row.request, waiting.row.digest)
        if waiting is None and len(self._pending) >= MAX_PENDING:
            return Busy("too many claims wait for their commit")
        if waiting is None:
            waiting = self._enqueue(Row(ask.key, ask.request, ask.digest))
        return await self._wait(waiting, ask.budget)

    def release(self, ask: ReleaseAsk) -> None:
        """Give a key back with the next commit."""
        held = self._table.find(ask.key)
        waiting = self._waiting.get(ask.key)
        if ask.request in self._withdrawn:
            return
        if waiting is not None and waiting.row.request == ask.request:
            waiting.withdrawn = True
            self._withdrawn.add(ask.request)
        elif held is not None and held.request == ask.request:
            self._withdrawn.add(ask.request)
            self._enqueue(Row(ask.key, ask.request, 0, released=True))

    def close(self) -> None:
        """Stop; whoever waits is sent elsewhere."""
        self._task.cancel()
        self._fence()

    def _enqueue(self, row: Row) -> Pending:
        pending = Pending(row)
        self._pending.append(pending)
        if not row.released:
            self._waiting[row.key] = pending
        self._wake.set()
        return pending

    async def _wait(self, pending: Pending, budget: float) -> ClaimReply:
        pending.abandoned = False
        try:
            async with asyncio.timeout(budget):
                return await asyncio.shield(pending.reply)
        except TimeoutError:
            pending.abandoned = True
            return Busy("the store did not confirm the claim in time")

    async def _commit_all(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                await self._wake.wait()
                started = loop.time()
                self._table.expire(started)
                await self._commit_batch()
                spent = loop.time() - started
                await asyncio.sleep(max(0.0, COMMIT_INTERVAL_S - spent))
        except Fenced as exc:
            logger.bind(step="claims").warning("{}", exc)
            self._fence()

    async def _commit_batch(self) -> None:
        batch = self._take_batch()
        if not batch:
            return
        if len(self._head.rows) >= SEGMENT_ROWS:
            await self._seal()
        rows = [pending.row for pending in batch]
        head = Head(
            self._head.writer,
            self._head.number + 1,
            self._head.generation,
            self._head.rows + rows,
        )
        await self._write(head)
        self._table.add(rows, asyncio.get_running_loop().time())
        for pending in batch:
            self._settle(pending)

    def _take_batch(self) -> list[Pending]:
        batch: list[Pending] = []
        while self._pending and len(batch) < MAX_BATCH:
            pending = self._pending.popleft()
            if pending.abandoned or pending.withdrawn:
                self._withdrawn.discard(pending.row.request)
                self._waiting.pop(pending.row.key, None)
                continue
            batch.append(pending)
        if not self._pending:
            self._wake.clear()
        return batch

    def _settle(self, pending: Pending) -> None:
        """Tell that a row is committed; one that was withdrawn is given back."""
        row = pending.row
        if row.released:
            self._withdrawn.discard(row.request)
            return
        self._waiting.pop(row.key, None)
        if pending.withdrawn:
            self._enqueue(Row(row.key, row.request, 0, released=True))
            pending.reply.set_result(Busy("the request has withdrawn its claim"))
            return
        pending.reply.set_result(Granted())

    async def _write(self, head: Head) -> None:
        """Return once the head is in the store, whatever became of the answers."""
        value = msgspec.msgpack.encode(head)
        while True:
            try:
                entry = await self._store.swap(
                    head_key(self.partition), self._version, value
                )
                self._version = entry.version
                break
            except (StoreUnavailable, StoreConflict):
                if await self._is_written(head):
                    break
        self._head = head
        self.commits += 1

    async def _is_written(self, head: Head) -> bool:
        """Read back whether a write took effect; raises Fenced."""
        while True:
            try:
                entry = await self._store.get(head_key(self.partition))
            except StoreUnavailable:
                await asyncio.sleep(STORE_RETRY_S)
                continue
            found = msgspec.msgpack.decode(entry.value, type=Head) if entry else None
            if entry is None or found is None or found.writer != head.writer:
                writer = found.writer if found else "nobody"
                raise Fenced(f"partition {self.partition} is written by {writer}")
            self._version = entry.version
            return found.number == head.number

    async def _seal(self) -> None:
        """Move the head's rows to a segment that lapses after the retention.

        The rows are committed already, so a segment of an owner that was
        replaced meanwhile tells nothing new.
        """
        head = self._head
        name = f"{head.generation:09d}-{head.writer}"
        key = f"{_segments_prefix(self.partition)}{name}"
        while True:
            try:
                lease = await self._store.grant(RETENTION_S)
                await self._store.swap(key, 0, encode_rows(head.rows), lease)
                break
            except StoreConflict:
                break  # An earlier write took effect though its answer was lost.
            except StoreUnavailable:
                await asyncio.sleep(STORE_RETRY_S)
        self._head = Head(head.writer, head.number, head.generation + 1, [])

    def _fence(self) -> None:
        self.is_fenced = True
        for pending in self._waiting.values():
            if not pending.reply.done():
                pending.reply.set_result(NotOwner(""))
        self._waiting.clear()
        self._pending.clear()


async def take_over(store: KeyValueStore, partition: int) -> Owner:
    """Read a partition and write its head, so that a former owner is fenced.

    Raises
    ------
    StoreConflict
        If another entry took it over meanwhile.
    StoreUnavailable
        If the store gave no answer.
    """
    entry = await store.get(head_key(partition))
    segments = await store.scan(_segments_prefix(partition))
    old = Head("", 0, 0, [])
    if entry is not None:
        old = msgspec.msgpack.decode(entry.value, type=Head)
    table = RowTable(RETENTION_S)
    now = asyncio.get_running_loop().time()
    rows = [row for item in segments for row in decode_rows(item.value)]
    table.add([*rows, *old.rows], now)
    head = Head(uuid.uuid4().hex, old.number + 1, old.generation, old.rows)
    version = entry.version if entry else 0
    written = await store.swap(
        head_key(partition), version, msgspec.msgpack.encode(head)
    )
    return Owner(store, partition, head, written.version, table)
