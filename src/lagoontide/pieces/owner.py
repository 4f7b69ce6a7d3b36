"""The owner of a stage service's targets: all its calls are made here."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.pieces.batch import (
    Group,
    Pick,
    fill_batch,
    hold_for_near,
    rank_groups,
    wait_before_call,
)
from lagoontide.pieces.costs import CallCosts
from lagoontide.pieces.makers import Maker, Makers, Result
from lagoontide.pieces.messages import Order, OrderDone
from lagoontide.pieces.records import Failure, Piece, PieceResult, PieceTargets
from lagoontide.pieces.room import whole_groups
from lagoontide.pieces.upkeep import Upkeep
from lagoontide.pieces.watched import HEDGE_RATIO, make_watched
from lagoontide.routes.records import PieceWork
from lagoontide.targets.records import Target
from lagoontide.tasks import TaskSet

__all__ = ["Owner"]

MAX_ERRORS = 4
# A call at a free target fetches its inputs first (PROTOCOL, Stages).
FETCH_S = 0.1
# While targets say that they have no room, calls may have to be made again, and
# their inputs are kept until they end.
FULL_RECENTLY_S = 1.5
PROMPT_SLOWNESS = 1.25


@dataclass(slots=True, eq=False)
class _Waiting:
    group: Group
    done: asyncio.Future[OrderDone]


class Owner:
    """Makes pieces of one service in batches.

    Parameters
    ----------
    calls : PieceTargets
        The calls to targets.
    ready : callable
        Returns the targets that take work.
    on_fetched : callable
        Takes inputs that all their pieces have fetched.
    """

    def __init__(
        self,
        service: str,
        work: PieceWork,
        calls: PieceTargets,
        ready: Callable[[], tuple[Target, ...]],
        on_fetched: Callable[[tuple[str, ...]], None],
    ) -> None:
        self._on_fetched = on_fetched
        self.service = service
        self.work = work
        self.pieces_made = 0
        self.calls_made = 0
        self._calls = calls
        self._ready = ready
        self._loop = asyncio.get_running_loop()
        self._makers = Makers(self._loop.time)
        self._costs = CallCosts(work)
        self._orders: dict[tuple[str, int], _Waiting] = {}
        self._last_call_at = 0.0
        self._full_at = -FULL_RECENTLY_S
        self._timer: asyncio.TimerHandle | None = None
        self._tasks = TaskSet()
        self._upkeep = Upkeep(self._makers, calls, self._pump_soon)

    @property
    def waiting(self) -> int:
        """Pieces that are in no call."""
        return sum(len(item.group.waiting) for item in self._orders.values())

    def submit(self, order: Order, peer: str) -> asyncio.Future[OrderDone]:
        """Take an order; the future ends when all is made, or cannot be."""
        key = order.request_id, order.stage
        self.withdraw(*key)
        now = self._loop.time()
        group = Group(
            request_id=order.request_id,
            kind=order.kind,
            stage=order.stage,
            key=order.key,
            inputs=order.inputs,
            urgency=order.urgency,
            due_at=now + order.due,
            ends_at=now + order.left,
            result_bytes=order.result_bytes,
            waiting=list(range(order.count)),
            near=order.near,
            frees_inputs=order.frees_inputs,
            peer=peer,
            count=order.count,
        )
        done: asyncio.Future[OrderDone] = self._loop.create_future()
        self._orders[key] = _Waiting(group, done)
        self._pump_soon()
        return done

    def withdraw(self, request_id: str, stage: int) -> None:
        """Drop an order; results that it has are given up."""
        item = self._orders.pop((request_id, stage), None)
        if item is not None:
            self._end(item, OrderDone(failure=Failure.LATE))

    def free(self, handles: tuple[str, ...]) -> None:
        """Give results up."""
        self._upkeep.free(handles)

    def hand_over(self) -> None:
        """Give back the orders of which no piece is begun, to another owner."""
        for key, item in tuple(self._orders.items()):
            if not item.group.is_begun:
                del self._orders[key]
                self._end(item, OrderDone(failure=Failure.MOVED))

    def forget_peer(self, peer: str) -> None:
        """Give up the orders and results of an entry that is gone."""
        for key, item in tuple(self._orders.items()):
            if item.group.peer == peer:
                del self._orders[key]
                self._end(item, OrderDone(failure=Failure.LATE))
        self.free(
            tuple(
                handle
                for maker in self._makers.ready()
                for handle, result in maker.results.items()
                if result.peer == peer
            )
        )

    def close(self) -> None:
        """Stop all calls."""
        self._upkeep.close()
        self._tasks.cancel()
        for key in tuple(self._orders):
            self.withdraw(*key)
        if self._timer is not None:
            self._timer.cancel()

    def _pump_soon(self, wait: float = 0.0) -> None:
        at = self._loop.time() + wait
        if self._timer is not None:
            if self._timer.when() <= at and not self._timer.cancelled():
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(at, self._pump)

    def _pump(self) -> None:
        self._timer = None
        now = self._loop.time()
        self._drop_late(now)
        self._makers.update(self._ready())
        for maker in self._makers.ready():
            if not maker.is_asked:
                # An owner before this one may have left results there.
                self._upkeep.ask_room(maker, self.work)
        while self._orders:
            groups = [item.group for item in self._orders.values()]
            waiting = self.waiting
            free = self._makers.free(self.work.slots)
            if not waiting or not free:
                break
            duration = self._costs.predict(
                [group.kind for group in groups for _ in group.waiting][
                    : self.work.batch
                ]
            )
            rooms = [maker.room(self.work, now) for maker in self._makers.ready()]
            ranked = whole_groups(rank_groups(groups, now, duration), rooms)
            held = hold_for_near(
                ranked, self._makers.domains(self.work.batch), now, duration
            )
            wait = wait_before_call(
                now - self._last_call_at,
                waiting,
                self.work.batch,
                len(free),
                self._makers.count(),
                duration,
            )
            if not any(self._start(maker, ranked, held, wait > 0) for maker in free):
                if wait > 0:
                    self._pump_soon(wait)
                break
        if self._orders:
            # Rests end, results expire and targets come without an event.
            self._pump_soon(0.05)

    def _start(
        self, maker: Maker, ranked: list[Group], held: set[int], only_near: bool
    ) -> bool:
        """Start a call unless there is nothing that should go to this maker now."""
        now = self._loop.time()
        domain = maker.target.failure_domain
        eligible = [
            group
            for group in ranked
            if group.near == domain or (id(group) not in held and not only_near)
        ]
        if only_near and not any(group.near for group in eligible):
            return False
        picks = fill_batch(eligible, self.work.batch, maker.room(self.work, now))
        if not picks:
            return False
        for pick in picks:
            pick.group.waiting.remove(pick.number)
            maker.promised += pick.group.result_bytes
        maker.calls += 1
        maker.called_at = self._last_call_at = now
        self.calls_made += 1
        self.pieces_made += len(picks)
        self._tasks.start(self._call(maker, picks))
        return True

    async def _call(self, maker: Maker, picks: list[Pick]) -> None:
        kinds = [pick.group.kind for pick in picks]
        expected = self._costs.predict(kinds) * max(1.0, self._makers.usual_slowness())
        began = self._loop.time()
        maker.busy_until = began + expected * max(1.0, maker.slowness)
        self._loop.call_later(FETCH_S, self._note_fetched, maker, picks)
        try:
            results = await make_watched(
                self._calls,
                maker.target,
                tuple(_to_piece(pick, began) for pick in picks),
                expected,
                lambda: self._put_back(picks),
            )
        except (TargetUnreachable, TargetFailed) as exc:
            logger.bind(target=maker.target.id).info("{} pieces: {}", len(picks), exc)
            # A target that is only full is asked again soon.
            is_silent = isinstance(exc, TargetFailed) or exc.step == "connect"
            maker.rest(self._loop.time(), is_silent)
            self._put_back(picks)
        else:
            seconds = self._loop.time() - began
            logger.bind(
                target=maker.target.id,
                service=self.service,
                pieces=len(picks),
                requests=len({pick.group.request_id for pick in picks}),
                near=sum(
                    pick.group.near == maker.target.failure_domain for pick in picks
                ),
                far=sum(
                    pick.group.near not in ("", maker.target.failure_domain)
                    for pick in picks
                ),
                waiting=self.waiting,
                ms=round(seconds * 1000),
                expected_ms=round(expected * 1000),
            ).info("pieces made")
            maker.note_time(seconds / expected)
            if seconds < HEDGE_RATIO * expected:
                self._costs.learn(kinds, seconds)
            self._take(maker, picks, results)
        finally:
            maker.calls -= 1
            maker.promised -= sum(pick.group.result_bytes for pick in picks)
            self._pump_soon()

    def _take(
        self, maker: Maker, picks: list[Pick], results: tuple[PieceResult, ...]
    ) -> None:
        expires_at = self._loop.time() + self.work.kept_for
        for pick, result in zip(picks, results, strict=True):
            group = pick.group
            if result.handle:
                maker.results[result.handle] = Result(
                    group.result_bytes, expires_at, group.peer
                )
                if group.is_closed or pick.number in group.handles:
                    self.free((result.handle,))
                    continue
                group.handles[pick.number] = result.handle
                if pick.number in group.waiting:
                    group.waiting.remove(pick.number)
                self._finish(group)
            else:
                self._fail(maker, pick, result.failure or Failure.ERROR)

    def _fail(self, maker: Maker, pick: Pick, failure: Failure) -> None:
        group = pick.group
        match failure:
            case Failure.NO_ROOM:
                maker.rest(self._loop.time(), has_failed=False)
                self._full_at = self._loop.time()
                maker.note_full(self.work, self._full_at)
                self._put_back([pick])
            case Failure.ERROR if group.errors < MAX_ERRORS:
                group.errors += 1
                self._put_back([pick])
            case _:
                logger.bind(
                    request=group.request_id,
                    target=maker.target.id,
                    stage=group.stage,
                    inputs=group.inputs,
                    left=round(group.ends_at - self._loop.time(), 3),
                ).info("piece {} not made: {}", pick.number, failure)
                item = self._orders.pop((group.request_id, group.stage), None)
                if item is not None and item.group is group:
                    self._end(item, OrderDone(failure=failure))

    def _note_fetched(self, maker: Maker, picks: list[Pick]) -> None:
        """Give up inputs whose last pieces have been in a call for a while."""
        for group in {id(pick.group): pick.group for pick in picks}.values():
            is_safe = self._loop.time() - self._full_at > FULL_RECENTLY_S
            # Calls that take long may have to wait for their turn first.
            is_safe = is_safe and maker.slowness <= PROMPT_SLOWNESS
            is_safe = is_safe and maker.has_answered
            if is_safe and not group.waiting and not group.is_closed:
                self._free_inputs(group)

    def _free_inputs(self, group: Group) -> None:
        if group.frees_inputs:
            group.frees_inputs = False
            self._on_fetched(group.inputs)

    def _put_back(self, picks: list[Pick]) -> None:
        for pick in picks:
            group = pick.group
            is_open = not group.is_closed and pick.number not in group.handles
            if is_open and pick.number not in group.waiting:
                group.waiting.append(pick.number)
        self._pump_soon()

    def _finish(self, group: Group) -> None:
        if len(group.handles) < group.count:
            return
        item = self._orders.pop((group.request_id, group.stage), None)
        if item is None or item.group is not group:
            return
        self._free_inputs(group)
        group.is_closed = True
        handles = tuple(group.handles[number] for number in range(group.count))
        if not item.done.done():
            item.done.set_result(OrderDone(handles))

    def _end(self, item: _Waiting, done: OrderDone) -> None:
        item.group.is_closed = True
        if item.group.handles:
            self.free(tuple(item.group.handles.values()))
        if not item.done.done():
            item.done.set_result(done)

    def _drop_late(self, now: float) -> None:
        least = self.work.call_time
        for key, item in tuple(self._orders.items()):
            if now + (least if item.group.waiting else 0.0) > item.group.ends_at:
                del self._orders[key]
                self._end(item, OrderDone(failure=Failure.LATE))


def _to_piece(pick: Pick, now: float) -> Piece:
    group = pick.group
    return Piece(
        group.request_id,
        group.stage,
        pick.number,
        group.key,
        group.inputs,
        group.ends_at - now,
    )
