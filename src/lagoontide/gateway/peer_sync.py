"""State exchange between entries, and catching up from a peer without the store."""

import asyncio
from collections.abc import Callable

from loguru import logger
from msgspec.structs import replace

from lagoontide.errors import PeerError, PeerTimeout
from lagoontide.forward.call import ForwardingState
from lagoontide.gateway.store_view import StoreView
from lagoontide.mesh.messages import (
    ChangeBatch,
    Follow,
    Status,
    StoreSnapshot,
    StoreSnapshotRequest,
    Sums,
)
from lagoontide.mesh.peers import Mesh
from lagoontide.mesh.relay import Relay, RelayReceiver, boot_time
from lagoontide.pieces.demand import Demand
from lagoontide.quarantine.records import CrashReport
from lagoontide.store.follower import Follower
from lagoontide.tasks import TaskSet
from lagoontide.wire.router import Router
from lagoontide.wire.server import Send

__all__ = ["PeerSync"]

# A peer at a later store revision is asked for a snapshot if the store is down or
# silent, or if peers have had a newer configuration for too long (see Pace).
CATCH_UP_INTERVAL_S = 0.3
CATCH_UP_TIMEOUT_S = 1.0
# An entry that starts waits this long at most for a status of another one before it
# puts the store's configuration in force.
FIRST_CONFIG_WAIT_S = 0.5
# For this time an entry that starts asks for all crashes on record.
STARTING_S = 1.0
# Stands for all other entries as the source of the sums that hubs send.
AGGREGATE_PEER = "fleet"
# Weight of the loads in hubs' sums. Engines read a prompt within 0.2 s and sums are
# twice as old: most of the engine load that they report has already finished, and all
# entries see the same sums.
SUMS_LOAD_WEIGHT = 0.2


class PeerSync:
    """Exchanges load, store changes and snapshots with other entries.

    Parameters
    ----------
    address : str
        ``IP:PORT`` where this entry listens for peers.
    clock : callable
        Returns seconds of a clock that runs on while the instance is suspended.

    Attributes
    ----------
    mesh : Mesh or None
        Connections to other entries; set after construction, as each needs the other.
    relay : Relay
        Sends the store's changes to entries that follow this one.
    relay_receiver : RelayReceiver
        The store's changes as hubs send them to this entry.
    """

    def __init__(
        self,
        state: ForwardingState,
        store_view: StoreView,
        follower: Follower,
        demand: Demand,
        address: str,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self._demand = demand
        self.mesh: Mesh | None = None
        self._state = state
        self._store_view = store_view
        self._follower = follower
        self._address = address
        self._loop = asyncio.get_running_loop()
        self.relay = Relay(self._send_change_batch, clock, follower.uptime)
        self.relay_receiver = RelayReceiver(
            follower.apply_changes,
            lambda: follower.as_of,
            self._update_store_status,
            lambda: follower.pace.silence_limit,
            clock,
        )
        self._catch_up_started_at = 0.0
        self._behind_since: float | None = None
        self._started_at = self._loop.time()
        self._newest_peer_version: int | None = None
        self._loop.call_later(FIRST_CONFIG_WAIT_S, store_view.release_config)
        self._tasks = TaskSet()

    def register(self, router: Router) -> None:
        """Register the handlers for messages of other entries."""
        router.register(StoreSnapshotRequest, self._handle_snapshot_request)
        router.register(Follow, self._handle_follow)
        router.register(ChangeBatch, self._handle_change_batch)

    def is_relayed(self) -> bool:
        """Return whether hubs supply the store's changes, so that no watch is needed.

        False for a hub, and for an entry that others follow as one.
        """
        if self.mesh is None or self.mesh.is_hub or self.relay.has_followers:
            return False
        return self.relay_receiver.is_relayed()

    def is_cut_off(self) -> bool:
        """Return whether the store has been silent too long, directly and via hubs."""
        silence = self._loop.time() - self._follower.last_response_at
        return silence > self._follower.pace.silence_limit

    def holds_first_config(self) -> bool:
        """Return whether the store's configuration may be older than that of peers."""
        if self._loop.time() - self._started_at >= FIRST_CONFIG_WAIT_S:
            return False
        if self._newest_peer_version is not None:
            return self._newest_peer_version > self._store_view.config_version
        assert self.mesh is not None
        return bool(self._store_view.entries.keys() - {self.mesh.name})

    def make_status(self) -> Status:
        """Return this entry's status."""
        assert self.mesh is not None
        return Status(
            name=self.mesh.name,
            address=self._address,
            capacity=self.mesh.capacity(self.mesh.name),
            # Without a configuration it cannot own stage targets either, so it is
            # reported as draining.
            is_draining=self.mesh.is_draining or self._state.route_table is None,
            config_version=self._store_view.config_version,
            as_of=self._follower.as_of,
            loads=self._state.loads.own_by_target(),
            streams=self._state.streams.own_by_target(),
            leaving_targets=self._state.directory.recently_leaving(),
            peers=self.mesh.addresses(),
            needs=self._demand.own(),
            limits=self._state.rate_limits.own_reports(),
            crashes=self._state.guard.ledger.report_changes(),
            wants_crashes=self._is_starting(),
        )

    def record_status(self, status: Status, counts_work: bool) -> None:
        """Record the status of a peer, and catch up from it if necessary.

        Parameters
        ----------
        counts_work : bool
            Whether to record its work; False if hubs' sums include it.
        """
        if counts_work:
            self._record_work(status.name, status)
        self._state.directory.mark_reported_leaving(status.leaving_targets, status.name)
        self._state.rate_limits.merge(status.name, status.limits)
        self.record_crashes(status.name, status.crashes)
        if status.wants_crashes:
            self._state.guard.ledger.resend_all()
        is_ahead = status.as_of > self._follower.as_of
        must_catch_up = self._is_store_down() and is_ahead
        self._newest_peer_version = max(
            self._newest_peer_version or 0, status.config_version
        )
        is_behind = self._is_configuration_behind(status)
        if not self.holds_first_config():
            self._store_view.release_config()
        self._catch_up_if(must_catch_up or is_behind, status.name)

    def record_sums(self, sums: Sums) -> None:
        """Record the work of all other entries as summed by hubs."""
        weighted = {name: SUMS_LOAD_WEIGHT * load for name, load in sums.loads.items()}
        self._record_work(AGGREGATE_PEER, replace(sums, loads=weighted))
        self._state.directory.mark_reported_leaving(
            sums.leaving_targets, AGGREGATE_PEER
        )
        self._state.rate_limits.merge(AGGREGATE_PEER, sums.limits)
        self.record_crashes(AGGREGATE_PEER, sums.crashes)

    def record_crashes(self, peer: str, crashes: list[CrashReport]) -> None:
        """Record the crashes of targets that a peer knows of."""
        self._state.guard.ledger.merge(peer, crashes)

    def _record_work(self, name: str, report: Status | Sums) -> None:
        self._state.loads.update_peer(name, report.loads)
        self._state.streams.update_peer(name, report.streams)
        self._demand.update_peer(name, report.needs)

    def _is_starting(self) -> bool:
        return self._loop.time() - self._started_at < STARTING_S

    def _is_store_down(self) -> bool:
        return not self._follower.is_up or self.is_cut_off()

    def _catch_up_if(self, is_needed: bool, peer: str) -> None:
        now = self._loop.time()
        if is_needed and now - self._catch_up_started_at > CATCH_UP_INTERVAL_S:
            self._catch_up_started_at = now
            self._tasks.start(self._catch_up(peer))

    def _send_change_batch(self, name: str, message: ChangeBatch) -> None:
        if self.mesh is not None:
            self.mesh.send(name, message)

    def _update_store_status(self, relay_receiver: RelayReceiver) -> None:
        self._follower.update_store_status(
            relay_receiver.response_age(), relay_receiver.uptime()
        )

    async def _handle_follow(self, peer: str, message: Follow, send: Send) -> None:
        self.relay.follow(peer, message.as_of)

    async def _handle_change_batch(
        self, peer: str, batch: ChangeBatch, send: Send
    ) -> None:
        assert self.mesh is not None
        self.mesh.hub_monitor.record_message(peer)
        self.relay_receiver.receive(peer, batch)
        # Missing changes are read from the store; a peer is asked only if it is down.
        self._catch_up_if(
            self._is_store_down() and batch.as_of > self._follower.as_of, peer
        )

    def _is_configuration_behind(self, status: Status) -> bool:
        """Return whether peers have had a newer configuration for too long."""
        now = self._loop.time()
        version = self._store_view.config_version
        if status.config_version <= version:
            if status.config_version == version:
                self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        # An entry that has just started may have read an older one from a store that
        # was restored from a copy.
        is_starting = self._state.route_table is None
        return is_starting or now - self._behind_since > self._follower.pace.lag_limit

    async def _catch_up(self, name: str) -> None:
        assert self.mesh is not None
        conn = self.mesh.conn(name)
        if conn is None:
            return
        try:
            snapshot = await conn.ask(
                StoreSnapshotRequest(self._follower.as_of), CATCH_UP_TIMEOUT_S
            )
        except (PeerError, PeerTimeout) as exc:
            logger.bind(peer=name).info("snapshot request failed: {}", exc)
            return
        if not isinstance(snapshot, StoreSnapshot):
            return
        if snapshot.as_of <= self._follower.as_of:
            self._store_view.adopt_config(
                snapshot.config, snapshot.config_revision, name
            )
            return
        self._store_view.adopt_snapshot(name, snapshot)
        self._follower.advance_to(snapshot.as_of)
        logger.bind(peer=name).info(
            "caught up from a peer at revision {} without the store", snapshot.as_of
        )

    async def _handle_snapshot_request(
        self, peer: str, message: StoreSnapshotRequest, send: Send
    ) -> None:
        await send(
            StoreSnapshot(
                as_of=self._follower.as_of,
                config_revision=self._store_view.config_revision,
                config=self._store_view.config_value,
                targets=self._state.directory.all(),
                entries=self._store_view.entries,
                kept=self._state.directory.seconds_until_expiry(),
                kept_entries=self._store_view.kept_entries(),
                evacuated=tuple(self._state.directory.evacuated),
                origins=self._state.origins.aged(),
                origin_values=self._store_view.origins.values(),
            )
        )
