"""The parts of an entry on the platform, put together."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from loguru import logger

from lagoontide.forward.call import Call, World
from lagoontide.forward.door import Door
from lagoontide.forward.fields import Dialect
from lagoontide.forward.retries import RetryBudget
from lagoontide.forward.stream import choose_engine
from lagoontide.gateway.beliefs import BeliefSink, Decoders
from lagoontide.gateway.metrics import GatewayMetrics
from lagoontide.gateway.settings import GatewaySettings
from lagoontide.gateway.sync import Sync
from lagoontide.http1.messages import Response
from lagoontide.http1.server import Listener, Reply, Request, WireLimits
from lagoontide.mesh.messages import MESSAGES as MESH_MESSAGES
from lagoontide.mesh.peers import Mesh
from lagoontide.mesh.register import EntryAddress, Registration
from lagoontide.pieces.calibration import Calibration
from lagoontide.pieces.demand import Demand
from lagoontide.pieces.desk import Desk
from lagoontide.pieces.inputs import StageInputs
from lagoontide.pieces.messages import MESSAGES as PIECE_MESSAGES
from lagoontide.pieces.records import PieceTargets
from lagoontide.routes.records import Service
from lagoontide.store.feed import RevisionStore
from lagoontide.store.follow import Follower
from lagoontide.targets.directory import Directory
from lagoontide.targets.health import Health
from lagoontide.targets.load import Loads
from lagoontide.targets.pools import Pools
from lagoontide.wire.codec import make_codec
from lagoontide.wire.conn import Context, Identity, connect
from lagoontide.wire.router import Router
from lagoontide.wire.server import Server, bind

__all__ = ["Gateway", "Outside"]

# Everything in the store is followed by one watch.
FOLLOWED = ""
SWEEP_EVERY_S = 0.25
# Peers are few and come back within a second; a start of all makes no storm.
RECONNECT_S = (0.05, 0.2)
# The longest message has a configuration (a value of the store, 1 MB) and all targets.
MAX_MESH_BYTES = 8 << 20


@dataclass(frozen=True, slots=True)
class Outside:
    """How the platform is spoken to.

    Attributes
    ----------
    make_piece_targets : callable
        Returns the calls to stage targets over given connections.
    """

    store: RevisionStore
    dialect: Dialect
    decoders: Decoders
    make_piece_targets: Callable[[Pools], PieceTargets]
    ready_path: bytes


class Gateway:
    """An entry: callers' requests in, targets' answers out."""

    def __init__(self, cfg: GatewaySettings, ctx: Context, outside: Outside) -> None:
        loop = asyncio.get_running_loop()
        self.cfg = cfg
        self.is_leaving = False
        self._outside = outside
        self._rng = random.Random(cfg.name)
        self.world = self._make_world(loop.time)
        self.sink = BeliefSink(
            self.world, outside.decoders, lambda: self.follower.up_since, loop.time
        )
        self.follower = Follower(
            outside.store, FOLLOWED, self.sink, lambda: self.sync.is_fed()
        )
        self.demand = Demand(loop.time, lambda: self.mesh.scale())
        self.calibration = Calibration(loop.time)
        self._join_mesh(ctx)
        self.metrics = GatewayMetrics()
        self.door = Door(self.world, self._make_inputs, self.metrics, self._rng)
        self.callers = Listener(self.door.handle, self._limits)
        self._probes = Listener(self._answer_probe, WireLimits)
        self._metrics_port = Listener(self._answer_probe, WireLimits)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            not self.is_leaving and self.world.book is not None and self.sink.has_listed
        )

    async def start(self) -> None:
        """Listen on all addresses."""
        await self.callers.start(*self.cfg.callers)
        await self._probes.start(*self.cfg.ready)
        if self.cfg.metrics_port:
            await self._start_metrics()

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return what runs as long as the entry does."""
        return [
            self.follower.run(),
            self.mesh.run(),
            self.registration.run(),
            self._sweep(),
        ]

    def reload(self, cfg: GatewaySettings) -> None:
        """Take changed settings; addresses to listen at need a restart."""
        old, self.cfg = self.cfg, cfg
        bounds = cfg.bounds
        self.world.budget.set_limits(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        self._outside.store.move(*cfg.store)
        self.mesh.learn(f"{host}:{port}" for host, port in cfg.seeds)
        fixed = (
            "name",
            "host",
            "callers",
            "ready",
            "peers",
            "failure_domain",
            "metrics_port",
            "lease_ttl_min",
            "cpu_share",
        )
        for name in fixed:
            if getattr(old, name) != getattr(cfg, name):
                logger.warning("{} changed in the settings: after a restart", name)
        logger.info("settings reloaded: {}", cfg)

    async def close(self) -> None:
        """Let go of everything."""
        self.desk.close()
        await self.callers.close()
        await self._probes.close()
        await self._metrics_port.close()
        self.mesh.close()
        self._server.close()
        self.world.pools.close()

    def _make_world(self, clock: Callable[[], float]) -> World:
        cfg, bounds = self.cfg, self.cfg.bounds
        return World(
            failure_domain=cfg.failure_domain,
            dialect=self._outside.dialect,
            directory=Directory(clock),
            health=Health(clock),
            loads=Loads(clock),
            streams=Loads(clock),
            pools=Pools(lambda name: self._service(name).max_conns, self._entries),
            budget=RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
                self._entries,
                clock,
            ),
        )

    def _join_mesh(self, ctx: Context) -> None:
        """Make the parts that speak with other entries."""
        cfg = self.cfg
        address = f"{cfg.peers[0]}:{cfg.peers[1]}"
        codec = make_codec(MESH_MESSAGES, PIECE_MESSAGES)
        identity = Identity(cfg.name)
        own = EntryAddress(address, cfg.cpu_share, cfg.failure_domain)
        self.sync = Sync(self.world, self.sink, self.follower, self.demand, address)
        self.follower.onward = self.sync.relay
        self.mesh = self.sync.mesh = Mesh(
            cfg.name,
            own,
            lambda peer: connect(
                ctx, peer, codec, identity, RECONNECT_S, MAX_MESH_BYTES
            ),
            self.sync.make_status,
            self.sync.take_status,
            lambda name: self.desk.forget_peer(name),
            self.sync.take_sums,
            self.sink.entries,
            self.sync.is_cut_off,
        )
        self.mesh.learn(f"{host}:{port}" for host, port in cfg.seeds)
        self.desk = Desk(
            self.mesh,
            self.world.directory,
            self._outside.make_piece_targets(self.world.pools),
            self._service,
        )
        router = Router()
        for part in (self.mesh, self.sync, self.desk):
            part.register(router)
        self._server: Server = bind(
            ctx, f"tcp://{address}", codec, identity, router.handle, MAX_MESH_BYTES
        )
        self.registration = Registration(
            self._outside.store,
            cfg.name,
            own,
            cfg.lease_ttl_min,
        )

    def _service(self, name: str) -> Service:
        book = self.world.book
        return Service(name) if book is None else book.find_service(name)

    def _limits(self) -> WireLimits:
        book = self.world.book
        return WireLimits() if book is None else book.plan.limits

    def _entries(self) -> int:
        return self.mesh.count()

    def _make_inputs(self, call: Call) -> StageInputs:
        def target_domain() -> str:
            choice = choose_engine(self.world, call, set(), self._rng)
            return choice.target.failure_domain if choice else ""

        return StageInputs(
            self.desk,
            self.demand,
            self.calibration,
            call,
            self._service,
            target_domain,
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_EVERY_S)
            directory = self.world.directory
            directory.sweep()
            self.sink.sweep()
            keys = {target.key for target in directory.all()}
            self.world.pools.keep_only(keys)
            self.world.health.forget(keys)
            self.mesh.learn(entry.address for entry in self.sink.entries.values())

    async def _start_metrics(self) -> None:
        try:
            await self._metrics_port.start(self.cfg.host, self.cfg.metrics_port)
        except OSError as exc:
            logger.error("metrics cannot be read: {}", exc)

    async def _answer_probe(self, req: Request, reply: Reply) -> None:
        if req.head.path == self._outside.ready_path:
            await reply.send(Response(200 if self.is_ready else 503))
        elif req.head.path == b"/metrics":
            fields = [(b"Content-Type", b"text/plain; version=0.0.4")]
            await reply.send(Response(200, fields, self.metrics.render()))
        else:
            logger.info("unknown probe {!r}", req.head.path[:80])
            await reply.send(Response(404))
