"""The ``Gateway``: the components of an entry process and how they are wired."""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterator
from functools import partial
from typing import Any

from loguru import logger

from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.forwarder import Forwarder
from lagoontide.forward.guard import Guard
from lagoontide.forward.retries import RetryBudget
from lagoontide.forward.selection import choose_target
from lagoontide.gateway.metrics import GatewayMetrics
from lagoontide.gateway.origins import resume_window
from lagoontide.gateway.peer_sync import PeerSync
from lagoontide.gateway.platform import Platform
from lagoontide.gateway.probes import Probes
from lagoontide.gateway.settings import GatewaySettings
from lagoontide.gateway.store_view import StoreView
from lagoontide.http1.holdings import make_conn_limits
from lagoontide.http1.server import HttpLimits, Listener
from lagoontide.mesh.messages import MESSAGES as MESH_MESSAGES
from lagoontide.mesh.origin_peers import OriginPeers
from lagoontide.mesh.peers import Mesh
from lagoontide.mesh.registration import EntryRecord, Registration
from lagoontide.mesh.turn_loans import MESSAGES as TURN_MESSAGES, TurnLoans
from lagoontide.origins.keeper import OriginKeeper
from lagoontide.origins.ledger import Origins
from lagoontide.origins.messages import MESSAGES as ORIGIN_MESSAGES
from lagoontide.pieces.calibration import Calibration
from lagoontide.pieces.demand import Demand
from lagoontide.pieces.dispatcher import OrderDispatcher
from lagoontide.pieces.inputs import StageInputs
from lagoontide.pieces.messages import MESSAGES as PIECE_MESSAGES
from lagoontide.quarantine.keeper import Keeper
from lagoontide.quarantine.ledger import Ledger
from lagoontide.quarantine.messages import MESSAGES as QUARANTINE_MESSAGES
from lagoontide.quarantine.trials import TrialDesk
from lagoontide.routes.records import Service
from lagoontide.store.follower import Follower
from lagoontide.store.pace import Pace
from lagoontide.supervision import Supervisor
from lagoontide.targets.cold import ColdTargets
from lagoontide.targets.directory import Directory
from lagoontide.targets.endings import Endings
from lagoontide.targets.health import Health
from lagoontide.targets.load import Loads
from lagoontide.targets.pools import Pools
from lagoontide.targets.rate_limits import RateLimits
from lagoontide.targets.rate_shares import RateShares
from lagoontide.wire.codec import make_codec
from lagoontide.wire.conn import Context, Identity, connect
from lagoontide.wire.router import Router
from lagoontide.wire.server import Server, bind

__all__ = ["Gateway"]

# The empty prefix: one watch covers every key of the store.
WATCHED_PREFIX = ""
SWEEP_INTERVAL_S = 0.25
# Bounds of the reconnect back-off. Short, as peers are few and return within a second;
# even a start of all entries at once causes no connection storm.
RECONNECT_BACKOFF_S = (0.05, 0.2)
# The largest message carries a configuration (a store value of up to 1 MB) and all
# targets.
MAX_MESH_MESSAGE_BYTES = 8 << 20


class Gateway:
    """An entry: accepts callers' requests and forwards them to targets.

    Parameters
    ----------
    ctx : Context
        ZeroMQ context for the connections to other entries.
    """

    def __init__(self, cfg: GatewaySettings, ctx: Context, platform: Platform) -> None:
        loop = asyncio.get_running_loop()
        self._clock = loop.time
        self.cfg = cfg
        self.is_draining = False
        self.supervisor = Supervisor()
        self._platform = platform
        self._rng = random.Random(cfg.name)
        self.state = self._make_state(self._clock)
        self.store_view = StoreView(
            self.state,
            platform.decoders,
            lambda: self.follower.outage_end,
            loop.time,
            lambda: self.peer_sync.holds_first_config(),
        )
        self.follower = Follower(
            platform.store,
            WATCHED_PREFIX,
            self.store_view,
            lambda: self.peer_sync.is_relayed(),
            Pace(cfg.bounds.apply_within, cfg.bounds.heartbeat),
        )
        self.demand = Demand(loop.time, lambda: self.mesh.extrapolation_factor())
        self.calibration = Calibration(loop.time)
        self._make_mesh(ctx)
        self.metrics = GatewayMetrics()
        self.forwarder = Forwarder(
            self.state, self._make_stage_inputs, self.metrics, self._rng
        )
        bounds = make_conn_limits(cfg.memory_bytes, cfg.descriptors)
        self.callers = Listener(self.forwarder.handle, self._wire_limits, bounds)
        self._probes = Probes(
            platform.ready_path, lambda: self.is_ready, lambda: self.metrics.render()
        )

    @property
    def is_ready(self) -> bool:
        """Whether the readiness probe succeeds, so that callers are routed here."""
        return (
            not self.is_draining
            and self.state.route_table is not None
            and self.store_view.is_synced
        )

    @property
    def store_era(self) -> int:
        """The latest era of the store that this entry has seen."""
        return self._platform.store.era

    async def start(self) -> None:
        """Start all HTTP listeners."""
        await self.callers.start(*self.cfg.callers)
        metrics = (self.cfg.host, self.cfg.metrics_port)
        await self._probes.start(self.cfg.ready, metrics)

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the background tasks, to be run until the entry closes."""
        work: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "follower": self.follower.run,
            "mesh": self.mesh.run,
            "registration": self.registration.run,
            "quarantine keeper": self.keeper.run,
            "origin keeper": self.origin_keeper.run,
            "sweep": self._sweep,
        }
        return [self.supervisor.run(name, start) for name, start in work.items()]

    def reload(self, cfg: GatewaySettings) -> None:
        """Apply changed settings; listen addresses and some others need a restart."""
        old, self.cfg = self.cfg, cfg
        bounds = cfg.bounds
        self.state.budget.set_limits(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window
        )
        self.follower.pace = Pace(bounds.apply_within, bounds.heartbeat)
        self._platform.store.set_address(*cfg.store)
        self.mesh.add_addresses(f"{host}:{port}" for host, port in cfg.seeds)
        restart_only = (
            "name",
            "host",
            "callers",
            "ready",
            "peers",
            "failure_domain",
            "metrics_port",
            "lease_ttl_min",
            "cpu_share",
            "memory_bytes",
            "descriptors",
        )
        for name in restart_only:
            if getattr(old, name) != getattr(cfg, name):
                logger.warning("setting {} changed, takes effect after a restart", name)
        logger.info("settings reloaded: {}", cfg)

    async def close(self) -> None:
        """Close all listeners and connections."""
        self.dispatcher.close()
        await self.callers.close()
        await self._probes.close()
        self.mesh.close()
        self._mesh_server.close()
        self.state.endings.close()
        self.state.pools.close()

    def _make_state(self, clock: Callable[[], float]) -> ForwardingState:
        cfg, bounds = self.cfg, self.cfg.bounds
        cold = ColdTargets(clock, lambda name: self._find_service(name).cold_rate)
        limits = RateLimits(clock, cold)
        directory = Directory(clock)
        pools = Pools(
            lambda name: self._find_service(name).max_conns, self._count_entries
        )
        endings = Endings(directory, pools, clock, lambda: self.peer_sync.is_cut_off())
        return ForwardingState(
            failure_domain=cfg.failure_domain,
            field_codec=self._platform.field_codec,
            directory=directory,
            health=Health(clock),
            loads=Loads(clock),
            streams=Loads(clock),
            pools=pools,
            endings=endings,
            guard=Guard(
                Ledger(clock),
                directory,
                endings,
                clock,
                lambda keys, target, left: self.trials.request(keys, target, left),
                lambda trial: self.trials.end(trial),
            ),
            budget=RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
                self._count_entries,
                clock,
            ),
            rate_limits=limits,
            rate_shares=RateShares(
                limits, cfg.name, lambda: self.mesh.limit_sharers(), clock
            ),
            borrow_turn=lambda target: self.turn_loans.borrow(target),
            ask_origin=lambda name, service: self.origin_peers.find_at_peers(
                name, service
            ),
            is_cut_off=lambda: self.peer_sync.is_cut_off(),
            origins=Origins(clock, lambda: resume_window(self.state.route_table)),
        )

    def _make_mesh(self, ctx: Context) -> None:
        """Create the components that communicate with other entries."""
        cfg = self.cfg
        address = f"{cfg.peers[0]}:{cfg.peers[1]}"
        codec = make_codec(
            MESH_MESSAGES,
            PIECE_MESSAGES,
            QUARANTINE_MESSAGES,
            TURN_MESSAGES,
            ORIGIN_MESSAGES,
        )
        identity = Identity(cfg.name)
        own = EntryRecord(address, cfg.cpu_share, cfg.failure_domain)
        self.peer_sync = PeerSync(
            self.state, self.store_view, self.follower, self.demand, address
        )
        self.follower.relay = self.peer_sync.relay
        self.mesh = self.peer_sync.mesh = Mesh(
            cfg.name,
            own,
            lambda peer: connect(
                ctx, peer, codec, identity, RECONNECT_BACKOFF_S, MAX_MESH_MESSAGE_BYTES
            ),
            self.peer_sync.make_status,
            self.peer_sync.record_status,
            lambda name: self.dispatcher.forget_peer(name),
            self.peer_sync.record_sums,
            self.peer_sync.record_crashes,
            self.store_view.entries,
            self.peer_sync.is_cut_off,
        )
        self.state.run_clock = self.mesh.run_clock
        self.mesh.add_addresses(f"{host}:{port}" for host, port in cfg.seeds)
        # The owner of a stage target is the only entry that calls it.
        self._stage_shares = RateShares(
            self.state.rate_limits, cfg.name, lambda: (cfg.name,), self._clock
        )
        self.dispatcher = OrderDispatcher(
            self.mesh,
            self.state.directory,
            self._platform.make_piece_client(
                self.state.pools,
                self._stage_shares,
                self.state.endings,
                self.state.directory,
            ),
            self._find_service,
            self._stage_shares,
            self.mesh.run_clock,
        )
        self.trials = TrialDesk(
            self.state.guard.ledger, self.mesh, self.mesh.sees_fleet, self._clock
        )
        self.keeper = Keeper(
            self._platform.store,
            self.state.guard.ledger,
            self.store_view.quarantines,
            self._is_responsible,
        )
        self.origin_keeper = OriginKeeper(
            self._platform.store,
            self.state.origins,
            self.store_view.origins,
            cfg.name,
            self._is_responsible,
            self._count_entries,
            self._clock,
        )
        self.origin_peers = OriginPeers(self.state.origins, self.mesh)
        self.turn_loans = TurnLoans(
            self.state.rate_shares, self.state.directory, self.mesh, self._clock
        )
        router = Router()
        for part in (
            self.mesh,
            self.peer_sync,
            self.dispatcher,
            self.trials,
            self.turn_loans,
            self.origin_peers,
        ):
            part.register(router)
        self._mesh_server: Server = bind(
            ctx,
            f"tcp://{address}",
            codec,
            identity,
            router.handle,
            MAX_MESH_MESSAGE_BYTES,
        )
        self.registration = Registration(
            self._platform.store,
            cfg.name,
            own,
            cfg.lease_ttl_min,
        )

    def _find_service(self, name: str) -> Service:
        route_table = self.state.route_table
        return Service(name) if route_table is None else route_table.find_service(name)

    def _wire_limits(self) -> HttpLimits:
        route_table = self.state.route_table
        return HttpLimits() if route_table is None else route_table.config.limits

    def _is_responsible(self) -> bool:
        """Return whether this entry writes to the store on behalf of all."""
        return (
            self.trials.is_coordinator
            and self.store_view.is_synced
            and self.follower.is_up
        )

    def _count_entries(self) -> int:
        return self.mesh.entry_count()

    def _make_stage_inputs(self, call: Call) -> StageInputs:
        def target_domain() -> str:
            choice = choose_target(self.state, call, set(), self._rng)
            return choice.target.failure_domain if choice else ""

        return StageInputs(
            self.dispatcher,
            self.demand,
            self.calibration,
            call,
            self._find_service,
            target_domain,
            self.mesh.run_clock,
        )

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for step in self._sweep_steps():
                self.supervisor.step("sweep", step)

    def _sweep_steps(self) -> Iterator[Callable[[], object]]:
        """Yield what is to be done regularly; each step is run before the next."""
        state = self.state
        yield state.directory.remove_expired
        yield lambda: state.origins.observe_versions(state.directory.versions())
        yield self.follower.check_silence
        yield self.store_view.sweep
        keys = {target.key for target in state.directory.all()}
        kept = (state.pools, state.health, state.endings, state.rate_limits)
        for part in (*kept, state.rate_shares, self.turn_loans, self._stage_shares):
            yield partial(part.keep_only, keys)
        yield state.guard.sweep
        yield lambda: self.mesh.add_addresses(
            entry.address for entry in self.store_view.entries.values()
        )
