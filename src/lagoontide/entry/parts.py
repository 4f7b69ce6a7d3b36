"""An entry with all that it stands on, wired together."""

import asyncio
import contextlib
import random

from lagoontide.claims.messages import ClaimAsk, ReleaseAsk
from lagoontide.claims.service import PartitionClaims
from lagoontide.configuration.acceptance import Acceptance
from lagoontide.configuration.force import ForceView
from lagoontide.configuration.holder import Holder
from lagoontide.console.api import mount_api
from lagoontide.console.app import mount_console
from lagoontide.dispatch.caller import Dispatcher
from lagoontide.dispatch.kept import Keepers
from lagoontide.entry.http import make_app
from lagoontide.entry.service import Entry
from lagoontide.httpd import HttpServer, LoopBridge
from lagoontide.membership.directory import Directory
from lagoontide.membership.messages import Joined
from lagoontide.metrics import make_metrics
from lagoontide.operators.app import OperatorsApp
from lagoontide.operators.signin import mount_sign_in
from lagoontide.protocol import make_protocol_codec
from lagoontide.report.pages import ReportPages
from lagoontide.report.reporter import Reporter
from lagoontide.report.snapshots import SnapshotWriter
from lagoontide.report.status import StatusMaker
from lagoontide.routing.choose import Default, Policy, make_choose
from lagoontide.settings import EntrySettings
from lagoontide.spreading.messages import MESSAGES as SPREADING
from lagoontide.spreading.node import Spreader
from lagoontide.store.instances import InstanceSource
from lagoontide.store.kv import KeyValueStore
from lagoontide.wire.conn import Conn, Context, Identity, connect
from lagoontide.wire.router import Router
from lagoontide.wire.server import bind

__all__ = ["EntryParts", "make_entry"]

OPERATOR_THREADS = 8
WRITTEN_POLL_S = 0.02
LAST_SNAPSHOT_S = 2.0


class EntryParts:
    """An entry with what it stands on, before it is served.

    Attributes
    ----------
    http, operators_http : HttpServer
        The callers' and the operators' port.
    operators : OperatorsApp
        Where slices mount their pages.
    router : Router
        Where slices register for messages of other entries.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        ctx: Context,
        store: KeyValueStore,
        instances: InstanceSource,
        policy: Policy,
    ) -> None:
        self._cfg = cfg
        self._ctx = ctx
        self._store = store
        self._codec = make_protocol_codec()
        self._bridge = LoopBridge(asyncio.get_running_loop())
        self.identity = Identity(cfg.name)
        self.holder = Holder()
        self.directory = Directory(instances, self._connect, cfg.name)
        self.holder.subscribe(self.directory.update)
        self.router = Router()
        self.peers_server = bind(
            ctx, f"tcp://{cfg.peers}", self._codec, self.identity, self.router.handle
        )
        self._join_spreading()
        self._join_claims()
        self._serve_callers(policy)
        self._serve_operators()

    def _connect(self, address: str) -> Conn:
        return connect(self._ctx, address, self._codec, self.identity)

    def _join_spreading(self) -> None:
        """Take part in passing versions of the document on."""
        cfg = self._cfg
        self.spreader = Spreader(
            self.identity,
            cfg.failure_domain,
            self._store,
            self._connect,
            self.holder.put,
            cfg.stale_after,
        )
        self.force = ForceView(self.holder, cfg.name, cfg.failure_domain)
        self.directory.subscribe(self.spreader.apply)
        self.directory.subscribe(self.force.apply)
        self.identity.on_version = self._note_version
        self.router.register(Joined, self.directory.handle)
        for kind in SPREADING:
            self.router.register(kind, self.spreader.handle)

    def _join_claims(self) -> None:
        """Answer for partitions of the claims and ask the owners of others."""
        self.claims = PartitionClaims(
            self._store, self.directory.peers, lambda: self.peers_server.address
        )
        self.router.register(ClaimAsk, self.claims.handle)
        self.router.register(ReleaseAsk, self.claims.handle)

    def _serve_callers(self, policy: Policy) -> None:
        cfg = self._cfg
        self.entry = Entry(
            self.holder,
            Dispatcher(self.directory, make_choose(policy, random.Random(cfg.name))),
            self.claims,
            make_metrics(cfg.statsd.address, cfg.statsd.prefix),
            Keepers(self.directory),
        )
        self.entry.is_current = lambda: self.spreader.is_current
        self.entry.door.confirmed_age = lambda: self.spreader.age
        self.app = make_app(self.entry, self._bridge, cfg.max_body)
        self.http = HttpServer(
            cfg.callers,
            self.app,
            threads=cfg.threads,
            max_header=cfg.max_header,
            max_body=2 * cfg.max_body,
            timeout=cfg.silence,
        )

    def _serve_operators(self) -> None:
        cfg = self._cfg
        self.operators = OperatorsApp(cfg.operator_tokens, cfg.session_key)
        mount_sign_in(self.operators)
        self._mount_configuration()
        self._mount_report()
        self.operators_http = HttpServer(
            cfg.operators, self.operators, threads=OPERATOR_THREADS
        )

    def _mount_report(self) -> None:
        cfg = self._cfg
        self.reporter = Reporter(
            cfg.name, cfg.failure_domain, self.holder, self._find_domain
        )
        if cfg.report:
            self.entry.subscribe(self.reporter.take)
        self.snapshots = SnapshotWriter(
            self._store, self.reporter, random.Random(cfg.name)
        )
        status = StatusMaker(
            cfg.name,
            cfg.failure_domain,
            self.entry,
            self.holder,
            self.directory,
            self._store,
        )
        pages = ReportPages(self.reporter, status, self._store, self._bridge.call)
        pages.mount(self.operators)

    def _find_domain(self, target: str) -> str:
        links = self.directory.links
        return next((x.instance.failure_domain for x in links if x.name == target), "")

    def _note_version(self, peer: str, version: int) -> None:
        """Take the stamp that every message between processes has."""
        self.force.note(peer, version)
        self.spreader.note_version(peer, version)

    def _mount_configuration(self) -> None:
        acceptance = Acceptance(self._store)
        mount_api(self.operators, acceptance, self._bridge, self.force.read)
        mount_console(
            self.operators,
            acceptance,
            self.holder,
            self._bridge,
            self.force.read,
            self._list_targets,
        )

    def _list_targets(self, service: str) -> tuple[str, ...]:
        links = self.directory.links
        return tuple(sorted(x.name for x in links if x.instance.service == service))

    def start_http(self) -> None:
        """Begin to serve callers and operators."""
        self.http.start()
        self.operators_http.start()

    async def follow(self) -> None:
        """Do what an entry does beside requests, until cancelled."""
        await asyncio.gather(
            self.directory.follow(),
            self.spreader.run(),
            self.snapshots.run(),
            self.claims.keep_lease(),
        )

    async def drain(self, bound: float) -> bool:
        """Drain the entry and leave its counts in the store; see Entry.drain."""
        self.app.is_leaving = True
        end = asyncio.get_running_loop().time() + bound
        ended = await self.entry.drain(bound, self._cfg.linger)
        while self.app.active and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(WRITTEN_POLL_S)
        ended = ended and not self.app.active
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_SNAPSHOT_S):
                await self.snapshots.write()
        return ended

    async def close(self) -> None:
        """Close both sides; the HTTP servers in threads, as they join their own."""
        await asyncio.gather(
            asyncio.to_thread(self.http.stop),
            asyncio.to_thread(self.operators_http.stop),
        )
        self.claims.close()
        self.directory.close()
        self.spreader.close()
        self.peers_server.close()


def make_entry(
    cfg: EntrySettings,
    ctx: Context,
    store: KeyValueStore,
    instances: InstanceSource,
    policy: Policy | None = None,
) -> EntryParts:
    """Return an entry that is wired but not yet started."""
    return EntryParts(cfg, ctx, store, instances, policy or Default())
