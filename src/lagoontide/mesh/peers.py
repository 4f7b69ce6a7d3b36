"""The other entries: who is there, and the connections to them."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from itertools import islice

import msgspec
from loguru import logger

from lagoontide.errors import PeerError
from lagoontide.mesh.hearing import Hearing
from lagoontide.mesh.hub import Hub
from lagoontide.mesh.layout import Layout, make_layout
from lagoontide.mesh.messages import Follow, GroupSum, Status, Sums
from lagoontide.mesh.register import EntryAddress
from lagoontide.mesh.roster import Roster
from lagoontide.wire.conn import Conn
from lagoontide.wire.pool import ConnPool
from lagoontide.wire.router import Router
from lagoontide.wire.server import Send

__all__ = ["Mesh"]

STATUS_EVERY_S = 0.1
# Statuses missed until a peer counts as lost, and gets no more work.
LOST_AFTER_S = 0.5
LOST_TURNS = 4
# Among many, statuses go to the hubs of a group, which tell the sums of all.
LARGE_EVERY_S = 0.25
# How often the store's changes are asked for anew.
FOLLOW_EVERY_S = 0.5
# Until it no longer counts as one of the entries that share a limit.
FORGOTTEN_AFTER_S = 20.0
# Entries that start together hear each other within this time.
SETTLE_S = 0.4
SETTLE_LARGE_S = 1.0
# Peers that one entry tells its status at a time, by turns; in a fleet of more than
# FULL_MESH entries it goes to hubs, so that what this costs does not grow.
MOST_TOLD = 12
FULL_MESH = 36
# An entry that did not answer gets no orders for this long.
SUSPECT_S = 2.0
# Cores of an entry that has not said how many it has.
USUAL_CAPACITY = 1.0


@dataclass(slots=True)
class _Peer:
    status: Status
    heard_at: float
    is_lost: bool = False


class Mesh:
    """See lagoontide.pieces.desk.Peers.

    Parameters
    ----------
    own : EntryAddress
        What the store says of this entry, or would say.
    connect : callable
        Returns a connection to an address.
    make_status : callable
        Returns this entry's status.
    on_status : callable
        Takes the status of a peer, and whether its work is to be counted; in a large
        fleet it is in the sums.
    on_lost : callable
        Takes the name of a peer that fell silent.
    on_sums : callable
        Takes what all others have, in a large fleet.
    registered : mapping
        The entries that the store names, kept up to date by whoever made it.
    is_cut_off : callable
        Returns whether this entry has not heard of the store for long.
    """

    def __init__(
        self,
        name: str,
        own: EntryAddress,
        connect: Callable[[str], Conn],
        make_status: Callable[[], Status],
        on_status: Callable[[Status, bool], None],
        on_lost: Callable[[str], None],
        on_sums: Callable[[Sums], None],
        registered: Mapping[str, EntryAddress],
        is_cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._on_lost = on_lost
        self.name = name
        self._own = own
        self.is_leaving = False
        self._pool = ConnPool(connect)
        self._make_status = make_status
        self._on_status = on_status
        self._on_sums = on_sums
        self._loop = asyncio.get_running_loop()
        self._peers: dict[str, _Peer] = {}
        self._known: dict[str, float] = {}
        self._turn = 0
        self._registered = registered
        self._is_cut_off = is_cut_off
        self._suspects: dict[str, float] = {}
        self._started_at = self._loop.time()
        self.roster = Roster(self._loop.time)
        self.hearing = Hearing(self._loop.time)
        self._hub = Hub(name, self.tell, self._loop.time)
        self._layout: tuple[int, Layout] = (0, Layout("", {}))
        self._followed_at = 0.0

    def register(self, router: Router) -> None:
        """Take the statuses of other entries."""
        router.register(Status, self._take_status)
        router.register(GroupSum, self._take_group)
        router.register(Sums, self._take_sums)

    def learn(self, addresses: Iterable[str]) -> None:
        """Take addresses at which entries may be."""
        now = self._loop.time()
        for address in addresses:
            self._known[address] = now

    def live(self) -> tuple[str, ...]:
        """Return the entries that take work, this one included."""
        now = self._loop.time()
        others = [
            name
            for name in self._candidates()
            if self._suspects.get(name, 0.0) <= now and self._takes_work(name)
        ]
        # An entry that leaves finishes its own work, and no longer others'.
        return tuple(others) if self.is_leaving and others else (self.name, *others)

    def is_settling(self) -> bool:
        """Return whether it has just started and has yet to hear known entries."""
        age = self._loop.time() - self._started_at
        if self._is_large():
            return age < SETTLE_LARGE_S and not self.roster.is_fresh
        if age > SETTLE_S:
            return False
        return len(self._known) > 1 + len(self._peers)

    def minority(self) -> tuple[int, int] | None:
        """Return this entry's place among all, if it hears only the fewer of them.

        The others do not hear it either; what cannot be shared between two that
        do not know of each other, it takes by its own part only.
        """
        if self._is_large():
            names = sorted({self.name, *self._registered})
            heard = len(self.roster) if self.roster.is_fresh else 1
            if 2 * heard < len(names):
                return names.index(self.name), len(names)
            return None
        names = sorted((self.name, *self._peers))
        heard = 1 + sum(not peer.is_lost for peer in self._peers.values())
        is_half = 2 * heard == len(names) and self.name != names[0]
        if 2 * heard < len(names) or is_half:
            return names.index(self.name), len(names)
        return None

    def is_lost(self, name: str) -> bool:
        """Return whether another entry is silent; one that leaves is not."""
        if self._is_large() and self.roster.is_fresh:
            return self.roster.get(name) is None
        peer = self._peers.get(name)
        if peer is None:
            return name not in self._registered
        return peer.is_lost

    def count(self) -> int:
        """Return how many entries there may be, the lost ones included."""
        return max(1 + len(self._peers), len(self._registered), len(self.roster))

    def scale(self) -> float:
        """Return by how much all entries are more than those heard, this one too."""
        if not self._is_large() or self.roster.is_fresh:
            return 1.0
        heard = 1 + sum(not peer.is_lost for peer in self._peers.values())
        return self.count() / heard

    def capacity(self, name: str) -> float:
        """Return the processor cores of an entry."""
        peer = self._peers.get(name)
        if name == self.name:
            return self._own.capacity
        if self._is_large() and (member := self.roster.get(name)) is not None:
            return member.capacity
        if peer is not None:
            return peer.status.capacity
        entry = self._registered.get(name)
        return USUAL_CAPACITY if entry is None else entry.capacity

    def suspect(self, name: str) -> None:
        """Take note that an entry did not answer."""
        self._suspects[name] = self._loop.time() + SUSPECT_S

    def conn(self, name: str) -> Conn | None:
        """Return the connection to another entry."""
        peer = self._peers.get(name)
        member = self.roster.get(name) if self._is_large() else None
        entry = peer.status if peer else member or self._registered.get(name)
        return None if entry is None else self._pool.get(f"tcp://{entry.address}")

    def addresses(self) -> tuple[str, ...]:
        """Return where the peers that are heard listen."""
        heard = (peer for peer in self._peers.values() if not peer.is_lost)
        return tuple(peer.status.address for peer in islice(heard, MOST_TOLD))

    async def run(self) -> None:
        """Tell peers of this entry for ever."""
        while True:
            self._look()
            status = self._make_status()
            self._follow(status.as_of)
            self._tell_status(status)
            is_large = self._is_large()
            await asyncio.sleep(LARGE_EVERY_S if is_large else STATUS_EVERY_S)

    def tell_all(self) -> None:
        """Tell peers of this entry now."""
        self._tell_status(self._make_status())

    def _tell_status(self, status: Status) -> None:
        if self._is_large():
            self._tell_hubs(status)
            return
        for address in self._told(status.address):
            self._tell_by(self._pool.get(f"tcp://{address}"), status)

    def tell(self, name: str, message: msgspec.Struct) -> None:
        """Send an entry a message, unless that would wait."""
        conn = self.conn(name)
        if conn is not None:
            self._tell_by(conn, message)

    def layout(self) -> Layout:
        """Return the groups of the fleet, as the store's list has them."""
        known = hash(frozenset(self._registered))
        if self._layout[0] != known:
            self._layout = known, make_layout(self.name, self._own, self._registered)
        return self._layout[1]

    @property
    def is_hub(self) -> bool:
        """Whether this entry is to follow the store for others, too."""
        layout = self.layout()
        return self.name in layout.hubs(layout.group, self._passed_over())

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _is_large(self) -> bool:
        return len(self._registered) > FULL_MESH

    def _tell_by(self, conn: Conn, message: msgspec.Struct) -> None:
        try:
            conn.tell_now(message)
        except PeerError:
            return  # Its silence is logged once it counts as lost.

    def _passed_over(self) -> set[str]:
        """Return the entries that are no hubs for now."""
        # Others do not take an entry for a hub that the store does not name.
        own = set() if self.name in self._registered else {self.name}
        return self.hearing.silent() | self.roster.leaving() | own

    def _tell_hubs(self, status: Status) -> None:
        """Tell the hubs of this entry's group, and do a hub's duties."""
        layout = self.layout()
        passed_over = self._passed_over()
        hubs = layout.hubs(layout.group, passed_over)
        others = [name for name in hubs if name != self.name]
        # A hub sums up by itself; what others tell it would be the same.
        wants_sums = self.name not in hubs
        for place, name in enumerate(others):
            self.tell(
                name,
                msgspec.structs.replace(
                    status,
                    group=layout.group,
                    digest=self.roster.digest,
                    wants_sums=wants_sums and place == 0,
                ),
            )
        sums = self._hub.serve(layout, status, passed_over)
        if sums is not None:
            self._note_sums(sums)

    def _follow(self, as_of: int) -> None:
        """Ask hubs for the store's changes after a revision."""
        now = self._loop.time()
        if now - self._followed_at < FOLLOW_EVERY_S:
            return
        self._followed_at = now
        layout = self.layout()
        passed_over = self._passed_over()
        hubs = layout.hubs(layout.group, passed_over)
        if self.name in hubs and not self._is_cut_off():
            self.hearing.ask(())
            return
        near = tuple(name for name in hubs if name != self.name)
        far = layout.far_hub(self.name, passed_over)
        asked = (*near, far) if far else near
        self.hearing.ask(asked)
        for name in asked:
            self.tell(name, Follow(as_of))

    def _note_sums(self, sums: Sums) -> None:
        for name in self.roster.take(sums):
            self._on_lost(name)
            logger.bind(peer=name).warning("peer lost: hubs do not hear it")
        self._on_sums(sums)

    def _candidates(self) -> set[str]:
        """Return the other entries that may be there."""
        if not self._is_large():
            return set(self._peers)
        if self.roster.is_fresh:
            return set(self.roster.working()) - {self.name}
        # No hub is heard, nor any that could take its place: a cut.
        return set(self._peers)

    def _takes_work(self, name: str) -> bool:
        peer = self._peers.get(name)
        return peer is None or not (peer.is_lost or peer.status.is_leaving)

    def _told(self, own: str) -> list[str]:
        """Return the addresses that are told this entry's status now."""
        addresses = sorted(self._known.keys() - {own})
        if len(addresses) <= MOST_TOLD:
            return addresses
        self._turn += MOST_TOLD
        begin = self._turn % len(addresses)
        return (addresses + addresses)[begin : begin + MOST_TOLD]

    def _lost_after(self) -> float:
        """Return the silence after which a peer counts as lost."""
        if self._is_large():
            return LOST_TURNS * LARGE_EVERY_S
        turns = -(-len(self._known) // MOST_TOLD)
        return max(LOST_AFTER_S, LOST_TURNS * turns * STATUS_EVERY_S)

    def _look(self) -> None:
        now = self._loop.time()
        lost_after = self._lost_after()
        for name, peer in tuple(self._peers.items()):
            silent = now - peer.heard_at
            if silent > FORGOTTEN_AFTER_S or (silent > lost_after and self._is_large()):
                # Among many an entry is not told by most others: their silence says
                # nothing, and entries would not agree on who is there.
                del self._peers[name]
            elif silent > lost_after and not peer.is_lost:
                peer.is_lost = True
                self._on_lost(name)
                logger.bind(peer=name).warning("peer lost: silent for {:.2f} s", silent)
        for address, learnt_at in tuple(self._known.items()):
            if now - learnt_at > FORGOTTEN_AFTER_S:
                del self._known[address]
        self._pool.keep(f"tcp://{address}" for address in self._known)

    async def _take_status(self, peer: str, status: Status, send: Send) -> None:
        now = self._loop.time()
        known = self._peers.get(status.name)
        if known is None or known.is_lost:
            logger.bind(peer=status.name).info("peer heard at {}", status.address)
        self._peers[status.name] = _Peer(status, now)
        self.learn((status.address,))
        for address in status.peers:
            self._known.setdefault(address, now)
        is_large = self._is_large()
        self._on_status(status, not is_large)
        if is_large and status.group == self.layout().group:
            self._hub.take_status(status)

    async def _take_group(self, peer: str, message: GroupSum, send: Send) -> None:
        self._hub.take_group(peer, message)

    async def _take_sums(self, peer: str, sums: Sums, send: Send) -> None:
        self.hearing.hear(peer)
        self._note_sums(sums)
