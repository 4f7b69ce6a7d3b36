"""A soak with entries as processes of their own."""

import asyncio
import contextlib
import random
import tempfile
from pathlib import Path

import msgspec

from lagoontide.bench.soak.entries import EntryProcesses
from lagoontide.bench.soak.faults import Faults
from lagoontide.bench.soak.play import (
    KEYS,
    RELEASES_SEED_OFFSET,
    SILENCES_SEED_OFFSET,
    play,
)
from lagoontide.bench.soak.proxy import Proxy
from lagoontide.bench.soak.releases import KEPT_WITH_RELEASES, Releases
from lagoontide.bench.soak.result import SoakResult
from lagoontide.bench.soak.silences import Silences
from lagoontide.platform.standins.deployment import make_targets, write_configuration
from lagoontide.platform.standins.ports import HOST
from lagoontide.platform.standins.signals import SignallingTarget
from lagoontide.platform.standins.store import StoreEndpoint, StoreStandin
from lagoontide.platform.standins.targets import TargetStandin

__all__ = ["run_soak", "soak_processes"]

# Entries learn of all targets within this time.
SETTLE_S = 2.0
ENTRIES_A_SCALE = 8
SERVED_AFTER = 0.9


def run_soak(
    seed: int,
    seconds: float,
    processes: int,
    folder: str,
    silent_s: float = 0.0,
    has_releases: bool = False,
) -> int:
    """Run a soak, print what it found, and return the exit code."""
    with contextlib.ExitStack() as stack:
        where = folder or stack.enter_context(tempfile.TemporaryDirectory())
        Path(where).mkdir(parents=True, exist_ok=True)
        result = asyncio.run(
            soak_processes(
                seed, seconds, processes, Path(where), silent_s, has_releases
            )
        )
    print(msgspec.json.encode(result).decode())
    return 1 if result.violations else 0


async def soak_processes(
    seed: int,
    seconds: float,
    processes: int,
    folder: Path,
    silent_s: float = 0.0,
    has_releases: bool = False,
) -> SoakResult:
    """Run entries as processes under faults, and return what was found.

    Parameters
    ----------
    silent_s : float
        Seconds with silent targets and planned work before the other faults.
    has_releases : bool
        Whether versions are released in series, and all entries killed at times.
    """
    store = StoreStandin()
    async with contextlib.AsyncExitStack() as stack:
        write_configuration(store, 1, KEYS)
        store_endpoints, links = await _open_endpoints(store, processes, stack)
        targets = make_targets(1 + processes // ENTRIES_A_SCALE, SignallingTarget)
        links += await _open_targets(store, targets, stack)
        fleet = EntryProcesses.make(folder, [link.port for link in links[:processes]])
        stack.callback(fleet.stop)
        await fleet.start()
        keeping = asyncio.create_task(fleet.keep())
        stack.callback(keeping.cancel)
        await asyncio.sleep(SETTLE_S)
        faults = Faults(
            store,
            store_endpoints,
            targets,
            links,
            random.Random(seed + 1),
            KEYS,
            hurts=[fleet.hurt, fleet.hurt],
        )
        silences = Silences(
            fleet.addresses,
            faults,
            random.Random(seed + SILENCES_SEED_OFFSET),
            [fleet.plan],
            fleet.stopped_at,
        )
        releases = None
        if has_releases:
            faults.targets_kept = KEPT_WITH_RELEASES

            async def start(target: TargetStandin) -> None:
                links.extend(await _open_targets(store, [target], stack))

            rng = random.Random(seed + RELEASES_SEED_OFFSET)
            releases = Releases(faults, rng, start, fleet.kill_all)
        result = await play(
            seed,
            seconds,
            fleet.addresses,
            faults,
            fleet.heal,
            SETTLE_S,
            silences,
            silent_s,
            releases=releases,
        )
        result.violations += [
            f"EXIT: {entry.name} ended by itself with {code}"
            for entry in fleet.entries
            for code in entry.own_exits
        ]
        if result.served_after < SERVED_AFTER:
            result.violations.append(f"RECOVER: {result.served_after:.2f} served after")
        return result


async def _open_endpoints(
    store: StoreStandin, number: int, stack: contextlib.AsyncExitStack
) -> tuple[list[StoreEndpoint], list[Proxy]]:
    store_endpoints = [StoreEndpoint(store) for _ in range(number)]
    links = []
    for endpoint in store_endpoints:
        link = Proxy(HOST, await endpoint.start())
        await link.start()
        stack.push_async_callback(endpoint.close)
        stack.push_async_callback(link.close)
        links.append(link)
    return store_endpoints, links


async def _open_targets(
    store: StoreStandin,
    targets: list[TargetStandin],
    stack: contextlib.AsyncExitStack,
) -> list[Proxy]:
    links = []
    for target in targets:
        await target.listen()
        host, _, port = target.address.rpartition(":")
        link = Proxy(host, int(port))
        target.advertised_address = f"{HOST}:{await link.start()}"
        target.register(store)
        target.on_crash, target.on_restart = link.refuse, link.resume
        stack.push_async_callback(target.close)
        stack.push_async_callback(link.close)
        links.append(link)
    return links
