"""A small deployment of stand-ins and entries, all in this process."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import msgspec
import zmq

from lagoontide.errors import WireError
from lagoontide.gateway.gateway import Gateway
from lagoontide.gateway.settings import Bounds, GatewaySettings
from lagoontide.http1.client import TargetConn
from lagoontide.http1.messages import Fields, RequestHead, Response
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.configuration import CONFIGURATION_KEY
from lagoontide.platform.daemon import make_platform
from lagoontide.platform.fields import AUTHORIZATION, DEADLINE, REQUEST_ID
from lagoontide.platform.standins.ports import HOST, reserve_ports
from lagoontide.platform.standins.store import StoreEndpoint, StoreStandin
from lagoontide.platform.standins.targets import TargetStandin

__all__ = [
    "StandinDeployment",
    "make_configuration",
    "make_targets",
    "send",
    "start_deployment",
    "write_configuration",
]

CALLER_API_KEY = "key-one"
READY_POLL_S = 0.01
READY_TIMEOUT_S = 10.0


@dataclass(slots=True)
class StandinDeployment:
    """A store with one endpoint for each entry, the targets and the entries."""

    store: StoreStandin
    store_endpoints: list[StoreEndpoint]
    targets: list[TargetStandin]
    gateways: list[Gateway] = field(default_factory=list)
    ports: list[int] = field(default_factory=list)
    _entries: list["_RunningEntry"] = field(default_factory=list)
    _running: contextlib.AsyncExitStack = field(
        default_factory=contextlib.AsyncExitStack
    )

    def targets_of(self, service: str) -> list[TargetStandin]:
        """Return the targets of a service."""
        return [target for target in self.targets if target.service == service]

    async def start_entries(self) -> None:
        """Start an entry for each endpoint of the store; wait until all are ready."""
        number = len(self.store_endpoints)
        stack = self._running = contextlib.AsyncExitStack()
        ports = reserve_ports(stack.enter_context(contextlib.ExitStack()), 3 * number)
        seeds = tuple((HOST, ports[3 * place]) for place in range(number))
        ctx = stack.enter_context(zmq.Context())
        for place, endpoint in enumerate(self.store_endpoints):
            peers, callers, ready = ports[3 * place : 3 * place + 3]
            cfg = GatewaySettings(
                name=f"entry-{place}",
                host=HOST,
                failure_domain="z1",
                callers=(HOST, callers),
                ready=(HOST, ready),
                peers=(HOST, peers),
                metrics_port=0,
                store=(HOST, endpoint.port),
                seeds=seeds,
                bounds=Bounds(grace_period=3.0, retry_slack=20.0),
            )
            entry = _RunningEntry(cfg, ctx)
            stack.push_async_callback(entry.kill)
            self._entries.append(entry)
            self.gateways.append(await entry.start())
            self.ports.append(callers)
        await _wait_until_ready(self)

    async def restart_entry(self, place: int) -> None:
        """End an entry without a word and start it again; wait until it is ready."""
        entry = self._entries[place]
        await entry.kill()
        self.gateways[place] = await entry.start()
        await _wait_until_ready(self)

    async def kill_entry(self, place: int) -> None:
        """End an entry without a word to the store or to callers."""
        await self._entries[place].kill()

    async def kill_entries(self) -> None:
        """End all entries at once, without a word to the store or to callers."""
        await self._running.aclose()
        self._entries.clear()
        self.gateways.clear()
        self.ports.clear()

    def configure(self, version: int, **changes: Any) -> None:
        """Write a configuration to the store."""
        self.store.put(CONFIGURATION_KEY, make_configuration(version, **changes))


@dataclass(slots=True)
class _RunningEntry:
    """An entry with its background tasks."""

    cfg: GatewaySettings
    ctx: zmq.Context
    gateway: Gateway | None = None
    tasks: list[asyncio.Future[None]] = field(default_factory=list)

    async def start(self) -> Gateway:
        """Start it, listening."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while self.gateway is None:
                # The port of a killed entry may not be free at once.
                with contextlib.suppress(WireError):
                    self.gateway = Gateway(self.cfg, self.ctx, make_platform(self.cfg))
                await asyncio.sleep(0)
        await self.gateway.start()
        self.tasks = [asyncio.ensure_future(task) for task in self.gateway.tasks()]
        return self.gateway

    async def kill(self) -> None:
        """End it without a word to the store or to callers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.gateway is not None:
            await self.gateway.close()
            self.gateway = None


def make_configuration(version: int, **changes: Any) -> bytes:
    """Return an encoded configuration with plain, streaming and staged routes."""
    plain = {"host": "a.example", "timeout_ms": 2000, "target_latency_ms": 300}
    stream = plain | {"kind": "stream", "service": "engine", "gap_target_ms": 100}
    pieces = {"slots": 1, "queue": 2, "batch": 4, "call_ms": 10, "item_ms": 1}
    stages = [
        {"service": "stage", "after": [], "bytes": 1000},
        {"service": "stage", "after": [0], "bytes": 1000},
    ]
    routes = [
        plain | {"name": "safe", "prefix": "/safe/", "kind": "safe", "max_attempts": 2},
        plain | {"name": "once", "prefix": "/once/", "kind": "unsafe"},
        stream
        | {"name": "events", "prefix": "/events/", "max_attempts": 2, "sticky": True}
        | {"resume_streams": True},
        stream | {"name": "staged", "prefix": "/staged/", "stages": stages},
    ]
    for route in routes:
        route.setdefault("service", "plain")
    body = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "plain", "max_conns": 50},
            {"name": "engine", "engine": {"slots": 8, "kv_capacity_tokens": 10000}},
            {"name": "stage", "pieces": pieces | {"headroom_mb": 1, "handle_s": 4}},
        ],
        "tenants": [{"name": "first", "api_keys": [CALLER_API_KEY]}],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536},
    }
    return msgspec.json.encode(body | changes)


def write_configuration(
    store: StoreStandin, version: int, keys: list[str], has_new_route: bool = False
) -> None:
    """Write a configuration whose one client account has these API keys.

    Parameters
    ----------
    has_new_route : bool
        Whether plain requests are also taken at ``/new/``.
    """
    tenants = [{"name": "first", "api_keys": keys}]
    value = msgspec.json.decode(make_configuration(version, tenants=tenants))
    if has_new_route:
        route = value["routes"][0] | {"name": "new", "prefix": "/new/"}
        value["routes"].append(route)
    store.put(CONFIGURATION_KEY, msgspec.json.encode(value))


def make_targets(
    scale: int = 1, kind: type[TargetStandin] | None = None
) -> list[TargetStandin]:
    """Return targets of every service, of one class."""
    make = kind or TargetStandin
    targets = [make(f"plain-{n}", "plain") for n in range(3 * scale)]
    targets += [make(f"eng-{n}", "engine", events=6) for n in range(2 * scale)]
    targets += [make(f"stage-{n}", "stage") for n in range(2 * scale)]
    return targets


@contextlib.asynccontextmanager
async def start_deployment(
    entries: int = 1, scale: int = 1, targets: list[TargetStandin] | None = None
) -> AsyncIterator[StandinDeployment]:
    """Run a small deployment for the duration of the ``async with`` block.

    Parameters
    ----------
    targets : list of TargetStandin, optional
        Not started yet; by default those of ``make_targets``.
    """
    store = StoreStandin()
    endpoints = [StoreEndpoint(store) for _ in range(entries)]
    targets = targets or make_targets(scale)
    deployment = StandinDeployment(store, endpoints, targets)
    deployment.configure(1)
    for target in targets:
        await target.start(store)
    for endpoint in endpoints:
        await endpoint.start()
    try:
        await deployment.start_entries()
        yield deployment
    finally:
        for target in targets:
            await target.close()
        for endpoint in endpoints:
            await endpoint.close()
        await deployment.kill_entries()


async def send(
    port: int,
    path: str,
    request_id: str,
    method: str = "POST",
    body: bytes = b"x",
    extra: Fields | None = None,
    deadline_ms: int = 2000,
    host: str = HOST,
) -> Response:
    """Send a request as a caller; return the response with its whole body."""
    conn = TargetConn(await connect_tcp(host, port, 1.0))
    fields = [
        (b"Host", b"a.example"),
        (REQUEST_ID, request_id.encode()),
        (DEADLINE, b"%d" % deadline_ms),
        (AUTHORIZATION, b"Bearer " + CALLER_API_KEY.encode()),
        *(extra or []),
    ]
    try:
        head = RequestHead(method.encode(), path.encode(), fields)
        return await conn.call(head, body)
    finally:
        conn.close()


async def _wait_until_ready(deployment: StandinDeployment) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not all(
            gateway.is_ready
            and len(gateway.state.directory) == len(deployment.targets)
            and len(gateway.mesh.live()) == len(deployment.gateways)
            for gateway in deployment.gateways
        ):
            await asyncio.sleep(READY_POLL_S)
