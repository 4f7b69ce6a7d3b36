"""Membership and failure detection of other entries, and connections to them."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from itertools import islice

import msgspec
from loguru import logger

from lagoontide.errors import PeerError
from lagoontide.mesh.addresses import AddressBook
from lagoontide.mesh.hub import Hub
from lagoontide.mesh.hub_monitor import HubMonitor
from lagoontide.mesh.layout import Layout, make_layout
from lagoontide.mesh.messages import Follow, GroupSum, Status, Sums
from lagoontide.mesh.partition import minority
from lagoontide.mesh.registration import EntryRecord
from lagoontide.mesh.roster import Roster
from lagoontide.quarantine.records import CrashReport
from lagoontide.store.revision_store import Revision
from lagoontide.timers import RunClock
from lagoontide.wire.conn import Conn
from lagoontide.wire.pool import ConnPool
from lagoontide.wire.router import Router
from lagoontide.wire.server import Send

__all__ = ["Mesh"]

STATUS_INTERVAL_S = 0.1
# A peer is lost, and gets no more work, after this many missed rounds of statuses, but
# not before MIN_LOST_AFTER_S.
MIN_LOST_AFTER_S = 0.5
LOST_AFTER_ROUNDS = 4
# Above MAX_FULL_MESH_ENTRIES, statuses go to hubs of a group, which return sums of all.
HUB_STATUS_INTERVAL_S = 0.25
# How often the request for the store's changes is renewed.
FOLLOW_INTERVAL_S = 0.5
# A silent peer counts among the entries that share a limit for this long.
FORGET_AFTER_S = 20.0
# Entries that start together receive each other's statuses within this time.
SETTLE_S = 0.4
LARGE_FLEET_SETTLE_S = 1.0
# Above this size, statuses go to hubs, so that their cost does not grow.
MAX_FULL_MESH_ENTRIES = 36
# Peers named in a status, for entries that have just started.
MAX_NAMED_PEERS = 12
# An entry that did not answer is not live, and gets no orders, for this long.
SUSPECT_S = 2.0
# Assumed for an entry whose capacity is unknown.
DEFAULT_CAPACITY_CORES = 1.0


@dataclass(slots=True)
class _Peer:
    status: Status
    heard_at: float
    is_lost: bool = False


class Mesh:
    """Tracks which entries are live; implements ``lagoontide.pieces.dispatcher.Peers``.

    Parameters
    ----------
    own : EntryRecord
        The record of this entry, whether or not the store has it.
    connect : callable
        Returns a connection to a peer URL, ``tcp://IP:PORT``.
    make_status : callable
        Returns this entry's status.
    on_status : callable
        Called with the status of a peer, and whether its work is to be counted; in a
        large fleet the sums include it.
    on_lost : callable
        Called with the name of a peer that is lost.
    on_crashes : callable
        Called with the name of a hub of another group, and the crashes that it reports.
    on_sums : callable
        Called with the summed statuses of all other entries, in a large fleet.
    registered : mapping
        The entries registered in the store; the caller keeps it up to date.
    is_cut_off : callable
        Returns whether the store has been unreachable for long, even through hubs.
    """

    def __init__(
        self,
        name: str,
        own: EntryRecord,
        connect: Callable[[str], Conn],
        make_status: Callable[[], Status],
        on_status: Callable[[Status, bool], None],
        on_lost: Callable[[str], None],
        on_sums: Callable[[Sums], None],
        on_crashes: Callable[[str, list[CrashReport]], None],
        registered: Mapping[str, EntryRecord],
        is_cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._on_lost = on_lost
        self.name = name
        self._own = own
        self.is_draining = False
        self._pool = ConnPool(connect)
        self._make_status = make_status
        self._on_status = on_status
        self._on_sums = on_sums
        self._on_crashes = on_crashes
        self._loop = asyncio.get_running_loop()
        # Only what peers do not send while this entry runs is their silence.
        self.run_clock = RunClock()
        self._peers: dict[str, _Peer] = {}
        self._addresses = AddressBook(self._loop.time)
        self._registered = registered
        self._is_cut_off = is_cut_off
        self._suspected_until: dict[str, float] = {}
        self._started_at = self._loop.time()
        self.roster = Roster(self.run_clock)
        self.hub_monitor = HubMonitor(self.run_clock)
        self._hub = Hub(name, self.send, self._loop.time)
        self._cached_layout: tuple[int, Layout] = (0, Layout("", {}))
        self._follow_sent_at = 0.0

    def register(self, router: Router) -> None:
        """Register the handlers of statuses and sums."""
        router.register(Status, self._handle_status)
        router.register(GroupSum, self._handle_group_sum)
        router.register(Sums, self._handle_sums)

    def add_addresses(self, addresses: Iterable[str]) -> None:
        """Add addresses at which there may be entries."""
        self._addresses.add(addresses)

    def live(self) -> tuple[str, ...]:
        """Return the names of entries that accept work, including this one."""
        now = self._loop.time()
        others = [
            name
            for name in self._candidates()
            if self._suspected_until.get(name, 0.0) <= now
            and self._is_accepting_work(name)
        ]
        # While draining an entry finishes its own work only.
        return tuple(others) if self.is_draining and others else (self.name, *others)

    def is_settling(self) -> bool:
        """Return whether this entry has just started and still awaits known peers."""
        age = self._loop.time() - self._started_at
        if self._is_large_fleet():
            return age < LARGE_FLEET_SETTLE_S and not self.roster.is_fresh
        if age > SETTLE_S:
            return False
        return len(self._addresses) > 1 + len(self._peers)

    def minority_position(self) -> tuple[int, int] | None:
        """Return this entry's index and the number of entries, if in a ``minority``."""
        names = self._minority()
        return None if names is None else (names.index(self.name), len(names))

    def limit_sharers(self) -> tuple[str, ...]:
        """Return the entries that divide the rate limits of targets; none at first.

        In a minority these are all entries, so that it uses only its own part.
        """
        return () if self.is_settling() else self._minority() or self.live()

    def sees_fleet(self) -> bool:
        """Return whether this entry has settled and hears most of the others."""
        return not self.is_settling() and self._minority() is None

    def _minority(self) -> tuple[str, ...] | None:
        if self._is_large_fleet():
            heard = len(self.roster) if self.roster.is_fresh else 1
            return minority(self.name, self._registered, heard)
        heard = 1 + sum(not peer.is_lost for peer in self._peers.values())
        return minority(self.name, self._peers, heard, first_wins_half=True)

    def is_lost(self, name: str) -> bool:
        """Return whether another entry is lost; one that is draining is not."""
        if self._is_large_fleet() and self.roster.is_fresh:
            return self.roster.get(name) is None
        peer = self._peers.get(name)
        if peer is None:
            return name not in self._registered
        return peer.is_lost

    def entry_count(self) -> int:
        """Return the number of known entries, including the lost ones."""
        return max(1 + len(self._peers), len(self._registered), len(self.roster))

    def extrapolation_factor(self) -> float:
        """Return the ratio of known entries to those heard from, this one in both.

        Returns 1.0 in a full mesh, or while hubs confirm the list of entries.
        """
        if not self._is_large_fleet() or self.roster.is_fresh:
            return 1.0
        heard = 1 + sum(not peer.is_lost for peer in self._peers.values())
        return self.entry_count() / heard

    def capacity(self, name: str) -> float:
        """Return the processor cores of an entry, or a default if unknown."""
        peer = self._peers.get(name)
        if name == self.name:
            return self._own.capacity
        if self._is_large_fleet() and (member := self.roster.get(name)) is not None:
            return member.capacity
        if peer is not None:
            return peer.status.capacity
        entry = self._registered.get(name)
        return DEFAULT_CAPACITY_CORES if entry is None else entry.capacity

    def suspect(self, name: str) -> None:
        """Record that an entry did not answer, and do not count it as live for now."""
        self._suspected_until[name] = self._loop.time() + SUSPECT_S

    def conn(self, name: str) -> Conn | None:
        """Return a connection to another entry, or None if its address is unknown."""
        peer = self._peers.get(name)
        member = self.roster.get(name) if self._is_large_fleet() else None
        entry = peer.status if peer else member or self._registered.get(name)
        return None if entry is None else self._pool.get(f"tcp://{entry.address}")

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of some of the peers that are not lost."""
        heard = (peer for peer in self._peers.values() if not peer.is_lost)
        return tuple(peer.status.address for peer in islice(heard, MAX_NAMED_PEERS))

    async def run(self) -> None:
        """Send this entry's status to peers, and detect lost ones, until cancelled."""
        while True:
            self._expire_peers()
            status = self._make_status()
            self._follow_hubs(status.as_of)
            self._send_status(status)
            is_large = self._is_large_fleet()
            pause = HUB_STATUS_INTERVAL_S if is_large else STATUS_INTERVAL_S
            self.run_clock.tick(pause)
            await asyncio.sleep(pause)

    def broadcast_status(self) -> None:
        """Send this entry's status to peers now, out of turn."""
        self._send_status(self._make_status())

    def _send_status(self, status: Status) -> None:
        if self._is_large_fleet():
            self._send_status_to_hubs(status)
            return
        for address in self._addresses.next_recipients(status.address):
            self._send_over(self._pool.get(f"tcp://{address}"), status)

    def send(self, name: str, message: msgspec.Struct) -> None:
        """Send a message to an entry; drop it if sending would block."""
        conn = self.conn(name)
        if conn is not None:
            self._send_over(conn, message)

    def layout(self) -> Layout:
        """Return the layout of the registered entries."""
        fingerprint = hash(frozenset(self._registered))
        if self._cached_layout[0] != fingerprint:
            self._cached_layout = (
                fingerprint,
                make_layout(self.name, self._own, self._registered),
            )
        return self._cached_layout[1]

    @property
    def is_hub(self) -> bool:
        """Whether this entry watches the store on behalf of its group."""
        layout = self.layout()
        return self.name in layout.hubs(layout.group, self._excluded_hubs())

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _is_large_fleet(self) -> bool:
        return len(self._registered) > MAX_FULL_MESH_ENTRIES

    def _send_over(self, conn: Conn, message: msgspec.Struct) -> None:
        try:
            conn.tell_now(message)
        except PeerError:
            return  # Logged once the peer is lost.

    def _excluded_hubs(self) -> set[str]:
        """Return the entries that cannot be hubs at present."""
        # Other entries do not select a hub that is not registered in the store.
        own = set() if self.name in self._registered else {self.name}
        return self.hub_monitor.silent() | self.roster.draining() | own

    def _send_status_to_hubs(self, status: Status) -> None:
        """Send the status to the hubs of the group, and act as a hub if this is one."""
        layout = self.layout()
        excluded = self._excluded_hubs()
        hubs = layout.hubs(layout.group, excluded)
        others = [name for name in hubs if name != self.name]
        # A hub computes the sums itself; another hub would send it the same ones.
        wants_sums = self.name not in hubs
        for place, name in enumerate(others):
            self.send(
                name,
                msgspec.structs.replace(
                    status,
                    group=layout.group,
                    digest=self.roster.digest,
                    wants_sums=wants_sums and place == 0,
                ),
            )
        sums = self._hub.serve(layout, status, excluded)
        if sums is not None:
            self._apply_sums(sums)

    def _follow_hubs(self, as_of: Revision) -> None:
        """Request the store's changes after a revision from hubs."""
        now = self._loop.time()
        if now - self._follow_sent_at < FOLLOW_INTERVAL_S:
            return
        self._follow_sent_at = now
        layout = self.layout()
        excluded = self._excluded_hubs()
        hubs = layout.hubs(layout.group, excluded)
        if self.name in hubs and not self._is_cut_off():
            self.hub_monitor.expect(())
            return
        near = tuple(name for name in hubs if name != self.name)
        far = layout.remote_hub(self.name, excluded)
        asked = (*near, far) if far else near
        self.hub_monitor.expect(asked)
        for name in asked:
            self.send(name, Follow(as_of))

    def _apply_sums(self, sums: Sums) -> None:
        for name in self.roster.update(sums):
            self._on_lost(name)
            logger.bind(peer=name).warning("peer lost: not listed by hubs")
        self._on_sums(sums)

    def _candidates(self) -> set[str]:
        """Return the names of other entries that may be live."""
        if not self._is_large_fleet():
            return set(self._peers)
        if self.roster.is_fresh:
            return set(self.roster.accepting_work()) - {self.name}
        # No hub and no replacement is heard from: the network is partitioned.
        return set(self._peers)

    def _is_accepting_work(self, name: str) -> bool:
        peer = self._peers.get(name)
        return peer is None or not (peer.is_lost or peer.status.is_draining)

    def _silence_limit(self) -> float:
        """Return the seconds without a status after which a peer is lost."""
        if self._is_large_fleet():
            return LOST_AFTER_ROUNDS * HUB_STATUS_INTERVAL_S
        rounds = self._addresses.rounds
        return max(MIN_LOST_AFTER_S, LOST_AFTER_ROUNDS * rounds * STATUS_INTERVAL_S)

    def _expire_peers(self) -> None:
        now = self.run_clock()
        silence_limit = self._silence_limit()
        for name, peer in tuple(self._peers.items()):
            silent = now - peer.heard_at
            if silent > FORGET_AFTER_S or (
                silent > silence_limit and self._is_large_fleet()
            ):
                # In a large fleet most entries send this one no status, so silence does
                # not show a loss, and entries would disagree on which of them are live.
                del self._peers[name]
            elif silent > silence_limit and not peer.is_lost:
                peer.is_lost = True
                self._on_lost(name)
                logger.bind(peer=name).warning("peer lost: silent for {:.2f} s", silent)
        self._addresses.expire()
        self._pool.keep(f"tcp://{address}" for address in self._addresses)

    async def _handle_status(self, peer: str, status: Status, send: Send) -> None:
        known = self._peers.get(status.name)
        if known is None or known.is_lost:
            logger.bind(peer=status.name).info("peer found at {}", status.address)
        self._peers[status.name] = _Peer(status, self.run_clock())
        self.add_addresses((status.address,))
        self._addresses.add_unconfirmed(status.peers)
        is_large = self._is_large_fleet()
        self._on_status(status, not is_large)
        if is_large and status.group == self.layout().group:
            self._hub.record_status(status)

    async def _handle_group_sum(self, peer: str, message: GroupSum, send: Send) -> None:
        self._hub.record_group_sum(peer, message)
        self._on_crashes(peer, message.crashes)

    async def _handle_sums(self, peer: str, sums: Sums, send: Send) -> None:
        self.hub_monitor.record_message(peer)
        self._apply_sums(sums)
