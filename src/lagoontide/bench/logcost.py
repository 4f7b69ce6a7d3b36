"""What an entry's logs cost: processor time and p99, with and without them."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median

from lagoontide.bench.processes import end_children
from lagoontide.bench.resources import cpu_seconds
from lagoontide.bench.soak.entries import EntryProcess
from lagoontide.http1.client import InvalidResponse
from lagoontide.platform.configuration import CONFIGURATION_KEY
from lagoontide.platform.local import REQUEST_KINDS
from lagoontide.platform.standins.deployment import (
    make_configuration,
    make_targets,
    send,
)
from lagoontide.platform.standins.ports import HOST, loopback_addresses
from lagoontide.platform.standins.settings import (
    ENTRY_PORTS,
    GRACE_S,
    write_settings,
)
from lagoontide.platform.standins.store import StoreEndpoint, StoreStandin

__all__ = ["run_log_cost"]

READY_BOUND_S = 30.0
READY_POLL_S = 0.05
STOP_BOUND_S = 10.0
DEADLINE_MS = 5000
MS_PER_S = 1000.0
PERCENT = 100.0
STATUS_OK = 200
QUIET = "from loguru import logger; logger.disable('lagoontide'); "
MAIN = "from lagoontide.platform.daemon import main; main()"
VARIANTS = {"with logs": MAIN, "without": QUIET + MAIN}


@dataclass(slots=True)
class Measured:
    """What the turns of one variant gave.

    Attributes
    ----------
    cpu_ms : list of float
        Processor time of a request, in ms; one figure a turn.
    p99_ms : list of float
        Time of the slowest hundredth of the requests, in ms; one figure a turn.
    failed : Counter
        What requests got that did not get a 200.
    """

    cpu_ms: list[float] = field(default_factory=list)
    p99_ms: list[float] = field(default_factory=list)
    failed: Counter[str] = field(default_factory=Counter)


async def run_log_cost(
    folder: Path, seconds: float, rate: float, turns: int, seed: int
) -> int:
    """Print the costs; return 1 if a request failed.

    Parameters
    ----------
    folder : Path
        Takes the settings and the entries' logs.
    seconds, rate : float
        Length of a turn, and requests a second in it.
    turns : int
        Of each variant, one after the other.
    """
    found = {name: Measured() for name in VARIANTS}
    rng = random.Random(seed)
    async with _start_standins() as store_port:
        entry = _make_entry(folder, f"{HOST}:{store_port}")
        for _ in range(turns):
            for name, code in VARIANTS.items():
                entry.command = ("-c", code)
                await _measure(entry, seconds, rate, rng, found[name])
    _print(found)
    return 1 if any(measured.failed for measured in found.values()) else 0


@contextlib.asynccontextmanager
async def _start_standins() -> AsyncIterator[int]:
    store = StoreStandin()
    endpoint = StoreEndpoint(store)
    targets = make_targets()
    store.put(CONFIGURATION_KEY, make_configuration(1))
    for target in targets:
        await target.start(store)
    try:
        yield await endpoint.start()
    finally:
        for target in targets:
            await target.close()
        await endpoint.close()


def _make_entry(folder: Path, store: str) -> EntryProcess:
    (host,) = loopback_addresses(1)
    path = folder / "entry.json"
    write_settings(path, "entry-0", host, ENTRY_PORTS, store, [], GRACE_S)
    return EntryProcess("entry-0", host, path, path.with_suffix(".log"))


async def _measure(
    entry: EntryProcess,
    seconds: float,
    rate: float,
    rng: random.Random,
    measured: Measured,
) -> None:
    entry.start()
    assert entry.child is not None
    child = entry.child
    try:
        async with asyncio.timeout(READY_BOUND_S):
            while isinstance(await _ask(entry.host, 0, "warm"), str):
                await asyncio.sleep(READY_POLL_S)
        before = cpu_seconds(child.pid)
        times = await _send_all(entry.host, seconds, rate, rng)
        used = cpu_seconds(child.pid) - before
    finally:
        await asyncio.to_thread(end_children, [child], STOP_BOUND_S)
    good = sorted(time for time in times if isinstance(time, float))
    measured.failed.update(why for why in times if isinstance(why, str))
    if not good:
        return
    measured.cpu_ms.append(MS_PER_S * used / max(1, len(times)))
    measured.p99_ms.append(MS_PER_S * good[int(0.99 * (len(good) - 1))])


async def _send_all(
    host: str, seconds: float, rate: float, rng: random.Random
) -> Sequence[float | str]:
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    next_at = loop.time()
    asked: list[asyncio.Task[float | str]] = []
    while next_at < ends_at:
        asked.append(asyncio.create_task(_ask(host, len(asked), f"r{len(asked)}")))
        next_at += rng.expovariate(rate)
        await asyncio.sleep(next_at - loop.time())
    return await asyncio.gather(*asked)


async def _ask(host: str, number: int, request_id: str) -> float | str:
    """Return the seconds until an answer was whole, or what there was but a 200."""
    loop = asyncio.get_running_loop()
    path, extra = REQUEST_KINDS[number % len(REQUEST_KINDS)]
    began = loop.time()
    try:
        answer = await send(
            ENTRY_PORTS[0],
            path,
            request_id,
            extra=extra,
            deadline_ms=DEADLINE_MS,
            host=host,
        )
    except (InvalidResponse, OSError, TimeoutError) as exc:
        return f"{path} {exc!r}"
    if answer.status != STATUS_OK:
        return f"{path} {answer.status} {answer.body[:80]!r}"
    return loop.time() - began


def _print(found: dict[str, Measured]) -> None:
    for name, measured in found.items():
        cpu = ", ".join(f"{value:.2f}" for value in measured.cpu_ms)
        p99 = ", ".join(f"{value:.1f}" for value in measured.p99_ms)
        print(f"{name:10} processor ms a request: {cpu}; p99 ms: {p99}")
        if measured.failed:
            print(f"{name:10} failed: {dict(measured.failed)}")
    with_logs, without = found.values()
    if not with_logs.cpu_ms or not without.cpu_ms:
        return
    for what, one, other in (
        ("processor time", with_logs.cpu_ms, without.cpu_ms),
        ("p99", with_logs.p99_ms, without.p99_ms),
    ):
        more = PERCENT * (median(one) / median(other) - 1.0)
        print(f"logs add to {what}: {more:+.1f}% (medians of {len(one)} turns)")
