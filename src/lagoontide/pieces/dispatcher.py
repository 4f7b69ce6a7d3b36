"""Dispatch of orders for pieces to the owner of the shard, here or at a peer."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from loguru import logger
from msgspec.structs import replace

from lagoontide.errors import PeerError
from lagoontide.pieces.messages import FreeResults, Order, OrderDone, WithdrawOrder
from lagoontide.pieces.owner import ShardOwner
from lagoontide.pieces.records import Failure, PieceClient
from lagoontide.pieces.shards import pick_shard, shard_count, shard_members, shard_of
from lagoontide.routes.records import Service
from lagoontide.targets.choose import weighted_rendezvous_score
from lagoontide.targets.directory import Directory
from lagoontide.targets.rate_shares import RateShares
from lagoontide.targets.records import Target
from lagoontide.tasks import TaskSet
from lagoontide.timers import RunClock
from lagoontide.wire.conn import Conn
from lagoontide.wire.router import Router
from lagoontide.wire.server import Send

__all__ = ["OrderDispatcher", "Peers"]

# Interval at which an entry checks that the owner of a pending order is alive.
OWNER_CHECK_S = 0.1
# Orders and results of an entry are kept for this long after contact with it is lost:
# it may only be slow, or cut off from this entry but not from its targets.
FORGET_PEER_DELAY_S = 2.0


class Peers(Protocol):
    """Membership of entries, as far as pieces depend on it."""

    name: str

    def live(self) -> tuple[str, ...]:
        """Return the entries that accept work, this one included."""

    def capacity(self, name: str) -> float:
        """Return the capacity of an entry in processor cores."""

    def suspect(self, name: str) -> None:
        """Record that an entry did not answer."""

    def is_settling(self) -> bool:
        """Return whether this entry has just started and not yet heard its peers."""

    def minority_position(self) -> tuple[int, int] | None:
        """Return this entry's index among all entries, and their number.

        None unless this entry hears only a minority of them.
        """

    def is_lost(self, name: str) -> bool:
        """Return whether contact with another entry is lost; false if it is leaving."""

    def conn(self, name: str) -> Conn | None:
        """Return the connection to another entry."""


class OrderDispatcher:
    """Sends orders to the owners of shards, and hosts the owners of some.

    Parameters
    ----------
    service_of : callable
        Returns a service of the current configuration.
    rate_shares : RateShares
        Calls that the rate limits of stage targets admit.
    run_clock : RunClock, optional
        Times the calls.
    """

    def __init__(
        self,
        peers: Peers,
        directory: Directory,
        client: PieceClient,
        service_of: Callable[[str], Service],
        rate_shares: RateShares,
        run_clock: RunClock | None = None,
    ) -> None:
        self._rate_shares = rate_shares
        self._run_clock = run_clock
        self._peers = peers
        self._directory = directory
        self._client = client
        self._service_of = service_of
        self._owners: dict[tuple[str, int], ShardOwner] = {}
        self._is_leaving = False
        self._tasks = TaskSet()

    @property
    def owners(self) -> tuple[ShardOwner, ...]:
        """The owners that this entry hosts."""
        return tuple(self._owners.values())

    def register(self, router: Router) -> None:
        """Register the handlers of messages from other entries."""
        router.register(Order, self._handle_order)
        router.register(WithdrawOrder, self._handle_withdrawal)
        router.register(FreeResults, self._handle_free_results)

    def owner_name(self, service: str, shard: int = 0) -> str:
        """Return the entry that owns a shard.

        It is chosen by hash, so that entries agree without communication.
        """
        key = f"{service}/{shard}"
        return max(
            self._peers.live(),
            key=lambda name: weighted_rendezvous_score(
                key, name, self._peers.capacity(name)
            ),
        )

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that accept work."""
        return self._directory.ready(service)

    def target_equivalents(self, service: str) -> float:
        """Return how many targets without a rate limit would do as much work.

        A target whose limit is due to be confirmed counts in full: its limit may have
        ended, which only a call can show. One that pauses does not count.
        """
        settings = self._service_of(service).piece_settings
        targets = self._without_pausing(service)
        if settings is None:
            return len(targets)
        call = settings.call_time + settings.batch * settings.piece_time
        shares = self._rate_shares
        rates = (
            None if shares.is_due(target) else shares.limits.rate_of(target)
            for target in targets
        )
        return sum(
            1.0 if rate is None else min(1.0, rate * call / max(1, settings.slots))
            for rate in rates
        )

    def _without_pausing(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service, without those that pause for their owner.

        Pauses are known of targets that this entry calls. If all pause, all are
        returned: the owner rejects orders with the time to the earliest end.
        """
        targets = self.targets(service)
        pauses = self._rate_shares.limits.pauses
        if pauses.is_empty:
            return targets
        shards = shard_count(len(targets))
        own = {
            shard
            for shard in range(shards)
            if self.owner_name(service, shard) == self._peers.name
        }
        awake = tuple(
            target
            for target in targets
            if not pauses.left(target) or shard_of(target, shards) not in own
        )
        return awake or targets

    def domain_of(self, handle: str) -> str:
        """Return the failure domain of a result; empty if its target is unknown."""
        target = self._directory.at_address(self._client.address_of(handle))
        return "" if target is None else target.failure_domain

    async def make(self, order: Order) -> OrderDone:
        """Execute an order, at another owner if the first is lost."""
        deadline = asyncio.get_running_loop().time() + order.left
        while self._peers.is_settling():
            await asyncio.sleep(OWNER_CHECK_S / 4)
        order = replace(
            order, shard=pick_shard(self.targets(order.service), order.request_id)
        )
        while True:
            name = self.owner_name(order.service, order.shard)
            done = await self._make_via(name, order)
            if done is not None and done.failure is not Failure.NOT_OWNER:
                return done
            if done is not None and name != self._peers.name:
                self._peers.suspect(name)
            await asyncio.sleep(OWNER_CHECK_S / 2)
            if asyncio.get_running_loop().time() > deadline:
                return OrderDone(failure=Failure.DEADLINE_EXCEEDED)

    async def free(self, handles: tuple[str, ...]) -> None:
        """Free results through the owners of the targets that store them."""
        by_shard: dict[tuple[str, int], list[str]] = {}
        for handle in handles:
            target = self._directory.at_address(self._client.address_of(handle))
            if target is not None:
                shards = shard_count(len(self.targets(target.service)))
                key = target.service, shard_of(target, shards)
                by_shard.setdefault(key, []).append(handle)
        for (service, shard), freed in by_shard.items():
            await self._free_in_shard(service, shard, tuple(freed))

    async def _free_in_shard(
        self, service: str, shard: int, handles: tuple[str, ...]
    ) -> None:
        name = self.owner_name(service, shard)
        conn = None if name == self._peers.name else self._peers.conn(name)
        if conn is None:
            self._get_owner(service, shard).free(handles)
            return
        try:
            await conn.tell(FreeResults(service, shard, handles))
        except PeerError as exc:
            logger.bind(peer=name).info("failed to free results: {}", exc)

    def hand_over(self) -> None:
        """Hand back the orders that are not started, and accept no more.

        Called when this entry leaves.
        """
        self._is_leaving = True
        for owner in self._owners.values():
            owner.hand_over()

    def forget_peer(self, peer: str) -> None:
        """Cancel the orders of a lost entry and free its results, unless it returns."""
        self._tasks.start(self._forget_after_delay(peer))

    def close(self) -> None:
        """Close all owners."""
        self._tasks.cancel()
        for owner in self._owners.values():
            owner.close()

    async def _forget_after_delay(self, peer: str) -> None:
        await asyncio.sleep(FORGET_PEER_DELAY_S)
        if self._peers.is_lost(peer):
            for owner in self._owners.values():
                owner.forget_peer(peer)

    def _get_owner(self, service: str, shard: int) -> ShardOwner:
        owner = self._owners.get((service, shard))
        settings = self._service_of(service).piece_settings
        if owner is None or (settings is not None and owner.cfg != settings):
            if settings is None:
                raise PeerError(
                    f"service {service!r} is not configured for pieces", step="pieces"
                )
            if owner is not None:
                owner.cfg = settings
                return owner
            owner = ShardOwner(
                service,
                settings,
                self._client,
                lambda: self._callable_targets(service, shard),
                self._free_fetched,
                self._rate_shares,
                self._run_clock,
            )
            self._owners[service, shard] = owner
            logger.info(
                "this entry owns the stage targets of {}, shard {}", service, shard
            )
        return owner

    def _callable_targets(self, service: str, shard: int) -> tuple[Target, ...]:
        """Return the targets that the owner in this entry may call.

        When the entries are partitioned, there is an owner of the same shard on each
        side. One in the minority uses only its part of the targets.
        """
        targets = shard_members(self._directory.ready(service), shard)
        place = self._peers.minority_position()
        if place is None or not targets:
            return targets
        index, total = place
        subset = tuple(
            target
            for number, target in enumerate(targets)
            if number % total == index % min(total, len(targets))
        )
        return subset or targets

    def _free_fetched(self, handles: tuple[str, ...]) -> None:
        self._tasks.start(self.free(handles))

    async def _make_via(self, name: str, order: Order) -> OrderDone | None:
        """Return the reply of an owner, or None if it cannot be reached."""
        try:
            if name == self._peers.name:
                return await self._make_locally(order)
            return await self._make_remotely(name, order)
        except PeerError as exc:
            logger.bind(request=order.request_id, peer=name).info(
                "order failed: {}", exc
            )
            self._peers.suspect(name)
            return None

    async def _make_locally(self, order: Order) -> OrderDone:
        owner = self._get_owner(order.service, order.shard)
        try:
            return await owner.submit(order, self._peers.name)
        except asyncio.CancelledError:
            owner.withdraw(order.request_id, order.stage)
            raise

    async def _make_remotely(self, name: str, order: Order) -> OrderDone | None:
        """Return the reply of an owner, or None if it is not a completion."""
        conn = self._peers.conn(name)
        if conn is None:
            raise PeerError("no connection", step="pieces", peer=name)
        with await conn.open(order) as exchange:
            reply = asyncio.ensure_future(exchange.next(order.left))
            try:
                while True:
                    await asyncio.wait({reply}, timeout=OWNER_CHECK_S)
                    if reply.done():
                        done = reply.result()
                        return done if isinstance(done, OrderDone) else None
                    if self._peers.is_lost(name):
                        raise PeerError(
                            "contact with the owner lost", step="pieces", peer=name
                        )
            except asyncio.CancelledError:
                await self._withdraw(conn, order)
                raise
            finally:
                reply.cancel()

    async def _withdraw(self, conn: Conn, order: Order) -> None:
        try:
            await conn.tell(
                WithdrawOrder(order.service, order.shard, order.request_id, order.stage)
            )
        except PeerError as exc:
            logger.bind(request=order.request_id).info(
                "failed to withdraw order: {}", exc
            )

    async def _handle_order(self, peer: str, message: Order, send: Send) -> None:
        if self._is_leaving and self._peers.name not in self._peers.live():
            await send(OrderDone(failure=Failure.NOT_OWNER))
            return
        try:
            done = await self._get_owner(message.service, message.shard).submit(
                message, peer
            )
        except PeerError as exc:
            # Without an answer the other entry would wait until its deadline.
            logger.bind(peer=peer, request=message.request_id).info(
                "order rejected: {}", exc
            )
            done = OrderDone(failure=Failure.NOT_OWNER)
        await send(done)

    async def _handle_withdrawal(
        self, peer: str, message: WithdrawOrder, send: Send
    ) -> None:
        owner = self._get_owner(message.service, message.shard)
        owner.withdraw(message.request_id, message.stage)

    async def _handle_free_results(
        self, peer: str, message: FreeResults, send: Send
    ) -> None:
        self._get_owner(message.service, message.shard).free(message.handles)
