"""Slopes of cost from which docs/CAPACITY.md is worked out.

Each figure is CPU seconds, bytes of memory or bytes of frames for one unit. The
peer that answers is a process of its own, so that each end is measured alone.
"""

import asyncio
import contextlib
import random
import subprocess
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec
import zmq
from loguru import logger

from lagoontide.bench.resources import cpu_seconds, resident_bytes
from lagoontide.bench.synthetic import grow_document, make_instances, touch_account
from lagoontide.configuration.document import (
    Document,
    Priority,
    decode_bytes,
    decode_document,
    digest_document,
    encode_document,
)
from lagoontide.deployments import load_deployment
from lagoontide.dispatch.messages import Call, digest
from lagoontide.membership.link import Link
from lagoontide.membership.messages import Hello
from lagoontide.membership.subset import pick_subset
from lagoontide.protocol import make_protocol_codec
from lagoontide.spreading.copies import Copies
from lagoontide.spreading.delta import make_delta
from lagoontide.spreading.messages import Change, Changes, Compare
from lagoontide.spreading.roles import assign
from lagoontide.store.instances import Instance, Role
from lagoontide.wire.codec import Codec
from lagoontide.wire.conn import Conn, Context, Identity, connect

__all__ = ["Slopes", "SlopesFile", "measure", "run_capacity"]

ASKS = 3000
WARM_UP = 200
ANSWER_S = 5.0
IDLE_S = 30.0
POLL_S = 0.05
LINKS = 300
ROUTES = 14
ACCOUNTS = 3300
ENTRIES = 2600
AGENTS = 7700
DOMAINS = 16
SERVICES = 20
SUBSET = 12
BODY_BYTES = 512
VIEWS = 200


class Slopes(msgspec.Struct):
    """What one unit of each kind costs.

    Attributes
    ----------
    process_bytes : float
        Memory of this process before anything was measured.
    link_bytes, served_bytes : float
        Memory of a link at the entry, and of its end at the agent.
    heartbeat_cpu, compare_cpu, call_cpu : float
        CPU seconds of a round trip for the asking process; with ``served`` for
        the answering one.
    heartbeat_bytes, compare_bytes, call_bytes : float
        Frames of both directions; a call's body and result are 512 bytes each.
    changes_bytes : float
        Frames of one changed account passed on.
    document_plain_bytes, document_packed_bytes : float
        Of 14 routes and 3,300 accounts.
    account_bytes, route_bytes : float
        Memory of one in a decoded document, with its share of the plain copy.
    adopt_cpu, snapshot_cpu : float
        CPU seconds to adopt a step, and a whole document, of that size.
    instance_bytes, instance_memory, list_cpu : float
        An instance in the platform's answer and in memory; CPU seconds to take
        the whole list and assign roles and views at the full size.
    known_mean, known_max : float
        Entries that know one agent, at the full size.
    moved_share : float
        Part of an entry's links that changed when 1 of 100 agents was replaced.
    """

    process_bytes: float
    link_bytes: float
    served_bytes: float
    heartbeat_cpu: float
    heartbeat_served_cpu: float
    heartbeat_bytes: float
    compare_cpu: float
    compare_served_cpu: float
    compare_bytes: float
    call_cpu: float
    call_served_cpu: float
    call_bytes: float
    changes_bytes: float
    document_plain_bytes: float
    document_packed_bytes: float
    account_bytes: float
    route_bytes: float
    adopt_cpu: float
    snapshot_cpu: float
    instance_bytes: float
    instance_memory: float
    list_cpu: float
    known_mean: float
    known_max: float
    moved_share: float


class SlopesFile(msgspec.Struct):
    """Slopes and the command that measured them."""

    command: str
    slopes: Slopes


def measure(deployment: str, seed: int) -> Slopes:
    """Return the slopes, measured in this process."""
    process = float(resident_bytes())
    base = load_deployment(deployment)
    figures = asyncio.run(_measure_messages())
    figures |= _measure_document(base)
    figures |= _measure_list()
    figures |= _measure_views(random.Random(seed))
    return Slopes(process_bytes=process, **figures)


def run_capacity(deployment: str, seed: int, as_json: bool, out: str) -> int:
    """Measure and print; write the slopes to a file if one is given."""
    logger.remove()
    slopes = measure(deployment, seed)
    command = f"lagoontide bench capacity --deployment={deployment} --seed={seed}"
    record = SlopesFile(f"{command} --out=docs/capacity-slopes.json", slopes)
    data = msgspec.json.format(msgspec.json.encode(record), indent=2)
    if out:
        Path(out).write_bytes(data + b"\n")
    if as_json:
        print(msgspec.json.encode(slopes).decode())
        return 0
    for name in slopes.__struct_fields__:
        print(f"{name:24} {getattr(slopes, name):.6g}")
    return 0


def _cpu(work: Callable[[], object]) -> float:
    started = time.process_time()
    work()
    return time.process_time() - started


@contextlib.contextmanager
def _start_echo() -> Iterator[tuple[str, int]]:
    """Run an answering process; give its address and process id."""
    command = [sys.executable, "-m", "lagoontide.bench.echo"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as child:
        assert child.stdout is not None
        try:
            yield child.stdout.readline().strip(), child.pid
        finally:
            child.terminate()


async def _measure_messages() -> dict[str, float]:
    """Measure round trips over loopback with a process that answers at once."""
    codec = make_protocol_codec()
    figures: dict[str, float] = {}
    with zmq.Context() as ctx, _start_echo() as (address, pid):
        conn = connect(ctx, address, codec, Identity("entry-1000"))
        for name, message in (
            ("heartbeat", Hello()),
            ("compare", Compare(10_000, 1 << 63, 1.5)),
            ("call", _make_call()),
        ):
            await _ask_often(conn, message, WARM_UP)
            figures |= await _measure_asks(conn, codec, name, message, pid)
        before = resident_bytes(str(pid))
        figures["link_bytes"] = await _measure_links(ctx, address, codec)
        figures["served_bytes"] = (resident_bytes(str(pid)) - before) / LINKS
        conn.close()
    return figures


def _make_call() -> Call:
    body = b"x" * BODY_BYTES
    return Call(
        attempt="a" * 32 + ".draft.0",
        request="a" * 32,
        stage="draft",
        incarnation="0" * 32,
        operation="generate",
        account="account-1000",
        weight=1.0,
        priority=Priority.NORMAL,
        budget=1.5,
        repeatable=True,
        streams=False,
        body=body,
        digest=digest(body),
    )


async def _ask_often(conn: Conn, message: msgspec.Struct, times: int) -> None:
    for _ in range(times):
        await conn.ask(message, ANSWER_S)


async def _measure_asks(
    conn: Conn, codec: Codec, name: str, message: msgspec.Struct, pid: int
) -> dict[str, float]:
    size = _total(codec)
    here, there = time.process_time(), cpu_seconds(pid)
    await _ask_often(conn, message, ASKS)
    return {
        f"{name}_cpu": (time.process_time() - here) / ASKS,
        f"{name}_served_cpu": (cpu_seconds(pid) - there) / ASKS,
        f"{name}_bytes": (_total(codec) - size) / ASKS,
    }


def _total(codec: Codec) -> int:
    tallies = (*codec.sent.values(), *codec.received.values())
    return sum(tally.size for tally in tallies)


async def _measure_links(ctx: Context, address: str, codec: Codec) -> float:
    identity = Identity("entry-1")
    rng = random.Random(1)
    before = resident_bytes()
    links = [
        Link(
            Instance(f"agent-{number}", Role.AGENT, address, "domain", "service"),
            connect(ctx, address, codec, identity),
            lambda: IDLE_S,
            rng,
        )
        for number in range(LINKS)
    ]
    while not all(link.is_usable for link in links):
        await asyncio.sleep(POLL_S)
    grown = resident_bytes() - before
    for link in links:
        link.close()
    return grown / LINKS


def _measure_document(base: Document) -> dict[str, float]:
    whole = grow_document(base, ROUTES, ACCOUNTS)
    packed = encode_document(whole)
    plain = decode_bytes(packed)
    later = decode_bytes(encode_document(touch_account(whole, 7)))
    delta = make_delta(plain, later)
    step = Change(1, 2, digest_document(later), delta)
    copies = Copies(_check_document)
    snapshot = _cpu(lambda: copies.take(1, packed, digest_document(plain)))
    adopt = _cpu(lambda: copies.take_steps((step,)))
    assert copies.version == 2
    size = msgspec.msgpack.encode(Changes((step,), 1.5))
    return {
        "changes_bytes": float(len(size)),
        "document_plain_bytes": float(len(plain)),
        "document_packed_bytes": float(len(packed)),
        "account_bytes": _measure_growth(base, ROUTES, ACCOUNTS * 3, 0),
        "route_bytes": _measure_growth(base, ROUTES * 200, 1, 1),
        "adopt_cpu": adopt,
        "snapshot_cpu": snapshot,
    }


def _check_document(version: int, data: bytes) -> None:
    decode_document(data)


def _measure_growth(base: Document, routes: int, accounts: int, axis: int) -> float:
    """Return the memory of one account (axis 0) or route (axis 1)."""
    data = decode_bytes(encode_document(grow_document(base, routes, accounts)))
    grown = _allocated(lambda: (bytes(bytearray(data)), decode_document(data)))
    return grown / (accounts, routes)[axis]


def _allocated(make: Callable[[], object]) -> int:
    """Return the bytes that Python holds for an object and what it holds."""
    tracemalloc.start()
    held = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return size


def _measure_list() -> dict[str, float]:
    listed = make_instances(ENTRIES, AGENTS, DOMAINS, SERVICES)
    data = msgspec.json.encode(listed)
    grown = _allocated(lambda: msgspec.json.decode(data, type=tuple[Instance, ...]))

    def take() -> None:
        items = msgspec.json.decode(data, type=tuple[Instance, ...])
        assign("agent-1", "domain-0", items)
        pools = [[x for x in items if x.service == f"service-{n}"] for n in range(20)]
        for pool in pools:
            pick_subset("entry-1", pool, SUBSET)

    return {
        "instance_bytes": len(data) / len(listed),
        "instance_memory": grown / len(listed),
        "list_cpu": _cpu(take),
    }


def _measure_views(rng: random.Random) -> dict[str, float]:
    """Measure balance at the full size and what a replacement moves."""
    pool = [
        item
        for item in make_instances(0, AGENTS, DOMAINS, SERVICES)
        if item.service == "service-0"
    ]
    known = Counter(
        item.name
        for number in range(ENTRIES)
        for item in pick_subset(f"entry-{number}", pool, SUBSET)
    )
    gone = set(rng.sample([item.name for item in pool], len(pool) // 100))
    later = [
        msgspec.structs.replace(item, name=f"{item.name}-new")
        if item.name in gone
        else item
        for item in pool
    ]
    moved = [_count_moved(f"entry-{n}", pool, later) for n in range(VIEWS)]
    return {
        "known_mean": sum(known.values()) / len(pool),
        "known_max": float(max(known.values())),
        "moved_share": sum(moved) / VIEWS / SUBSET,
    }


def _count_moved(name: str, before: list[Instance], after: list[Instance]) -> int:
    old = {item.name for item in pick_subset(name, before, SUBSET)}
    new = {item.name for item in pick_subset(name, after, SUBSET)}
    return len(new - old)
