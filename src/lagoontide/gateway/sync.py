"""Statuses between entries, and catching up from a peer without the store."""

import asyncio
from collections.abc import Callable

from loguru import logger
from msgspec.structs import replace

from lagoontide.errors import PeerError, PeerTimeout
from lagoontide.forward.call import World
from lagoontide.gateway.beliefs import BeliefSink
from lagoontide.mesh.feed import Feeders, Relay, steady_now
from lagoontide.mesh.messages import (
    AskBeliefs,
    Beliefs,
    Feed,
    Follow,
    Status,
    Sums,
)
from lagoontide.mesh.peers import Mesh
from lagoontide.pieces.demand import Demand
from lagoontide.store.follow import Follower
from lagoontide.tasks import TaskSet
from lagoontide.wire.router import Router
from lagoontide.wire.server import Send

__all__ = ["Sync"]

# Without word of the store for this long a peer that knows more is asked; and so
# is one whose configuration has been newer for a while.
STORE_SILENT_S = 2.4
BEHIND_S = 0.5
ASK_EVERY_S = 0.3
ASK_TIMEOUT_S = 1.0
# Under this name stand the sums of all other entries, as hubs tell them.
FLEET = "fleet"
# Prompts are read within 0.2 s and sums are twice as old: most of what they say of
# engines is over, and all entries see the same. The rest is worth so much.
SUMS_WEIGHT = 0.2


class Sync:
    """Keeps an entry's beliefs up with its peers'.

    Parameters
    ----------
    clock : callable
        Returns seconds that go on while the instance is suspended.
    """

    def __init__(
        self,
        world: World,
        sink: BeliefSink,
        follower: Follower,
        demand: Demand,
        address: str,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self._demand = demand
        self.mesh: Mesh | None = None
        self._world = world
        self._sink = sink
        self._follower = follower
        self._address = address
        self._loop = asyncio.get_running_loop()
        self.relay = Relay(self._tell, clock)
        self.feeders = Feeders(
            follower.take, lambda: follower.as_of, self._note_feeders, clock
        )
        self._asked_at = 0.0
        self._behind_since: float | None = None
        self._tasks = TaskSet()

    def register(self, router: Router) -> None:
        """Answer the questions of other entries."""
        router.register(AskBeliefs, self._answer)
        router.register(Follow, self._take_follow)
        router.register(Feed, self._take_feed)

    def is_fed(self) -> bool:
        """Return whether hubs tell of the store, and none takes this entry for one."""
        if self.mesh is None or self.mesh.is_hub or self.relay.has_followers:
            return False
        return self.feeders.is_fed()

    def is_cut_off(self) -> bool:
        """Return whether the store has not been heard, by whatever way."""
        return self._loop.time() - self._follower.heard_at > STORE_SILENT_S

    def make_status(self) -> Status:
        """Return this entry's status."""
        assert self.mesh is not None
        return Status(
            name=self.mesh.name,
            address=self._address,
            # Without a configuration it can own nothing either.
            capacity=self.mesh.capacity(self.mesh.name),
            is_leaving=self.mesh.is_leaving or self._world.book is None,
            plan_revision=self._sink.plan_revision,
            as_of=self._follower.as_of,
            loads=self._world.loads.own(),
            streams=self._world.streams.own(),
            left=self._world.directory.recently_left(),
            peers=self.mesh.addresses(),
            needs=self._demand.own(),
        )

    def take_status(self, status: Status, counts: bool) -> None:
        """Believe what a peer says of itself, and ask it for what is new.

        Parameters
        ----------
        counts : bool
            Whether its work is not in the sums of hubs.
        """
        if counts:
            self._take_work(status.name, status)
        self._world.directory.note_left(status.left, status.name)
        is_down = self._is_down() or self._is_behind(status)
        self._ask_if(is_down and status.as_of > self._follower.as_of, status.name)

    def take_sums(self, sums: Sums) -> None:
        """Believe what hubs say of all other entries."""
        unread = {name: SUMS_WEIGHT * load for name, load in sums.loads.items()}
        self._take_work(FLEET, replace(sums, loads=unread))
        self._world.directory.note_left(sums.left, FLEET)

    def _take_work(self, name: str, told: Status | Sums) -> None:
        self._world.loads.take(name, told.loads)
        self._world.streams.take(name, told.streams)
        self._demand.take(name, told.needs)

    def _is_down(self) -> bool:
        return not self._follower.is_up or self.is_cut_off()

    def _ask_if(self, is_needed: bool, peer: str) -> None:
        now = self._loop.time()
        if is_needed and now - self._asked_at > ASK_EVERY_S:
            self._asked_at = now
            self._tasks.start(self._ask(peer))

    def _tell(self, name: str, message: Feed) -> None:
        if self.mesh is not None:
            self.mesh.tell(name, message)

    def _note_feeders(self, feeders: Feeders) -> None:
        self._follower.note_fed(feeders.heard_ago(), feeders.up_for())

    async def _take_follow(self, peer: str, message: Follow, send: Send) -> None:
        self.relay.follow(peer, message.as_of)

    async def _take_feed(self, peer: str, feed: Feed, send: Send) -> None:
        assert self.mesh is not None
        self.mesh.hearing.hear(peer)
        self.feeders.take(peer, feed)
        # The store is asked for what is missing, unless it does not answer.
        self._ask_if(self._is_down() and feed.as_of > self._follower.as_of, peer)

    def _is_behind(self, status: Status) -> bool:
        """Return whether peers have had a newer configuration for a while."""
        now = self._loop.time()
        if status.plan_revision <= self._sink.plan_revision:
            if status.plan_revision == self._sink.plan_revision:
                self._behind_since = None
            return False
        if self._behind_since is None:
            self._behind_since = now
        return now - self._behind_since > BEHIND_S

    async def _ask(self, name: str) -> None:
        assert self.mesh is not None
        conn = self.mesh.conn(name)
        if conn is None:
            return
        try:
            beliefs = await conn.ask(AskBeliefs(self._follower.as_of), ASK_TIMEOUT_S)
        except (PeerError, PeerTimeout) as exc:
            logger.bind(peer=name).info("beliefs not had: {}", exc)
            return
        if not isinstance(beliefs, Beliefs) or beliefs.as_of <= self._follower.as_of:
            return
        self._sink.adopt(name, beliefs)
        self._follower.catch_up(beliefs.as_of)
        logger.bind(peer=name).info(
            "caught up from a peer at revision {} without the store", beliefs.as_of
        )

    async def _answer(self, peer: str, message: AskBeliefs, send: Send) -> None:
        await send(
            Beliefs(
                as_of=self._follower.as_of,
                plan_revision=self._sink.plan_revision,
                plan=self._sink.plan_value,
                targets=self._world.directory.all(),
                entries=self._sink.entries,
                kept=self._world.directory.kept(),
                kept_entries=self._sink.kept_entries(),
            )
        )
