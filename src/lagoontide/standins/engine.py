"""Stand-in of a model engine: continuous batching and a prefix cache."""

import asyncio
import heapq
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from itertools import count

import msgspec

from lagoontide.configuration.document import Priority
from lagoontide.errors import TargetFailed, TargetRejectedInput, TargetUnreachable
from lagoontide.scheduling.waiting import RANK
from lagoontide.standins.compute import make_token, make_tokens
from lagoontide.standins.faults import Faults
from lagoontide.standins.ledger import Ledger, note_execution
from lagoontide.standins.profiles import EngineProfile
from lagoontide.targets.http import OnTokens, TargetLoad, TargetRequest

__all__ = ["CacheEvent", "Engine", "Order", "PrefixCache"]

BLOCK_CHARS = 64
REPORT_LAG_S = 2.0
EVENT_LAG_S = 1.0
EVENT_LOSS = 0.05


class Order(msgspec.Struct, frozen=True):
    """An order to load a model, adapter or version, or to change role."""

    kind: str
    name: str
    fence: int


class CacheEvent(msgspec.Struct, frozen=True):
    """A block of a prompt that came into the cache or left it."""

    number: int
    block: int
    stored: bool


class PrefixCache:
    """Least recently used blocks of prompts, with events that tell of them.

    Parameters
    ----------
    blocks : int
        Blocks held at most.
    """

    def __init__(self, blocks: int, rng: random.Random) -> None:
        self._limit = blocks
        self._rng = rng
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._numbers = count(1)
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=4096)

    def use(self, prompt: str, now: float) -> int:
        """Take a prompt in and return how many of its blocks were not there."""
        missing = 0
        ends = range(BLOCK_CHARS, len(prompt) + BLOCK_CHARS, BLOCK_CHARS)
        for end in ends:
            block = hash(prompt[:end])
            if block not in self._blocks:
                missing += 1
                self._tell(block, True, now)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            self._tell(self._blocks.popitem(last=False)[0], False, now)
        return missing

    def events(self, now: float) -> list[CacheEvent]:
        """Return the events that are published by now: late and with gaps."""
        return [event for at, event in self._events if now - at >= EVENT_LAG_S]

    def _tell(self, block: int, stored: bool, now: float) -> None:
        event = CacheEvent(next(self._numbers), block, stored)
        if self._rng.random() >= EVENT_LOSS:
            self._events.append((now, event))


@dataclass(slots=True)
class Stream:
    """A generation under way.

    Attributes
    ----------
    position : int
        Index of the next token.
    """

    work: TargetRequest
    inputs: dict[str, object]
    total: int
    position: int
    on_tokens: OnTokens
    ended: asyncio.Future[None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Engine:
    """A target that generates text, many streams in one batch.

    Parameters
    ----------
    slots : int
        Streams in the batch at most; others wait by priority.
    checks_orders : bool
        Whether an order with an old fencing number is refused.
    """

    def __init__(
        self,
        name: str,
        profile: EngineProfile,
        slots: int,
        rng: random.Random,
        checks_orders: bool = False,
    ) -> None:
        self.name = name
        self.faults = Faults()
        self.ledger = Ledger()
        self.orders: list[Order] = []
        self.cache = PrefixCache(profile.cache_blocks, rng)
        self._profile = profile
        self._slots = slots
        self._checks_orders = checks_orders
        self._numbers = count()
        self._waiting: list[tuple[int, int, Stream]] = []
        self._batch: dict[str, Stream] = {}
        self._stepper: asyncio.Task[None] | None = None
        self._history: deque[tuple[float, TargetLoad]] = deque(maxlen=4096)

    async def run(self, work: TargetRequest) -> bytes:
        """See TargetClient."""
        return await self.stream(work, lambda offset, tokens: None)

    async def stream(self, work: TargetRequest, on_tokens: OnTokens) -> bytes:
        """See TargetClient."""
        if self.faults.down:
            raise TargetUnreachable("the engine is down", step="run", peer=self.name)
        stream = self._make_stream(work, on_tokens)
        rank = RANK[Priority(work.priority)]
        heapq.heappush(self._waiting, (rank, next(self._numbers), stream))
        if self._stepper is None or self._stepper.done():
            self._stepper = asyncio.create_task(self._step_all())
        await stream.ended
        if self.faults.take_drop():
            raise TargetFailed("the answer was lost", step="run", peer=self.name)
        return msgspec.json.encode({"text": " ".join(make_tokens(stream.inputs))})

    async def cancel(self, attempt: str) -> None:
        """See TargetClient."""
        streams = [item[2] for item in self._waiting] + list(self._batch.values())
        for stream in streams:
            if stream.work.attempt == attempt:
                self._end(stream, "cancelled")

    def order(self, order: Order) -> None:
        """Carry out an order; raises TargetFailed if it is refused as old."""
        newest = max((item.fence for item in self.orders), default=0)
        if self._checks_orders and order.fence < newest:
            raise TargetFailed(
                f"fencing number {order.fence} is older than {newest}",
                step="order",
                peer=self.name,
                ran=False,
            )
        self.orders.append(order)

    def load(self) -> TargetLoad:
        """Return the load as it was some time ago."""
        now = asyncio.get_running_loop().time()
        old = [load for at, load in self._history if now - at >= REPORT_LAG_S]
        return old[-1] if old else TargetLoad()

    def _make_stream(self, work: TargetRequest, on_tokens: OnTokens) -> Stream:
        try:
            inputs = msgspec.json.decode(work.body, type=dict[str, object])
            total = len(make_tokens(inputs))
        except (msgspec.DecodeError, TypeError, ValueError) as exc:
            raise TargetRejectedInput(
                f"bad prompt: {exc}", step="run", peer=self.name
            ) from None
        position = len(work.resume)
        if list(work.resume) != [make_token(inputs, i) for i in range(position)]:
            raise TargetFailed(
                "resumed from other tokens", step="run", peer=self.name, ran=False
            )
        return Stream(work, inputs, total, position, on_tokens)

    async def _step_all(self) -> None:
        """Admit, prefill and decode until nothing is left."""
        while self._waiting or self._batch:
            await self._admit()
            await self.faults.pass_stall()
            extra = self._profile.step_per_stream * max(0, len(self._batch) - 1)
            await asyncio.sleep((self._profile.step + extra) * self.faults.slow)
            for stream in tuple(self._batch.values()):
                self._advance(stream)

    async def _admit(self) -> None:
        now = asyncio.get_running_loop().time()
        while self._waiting and len(self._batch) < self._slots:
            stream = heapq.heappop(self._waiting)[2]
            if stream.ended.done():
                continue
            self._batch[stream.work.attempt] = stream
            missing = self.cache.use(stream.work.body.decode(), now)
            if self._profile.prefill_block:
                prefill = missing * self._profile.prefill_block
                self.ledger.spend(stream.work, prefill)
                await asyncio.sleep(prefill * self.faults.slow)
        load = TargetLoad(len(self._batch), len(self._waiting))
        self._history.append((now, load))

    def _advance(self, stream: Stream) -> None:
        if stream.ended.done():
            self._batch.pop(stream.work.attempt, None)
            return
        # An engine without a step time gives all its tokens in one step.
        wanted = 1 if self._profile.step else stream.total
        end = min(stream.total, stream.position + wanted)
        cut = self.faults.cut_after
        if 0 <= cut < end:
            self.faults.cut_after = -1
            self._end(stream, "the stream was cut")
            return
        tokens = [make_token(stream.inputs, i) for i in range(stream.position, end)]
        if tokens:
            cost = len(tokens) * self._profile.token_cost(self._slots)
            self.ledger.spend(stream.work, cost)
            stream.on_tokens(stream.position, tokens)
        stream.position = end
        if end == stream.total:
            self._end(stream)

    def _end(self, stream: Stream, problem: str = "") -> None:
        self._batch.pop(stream.work.attempt, None)
        if stream.ended.done():
            return
        if problem:
            failure = TargetFailed(problem, step="stream", peer=self.name)
            stream.ended.set_exception(failure)
            return
        work = stream.work
        now = asyncio.get_running_loop().time()
        self.ledger.add(note_execution(work, now))
        stream.ended.set_result(None)
