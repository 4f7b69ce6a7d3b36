"""Many processes' worth of spreading in this process, over real sockets."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import zmq

from lagoontide.bench.directwatch import follow
from lagoontide.bench.resources import resident_bytes
from lagoontide.bench.synthetic import touch_account
from lagoontide.configuration.document import Document, decode_document
from lagoontide.configuration.holder import Holder
from lagoontide.configuration.source import publish
from lagoontide.protocol import make_protocol_codec
from lagoontide.spreading.node import Spreader
from lagoontide.standins.store import MemoryStore
from lagoontide.store.instances import Instance, Role
from lagoontide.store.kv import KeyValueStore
from lagoontide.wire.codec import Codec
from lagoontide.wire.conn import Context, Identity, connect
from lagoontide.wire.server import bind

__all__ = ["CHANGES", "Arm", "measure_nodes"]

CHANGES = 5
DOMAINS = 4
IDLE_S = 4.0
PAUSE_S = 0.5
BOUND_S = 60.0
POLL_S = 0.05
SOCKETS = 60_000
READS = ("get", "watch", "scan")


@dataclass(slots=True)
class Arm:
    """What was measured of one arm.

    Attributes
    ----------
    delays : list
        For each change the seconds at all processes.
    """

    name: str
    delays: list[list[float]] = field(default_factory=list)
    reads_per_change: float | None = None
    idle_reads_per_s: float | None = None
    idle_bytes_per_s: float | None = None
    idle_messages_per_s: float | None = None
    change_bytes: float | None = None
    cpu: float | None = None
    memory: float | None = None


@dataclass(slots=True)
class Nodes:
    """All nodes of an arm."""

    versions: dict[str, int] = field(default_factory=dict)
    times: dict[str, float] = field(default_factory=dict)
    codecs: list[Codec] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    closers: list[Callable[[], None]] = field(default_factory=list)

    def adopt(self, name: str, version: int) -> None:
        """Take note that a node has a version in force."""
        self.versions[name] = version
        self.times[name] = time.monotonic()

    def traffic(self) -> tuple[int, int]:
        """Return messages and bytes that all nodes have sent."""
        tallies = [tally for codec in self.codecs for tally in codec.sent.values()]
        return sum(x.messages for x in tallies), sum(x.size for x in tallies)

    async def wait_for(self, version: int, count: int) -> None:
        """Wait until all have a version; raises TimeoutError."""
        async with asyncio.timeout(BOUND_S):
            while sum(x >= version for x in self.versions.values()) < count:
                await asyncio.sleep(POLL_S)

    async def close(self) -> None:
        """Stop all."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for close in self.closers:
            close()


async def measure_nodes(document: Document, count: int, name: str) -> Arm:
    """Return the figures of one arm, ``spread`` or ``watch``."""
    arm = Arm(name)
    store = MemoryStore()
    version = await publish(store, document, 0)
    before = resident_bytes()
    ctx = zmq.Context()
    ctx.set(zmq.MAX_SOCKETS, SOCKETS)
    with ctx:
        nodes = _start(ctx, store, count, name)
        try:
            await nodes.wait_for(version, count)
            await asyncio.sleep(PAUSE_S)
            arm.memory = (resident_bytes() - before) / count
            await _measure_idle(arm, nodes, store, count)
            await _measure_changes(arm, nodes, store, document, version)
        finally:
            await nodes.close()
    return arm


async def _measure_idle(arm: Arm, nodes: Nodes, store: MemoryStore, count: int) -> None:
    messages, size = nodes.traffic()
    reads, cpu = _reads(store), time.process_time()
    await asyncio.sleep(IDLE_S)
    later, grown = nodes.traffic()
    arm.idle_messages_per_s = (later - messages) / IDLE_S / count
    arm.idle_bytes_per_s = (grown - size) / IDLE_S / count
    arm.idle_reads_per_s = (_reads(store) - reads) / IDLE_S
    arm.cpu = (time.process_time() - cpu) / IDLE_S / count


async def _measure_changes(
    arm: Arm, nodes: Nodes, store: MemoryStore, document: Document, version: int
) -> None:
    count = len(nodes.versions)
    reads, size = _reads(store), nodes.traffic()[1]
    started = time.monotonic()
    for number in range(CHANGES):
        document = touch_account(document, number)
        asked = time.monotonic()
        version = await publish(store, document, version)
        await nodes.wait_for(version, count)
        arm.delays.append([at - asked for at in nodes.times.values()])
        await asyncio.sleep(PAUSE_S)
    elapsed = time.monotonic() - started
    idle_reads = (arm.idle_reads_per_s or 0.0) * elapsed
    idle_bytes = (arm.idle_bytes_per_s or 0.0) * elapsed * count
    arm.reads_per_change = (_reads(store) - reads - idle_reads) / CHANGES
    arm.change_bytes = (nodes.traffic()[1] - size - idle_bytes) / CHANGES / count


def _reads(store: MemoryStore) -> int:
    return sum(store.calls[name] for name in READS)


def _start(ctx: Context, store: KeyValueStore, count: int, name: str) -> Nodes:
    nodes = Nodes()
    if name == "watch":
        for number in range(count):
            _start_watching(nodes, store, f"node-{number}")
        return nodes
    spreaders = [_start_spreading(ctx, nodes, store, x) for x in range(count)]
    listed = tuple(item for item, _ in spreaders)
    for _, spreader in spreaders:
        spreader.apply(listed)
    return nodes


def _start_watching(nodes: Nodes, store: KeyValueStore, name: str) -> None:
    holder = Holder()
    holder.subscribe(lambda _: nodes.adopt(name, holder.version))
    nodes.tasks.append(asyncio.create_task(follow(store, holder)))


def _start_spreading(
    ctx: Context, nodes: Nodes, store: KeyValueStore, number: int
) -> tuple[Instance, Spreader]:
    name, domain = f"node-{number}", f"domain-{number % DOMAINS}"
    codec = make_protocol_codec()
    identity = Identity(name)

    def adopt(version: int, data: bytes) -> None:
        decode_document(data)
        nodes.adopt(name, version)

    spreader = Spreader(
        identity,
        domain,
        store,
        lambda address: connect(ctx, address, codec, identity),
        adopt,
    )
    server = bind(ctx, "tcp://127.0.0.1:0", codec, identity, spreader.handle)
    run: Awaitable[None] = spreader.run()
    nodes.tasks.append(asyncio.ensure_future(run))
    nodes.codecs.append(codec)
    nodes.closers += [spreader.close, server.close]
    return Instance(name, Role.AGENT, server.address, domain, "service"), spreader
