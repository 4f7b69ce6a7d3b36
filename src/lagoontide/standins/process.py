"""Stand-ins as processes of their own."""

import asyncio
import random
from pathlib import Path

import msgspec

from lagoontide.configuration.document import (
    Document,
    ServiceKind,
    decode_document,
)
from lagoontide.configuration.model import load_document
from lagoontide.configuration.source import publish
from lagoontide.errors import SettingsError
from lagoontide.httpd import HttpServer, LoopBridge, WsgiApp
from lagoontide.lifecycle import run_until_signal
from lagoontide.standins.engine import Engine
from lagoontide.standins.faults import Faults
from lagoontide.standins.http import (
    StandIn,
    make_control_app,
    make_instances_app,
    make_store_app,
    make_target_app,
)
from lagoontide.standins.instances import LaggingList
from lagoontide.standins.ledger import Ledger
from lagoontide.standins.plain import PlainTarget
from lagoontide.standins.profiles import (
    INSTANT,
    INSTANT_ENGINE,
    PROFILES,
    EngineProfile,
)
from lagoontide.standins.store import MemoryStore
from lagoontide.store.instances import Instance

__all__ = ["make_target", "run_instances", "run_store", "run_target"]

THREADS = 128


def make_target(
    name: str,
    kind: ServiceKind,
    slots: int,
    seed: int,
    *,
    instant: bool = False,
    checks_orders: bool = False,
) -> StandIn:
    """Return a stand-in target as an object; instant ones take no time."""
    rng = random.Random(f"{seed}/{name}")
    if kind is ServiceKind.ENGINE:
        profile = INSTANT_ENGINE if instant else EngineProfile()
        return Engine(name, profile, slots, rng, checks_orders)
    return PlainTarget(name, kind, INSTANT if instant else PROFILES[kind], slots, rng)


async def _serve(
    listen: str, app: WsgiApp, control: str, faults: Faults, ledger: Ledger | None
) -> int:
    bridge = LoopBridge(asyncio.get_running_loop())
    servers = [HttpServer(listen, app, threads=THREADS)]
    if control:
        control_app = make_control_app(faults, ledger, bridge)
        servers.append(HttpServer(control, control_app, threads=2))
    for server in servers:
        server.start()

    async def drain() -> bool:
        return True

    try:
        return await run_until_signal([], drain)
    finally:
        for server in servers:
            await asyncio.to_thread(server.stop)


async def run_target(target: StandIn, listen: str, control: str) -> int:
    """Serve a target until a signal."""
    app = make_target_app(target, LoopBridge(asyncio.get_running_loop()))
    return await _serve(listen, app, control, target.faults, target.ledger)


async def run_store(listen: str, control: str, document: Path | None) -> int:
    """Serve a store until a signal.

    Parameters
    ----------
    document : Path or None
        Its first configuration, as TOML or in the store's own form (.msgpack).
    """
    store = MemoryStore()
    if document is not None:
        await publish(store, _load(document), 0)
    app = make_store_app(store, LoopBridge(asyncio.get_running_loop()))
    return await _serve(listen, app, control, store.faults, None)


def _load(path: Path) -> Document:
    if path.suffix == ".msgpack":
        return decode_document(path.read_bytes())
    return load_document(path)


async def run_instances(listen: str, control: str, path: Path, lag: float) -> int:
    """Serve a list of instances read from a JSON file until a signal."""
    try:
        listed = msgspec.json.decode(path.read_bytes(), type=tuple[Instance, ...])
    except (OSError, msgspec.DecodeError) as exc:
        raise SettingsError(f"{path}: {exc}", step="instances") from exc
    instances = LaggingList(listed, lag)
    app = make_instances_app(instances, LoopBridge(asyncio.get_running_loop()))
    return await _serve(listen, app, control, instances.faults, None)
