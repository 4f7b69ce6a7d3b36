"""Where orders for pieces go: to the owner of the service, here or at a peer."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from loguru import logger
from msgspec.structs import replace

from lagoontide.errors import PeerError
from lagoontide.pieces.messages import FreeResults, Order, OrderDone, WithdrawOrder
from lagoontide.pieces.owner import Owner
from lagoontide.pieces.pools import pick_pool, pool_count, pool_members, pool_of
from lagoontide.pieces.records import Failure, PieceTargets
from lagoontide.routes.records import Service
from lagoontide.targets.choose import rank_of
from lagoontide.targets.directory import Directory
from lagoontide.targets.records import Target
from lagoontide.tasks import TaskSet
from lagoontide.wire.conn import Conn
from lagoontide.wire.router import Router
from lagoontide.wire.server import Send

__all__ = ["Desk", "Peers"]

# How often a waiting entry looks whether the owner is still there.
LOOK_S = 0.1
# What was made for an entry is kept this long after it fell silent: it may only be
# slow, or cut off from here and not from its targets.
FORGET_AFTER_S = 2.0


class Peers(Protocol):
    """The other entries, as far as pieces need them."""

    name: str

    def live(self) -> tuple[str, ...]:
        """Return the entries that take work, this one included."""

    def capacity(self, name: str) -> float:
        """Return the processor cores of an entry."""

    def suspect(self, name: str) -> None:
        """Take note that an entry did not answer."""

    def is_settling(self) -> bool:
        """Return whether it has just started and has yet to hear known entries."""

    def minority(self) -> tuple[int, int] | None:
        """Return this entry's place among all, if it hears only the fewer of them."""

    def is_lost(self, name: str) -> bool:
        """Return whether another entry is silent; one that leaves is not."""

    def conn(self, name: str) -> Conn | None:
        """Return the connection to another entry."""


class Desk:
    """Sends orders to owners, and is the owner of some services itself.

    Parameters
    ----------
    service_of : callable
        Returns a service of the configuration in force.
    """

    def __init__(
        self,
        peers: Peers,
        directory: Directory,
        calls: PieceTargets,
        service_of: Callable[[str], Service],
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._calls = calls
        self._service_of = service_of
        self._owners: dict[tuple[str, int], Owner] = {}
        self._is_leaving = False
        self._tasks = TaskSet()

    @property
    def owners(self) -> tuple[Owner, ...]:
        """The owners that live here."""
        return tuple(self._owners.values())

    def register(self, router: Router) -> None:
        """Take the messages of other entries."""
        router.register(Order, self._take_order)
        router.register(WithdrawOrder, self._take_withdrawal)
        router.register(FreeResults, self._take_freed)

    def owner_name(self, service: str, pool: int = 0) -> str:
        """Return the entry that owns a pool; entries agree without talking."""
        key = f"{service}/{pool}"
        return max(
            self._peers.live(),
            key=lambda name: rank_of(key, name, self._peers.capacity(name)),
        )

    def targets(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that take work."""
        return self._directory.ready(service)

    def domain_of(self, handle: str) -> str:
        """Return the failure domain in which a result lies, or an empty text."""
        target = self._directory.at_address(self._calls.maker_of(handle))
        return "" if target is None else target.failure_domain

    async def make(self, order: Order) -> OrderDone:
        """Have an order made, by another owner if the first is lost."""
        ends_at = asyncio.get_running_loop().time() + order.left
        while self._peers.is_settling():
            await asyncio.sleep(LOOK_S / 4)
        order = replace(
            order, pool=pick_pool(self.targets(order.service), order.request_id)
        )
        while True:
            name = self.owner_name(order.service, order.pool)
            done = await self._make_by(name, order)
            if done is not None and done.failure is not Failure.MOVED:
                return done
            if done is not None and name != self._peers.name:
                self._peers.suspect(name)
            await asyncio.sleep(LOOK_S / 2)
            if asyncio.get_running_loop().time() > ends_at:
                return OrderDone(failure=Failure.LATE)

    async def free(self, handles: tuple[str, ...]) -> None:
        """Give results up, at the owners of the targets where they lie."""
        by_pool: dict[tuple[str, int], list[str]] = {}
        for handle in handles:
            target = self._directory.at_address(self._calls.maker_of(handle))
            if target is not None:
                pools = pool_count(len(self.targets(target.service)))
                key = target.service, pool_of(target, pools)
                by_pool.setdefault(key, []).append(handle)
        for (service, pool), freed in by_pool.items():
            await self._free_at(service, pool, tuple(freed))

    async def _free_at(self, service: str, pool: int, handles: tuple[str, ...]) -> None:
        name = self.owner_name(service, pool)
        conn = None if name == self._peers.name else self._peers.conn(name)
        if conn is None:
            self._owner(service, pool).free(handles)
            return
        try:
            await conn.tell(FreeResults(service, pool, handles))
        except PeerError as exc:
            logger.bind(peer=name).info("results not freed: {}", exc)

    def hand_over(self) -> None:
        """Give back what is not begun, as this entry leaves, and take no more."""
        self._is_leaving = True
        for owner in self._owners.values():
            owner.hand_over()

    def forget_peer(self, peer: str) -> None:
        """Give up what was made for an entry, unless it is heard again soon."""
        self._tasks.start(self._forget_later(peer))

    def close(self) -> None:
        """Stop all owners."""
        self._tasks.cancel()
        for owner in self._owners.values():
            owner.close()

    async def _forget_later(self, peer: str) -> None:
        await asyncio.sleep(FORGET_AFTER_S)
        if self._peers.is_lost(peer):
            for owner in self._owners.values():
                owner.forget_peer(peer)

    def _owner(self, service: str, pool: int) -> Owner:
        owner = self._owners.get((service, pool))
        work = self._service_of(service).piece_work
        if owner is None or (work is not None and owner.work != work):
            if work is None:
                raise PeerError(f"{service!r} takes no pieces", step="pieces")
            if owner is not None:
                owner.work = work
                return owner
            owner = Owner(
                service,
                work,
                self._calls,
                lambda: self._own_part(service, pool),
                self._free_fetched,
            )
            self._owners[service, pool] = owner
            logger.info("owner of the stage targets of {}, pool {}", service, pool)
        return owner

    def _own_part(self, service: str, pool: int) -> tuple[Target, ...]:
        """Return the targets that the owner here may call.

        Entries that are cut off from each other each own the service; the fewer
        keep to their part of its targets.
        """
        targets = pool_members(self._directory.ready(service), pool)
        place = self._peers.minority()
        if place is None or not targets:
            return targets
        index, total = place
        part = tuple(
            target
            for number, target in enumerate(targets)
            if number % total == index % min(total, len(targets))
        )
        return part or targets

    def _free_fetched(self, handles: tuple[str, ...]) -> None:
        self._tasks.start(self.free(handles))

    async def _make_by(self, name: str, order: Order) -> OrderDone | None:
        """Return what an owner says, or None if it cannot be asked."""
        try:
            if name == self._peers.name:
                return await self._make_here(order)
            return await self._make_at(name, order)
        except PeerError as exc:
            logger.bind(request=order.request_id, peer=name).info("{}", exc)
            self._peers.suspect(name)
            return None

    async def _make_here(self, order: Order) -> OrderDone:
        owner = self._owner(order.service, order.pool)
        try:
            return await owner.submit(order, self._peers.name)
        except asyncio.CancelledError:
            owner.withdraw(order.request_id, order.stage)
            raise

    async def _make_at(self, name: str, order: Order) -> OrderDone | None:
        """Return what an owner says, or None if it is not the owner any more."""
        conn = self._peers.conn(name)
        if conn is None:
            raise PeerError("no connection", step="pieces", peer=name)
        with await conn.open(order) as exchange:
            reply = asyncio.ensure_future(exchange.next(order.left))
            try:
                while True:
                    await asyncio.wait({reply}, timeout=LOOK_S)
                    if reply.done():
                        done = reply.result()
                        return done if isinstance(done, OrderDone) else None
                    if self._peers.is_lost(name):
                        raise PeerError("owner lost", step="pieces", peer=name)
            except asyncio.CancelledError:
                await self._withdraw(conn, order)
                raise
            finally:
                reply.cancel()

    async def _withdraw(self, conn: Conn, order: Order) -> None:
        try:
            await conn.tell(
                WithdrawOrder(order.service, order.pool, order.request_id, order.stage)
            )
        except PeerError as exc:
            logger.bind(request=order.request_id).info("not withdrawn: {}", exc)

    async def _take_order(self, peer: str, message: Order, send: Send) -> None:
        if self._is_leaving and self._peers.name not in self._peers.live():
            await send(OrderDone(failure=Failure.MOVED))
            return
        try:
            done = await self._owner(message.service, message.pool).submit(
                message, peer
            )
        except PeerError as exc:
            # Without an answer the other entry would wait for its whole deadline.
            logger.bind(peer=peer, request=message.request_id).info("{}", exc)
            done = OrderDone(failure=Failure.MOVED)
        await send(done)

    async def _take_withdrawal(
        self, peer: str, message: WithdrawOrder, send: Send
    ) -> None:
        owner = self._owner(message.service, message.pool)
        owner.withdraw(message.request_id, message.stage)

    async def _take_freed(self, peer: str, message: FreeResults, send: Send) -> None:
        self._owner(message.service, message.pool).free(message.handles)
