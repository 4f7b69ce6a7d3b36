"""Owner of a shard of stage targets, which makes all calls to them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

from loguru import logger

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.pieces.batch import (
    BatchItem,
    PieceGroup,
    batching_delay,
    fill_batch,
    make_group,
    rank_groups,
    select_held_groups,
    to_piece,
)
from lagoontide.pieces.call_log import log_call
from lagoontide.pieces.costs import CallCosts
from lagoontide.pieces.crash_isolation import CrashIsolation
from lagoontide.pieces.hedging import HEDGE_RATIO, make_hedged
from lagoontide.pieces.messages import Order, OrderDone
from lagoontide.pieces.records import Failure, PieceClient, PieceResult
from lagoontide.pieces.result_memory import ResultMemory
from lagoontide.pieces.room import select_fitting_groups
from lagoontide.pieces.target_tracker import StoredResult, TargetTracker, TrackedTarget
from lagoontide.routes.records import PieceSettings
from lagoontide.targets.rate_shares import RateShares
from lagoontide.targets.records import Target
from lagoontide.tasks import TaskSet
from lagoontide.timers import RunClock, Stopwatch

__all__ = ["ShardOwner"]

# Errors of a group's pieces that are retried; the next error fails the order.
MAX_GROUP_ERRORS = 4
# Time in which a call at a free target fetches its inputs first (PROTOCOL, Stages).
INPUT_FETCH_S = 0.1
# For this long after a target reported full memory, calls may have to be repeated, so
# inputs are kept until the calls end.
RECENTLY_FULL_S = 1.5
# Calls to a slower target may have to wait before they fetch their inputs.
MAX_EARLY_FREE_SLOWNESS = 1.25


@dataclass(slots=True, eq=False)
class _PendingOrder:
    group: PieceGroup
    done: asyncio.Future[OrderDone]


class ShardOwner:
    """Makes the pieces of a shard of a service in batches.

    Parameters
    ----------
    client : PieceClient
        Client for calls to targets.
    ready : callable
        Returns the targets that accept work.
    on_fetched : callable
        Called with inputs that all of their pieces have fetched.
    rate_shares : RateShares
        Calls that the rate limits of targets admit.
    """

    def __init__(
        self,
        service: str,
        settings: PieceSettings,
        client: PieceClient,
        ready: Callable[[], tuple[Target, ...]],
        on_fetched: Callable[[tuple[str, ...]], None],
        rate_shares: RateShares,
        run_clock: RunClock | None = None,
    ) -> None:
        self._on_fetched = on_fetched
        self.service = service
        self.cfg = settings
        self.pieces_made = 0
        self.calls_made = 0
        self._client = client
        self._ready = ready
        self._loop = asyncio.get_running_loop()
        self._run_clock = run_clock or RunClock()
        self._tracker = TargetTracker(self._loop.time, rate_shares)
        self._costs = CallCosts(settings)
        self._isolation = CrashIsolation(self._loop.time)
        self._orders: dict[tuple[str, int], _PendingOrder] = {}
        self._last_call_at = 0.0
        self._last_full_at = -RECENTLY_FULL_S
        self._timer: asyncio.TimerHandle | None = None
        self._tasks = TaskSet()
        self._result_memory = ResultMemory(self._tracker, client, self._wake_scheduler)

    @property
    def waiting(self) -> int:
        """Number of pieces that wait for a call."""
        return sum(len(pending.group.waiting) for pending in self._orders.values())

    def submit(self, order: Order, peer: str) -> asyncio.Future[OrderDone]:
        """Add or replace an order; the future completes when it is made or fails."""
        key = order.request_id, order.stage
        self.withdraw(*key)
        group = make_group(order, peer, self._loop.time())
        done: asyncio.Future[OrderDone] = self._loop.create_future()
        self._orders[key] = _PendingOrder(group, done)
        self._wake_scheduler()
        return done

    def withdraw(self, request_id: str, stage: int) -> None:
        """Cancel an order and free the results that it has so far."""
        pending = self._orders.pop((request_id, stage), None)
        if pending is not None:
            self._close_order(pending, OrderDone(failure=Failure.DEADLINE_EXCEEDED))

    def free(self, handles: tuple[str, ...]) -> None:
        """Free results."""
        self._result_memory.free(handles)

    def hand_over(self) -> None:
        """Hand back the orders that are not started, for another owner to take."""
        for key, pending in tuple(self._orders.items()):
            if not pending.group.is_started:
                del self._orders[key]
                self._close_order(pending, OrderDone(failure=Failure.NOT_OWNER))

    def forget_peer(self, peer: str) -> None:
        """Cancel the orders of an entry that is gone, and free its results."""
        for key, pending in tuple(self._orders.items()):
            if pending.group.peer == peer:
                del self._orders[key]
                self._close_order(pending, OrderDone(failure=Failure.DEADLINE_EXCEEDED))
        self.free(
            tuple(
                handle
                for tracked in self._tracker.ready()
                for handle, result in tracked.results.items()
                if result.peer == peer
            )
        )

    def close(self) -> None:
        """Cancel all calls and orders."""
        self._result_memory.close()
        self._tasks.cancel()
        for key in tuple(self._orders):
            self.withdraw(*key)
        if self._timer is not None:
            self._timer.cancel()

    def _wake_scheduler(self, wait: float = 0.0) -> None:
        at = self._loop.time() + wait
        if self._timer is not None:
            if self._timer.when() <= at and not self._timer.cancelled():
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(at, self._schedule_calls)

    def _schedule_calls(self) -> None:
        self._timer = None
        now = self._loop.time()
        self._reject_quarantined()
        self._expire_orders(now)
        self._tracker.update(self._ready())
        for tracked in self._tracker.ready():
            if not (tracked.is_memory_queried or self._tracker.pause_left(tracked)):
                # A previous owner may have left results there.
                self._result_memory.query_free_memory(tracked, self.cfg)
        if (left := self._tracker.all_paused_for()) > 0.0:
            self._reject_waiting(left)
        while self._orders:
            groups = [pending.group for pending in self._orders.values()]
            waiting = self.waiting
            free = self._tracker.free(self.cfg.slots)
            if not waiting or not free:
                break
            duration = self._costs.predict(
                [group.kind for group in groups for _ in group.waiting][
                    : self.cfg.batch
                ]
            )
            memory = [item.free_bytes(self.cfg, now) for item in self._tracker.ready()]
            ranked = select_fitting_groups(rank_groups(groups, now, duration), memory)
            held = select_held_groups(
                ranked, self._tracker.domain_capacities(self.cfg.batch), now, duration
            )
            wait = batching_delay(
                now - self._last_call_at,
                waiting,
                self.cfg.batch,
                len(free),
                self._tracker.count(),
                duration,
            )
            if not any(
                self._start_call(tracked, ranked, held, wait > 0) for tracked in free
            ):
                if wait > 0:
                    self._wake_scheduler(wait)
                break
        if self._orders:
            # Back-off ends, results expire and targets appear without an event.
            self._wake_scheduler(0.05)

    def _start_call(
        self,
        tracked: TrackedTarget,
        ranked: list[PieceGroup],
        held: set[int],
        only_near: bool,
    ) -> bool:
        """Start a call and return True if there are pieces for the target now."""
        now = self._loop.time()
        domain = tracked.target.failure_domain
        eligible = [
            group
            for group in ranked
            if group.near == domain or (id(group) not in held and not only_near)
        ]
        if only_near and not any(group.near for group in eligible):
            return False
        batch = fill_batch(
            self._isolation.select(eligible),
            self.cfg.batch,
            tracked.free_bytes(self.cfg, now),
        )
        if not batch:
            return False
        for item in batch:
            item.group.waiting.remove(item.number)
            tracked.reserved_bytes += item.group.result_bytes
        self._tracker.rate_shares.charge(tracked.target)
        tracked.calls += 1
        tracked.last_call_at = self._last_call_at = now
        self.calls_made += 1
        self.pieces_made += len(batch)
        self._tasks.start(self._run_call(tracked, batch))
        return True

    async def _run_call(self, tracked: TrackedTarget, batch: list[BatchItem]) -> None:
        kinds = [item.group.kind for item in batch]
        groups = list({id(item.group): item.group for item in batch}.values())
        self._isolation.begin(groups)
        expected = self._costs.predict(kinds) * max(
            1.0, self._tracker.median_slowness()
        )
        started_at, watch = self._loop.time(), Stopwatch(self._run_clock)
        tracked.busy_until = started_at + expected * max(1.0, tracked.slowness)
        self._loop.call_later(INPUT_FETCH_S, self._free_fetched, tracked, batch)
        try:
            results = await make_hedged(
                self._client,
                tracked.target,
                tuple(to_piece(item, started_at) for item in batch),
                expected,
                lambda: self._requeue(batch),
            )
        except (TargetUnreachable, TargetFailed) as exc:
            logger.bind(target=tracked.target.id).info(
                "call with {} pieces failed: {}", len(batch), exc
            )
            is_broken = isinstance(exc, TargetFailed)
            # A target that is merely full is retried soon.
            tracked.back_off(self._loop.time(), is_broken or exc.step == "connect")
            if is_broken and await self._client.has_ended(tracked.target):
                self._isolation.record_crash(tracked.target.id, groups)
            self._requeue(batch)
        else:
            seconds = self._loop.time() - started_at
            log_call(
                tracked.target, self.service, batch, self.waiting, seconds, expected
            )
            self._isolation.record_success(groups)
            tracked.observe_duration(watch.seconds(), expected)
            if seconds < HEDGE_RATIO * expected:
                self._costs.observe(kinds, seconds)
            self._record_results(tracked, batch, results)
        finally:
            self._isolation.end(groups)
            tracked.calls -= 1
            tracked.reserved_bytes -= sum(item.group.result_bytes for item in batch)
            self._wake_scheduler()

    def _record_results(
        self,
        tracked: TrackedTarget,
        batch: list[BatchItem],
        results: tuple[PieceResult, ...],
    ) -> None:
        expires_at = self._loop.time() + self.cfg.result_ttl
        for item, result in zip(batch, results, strict=True):
            group = item.group
            if result.handle:
                tracked.results[result.handle] = StoredResult(
                    group.result_bytes, expires_at, group.peer
                )
                if group.is_closed or item.number in group.handles:
                    self.free((result.handle,))
                    continue
                group.handles[item.number] = result.handle
                if item.number in group.waiting:
                    group.waiting.remove(item.number)
                self._complete_if_done(group)
            else:
                self._handle_failure(tracked, item, result.failure or Failure.ERROR)

    def _handle_failure(
        self, tracked: TrackedTarget, item: BatchItem, failure: Failure
    ) -> None:
        group = item.group
        match failure:
            case Failure.NO_ROOM:
                tracked.back_off(self._loop.time(), has_failed=False)
                self._last_full_at = self._loop.time()
                tracked.mark_full(self.cfg, self._last_full_at)
                self._requeue([item])
            case Failure.ERROR if group.errors < MAX_GROUP_ERRORS:
                group.errors += 1
                self._requeue([item])
            case _:
                logger.bind(
                    request=group.request_id,
                    target=tracked.target.id,
                    stage=group.stage,
                    inputs=group.inputs,
                    left=round(group.deadline - self._loop.time(), 3),
                ).info("piece {} not made: {}", item.number, failure)
                pending = self._orders.pop((group.request_id, group.stage), None)
                if pending is not None and pending.group is group:
                    self._close_order(pending, OrderDone(failure=failure))

    def _free_fetched(self, tracked: TrackedTarget, batch: list[BatchItem]) -> None:
        """Free inputs that a call had time to fetch, unless other pieces need them."""
        for group in {id(item.group): item.group for item in batch}.values():
            is_safe = self._loop.time() - self._last_full_at > RECENTLY_FULL_S
            # Calls to slow targets may still be queued there.
            is_safe = is_safe and tracked.slowness <= MAX_EARLY_FREE_SLOWNESS
            is_safe = is_safe and tracked.has_answered
            if is_safe and not group.waiting and not group.is_closed:
                self._free_inputs(group)

    def _free_inputs(self, group: PieceGroup) -> None:
        if group.frees_inputs:
            group.frees_inputs = False
            self._on_fetched(group.inputs)

    def _requeue(self, batch: list[BatchItem]) -> None:
        for item in batch:
            group = item.group
            is_open = not group.is_closed and item.number not in group.handles
            if is_open and item.number not in group.waiting:
                group.waiting.append(item.number)
        self._wake_scheduler()

    def _complete_if_done(self, group: PieceGroup) -> None:
        if len(group.handles) < group.count:
            return
        pending = self._orders.pop((group.request_id, group.stage), None)
        if pending is None or pending.group is not group:
            return
        self._free_inputs(group)
        group.is_closed = True
        handles = tuple(group.handles[number] for number in range(group.count))
        if not pending.done.done():
            pending.done.set_result(OrderDone(handles))

    def _close_order(self, pending: _PendingOrder, done: OrderDone) -> None:
        pending.group.is_closed = True
        if pending.group.handles:
            self.free(tuple(pending.group.handles.values()))
        if not pending.done.done():
            pending.done.set_result(done)

    def _reject_quarantined(self) -> None:
        for key, pending in tuple(self._orders.items()):
            if wait := self._isolation.wait(pending.group.crash_key):
                del self._orders[key]
                done = OrderDone(failure=Failure.QUARANTINED, retry_after=ceil(wait))
                self._close_order(pending, done)

    def _reject_waiting(self, retry_after: float) -> None:
        for key, pending in tuple(self._orders.items()):
            if pending.group.waiting:
                del self._orders[key]
                done = OrderDone(failure=Failure.NO_ROOM, retry_after=retry_after)
                self._close_order(pending, done)

    def _expire_orders(self, now: float) -> None:
        needed = self.cfg.call_time
        for key, pending in tuple(self._orders.items()):
            if (
                now + (needed if pending.group.waiting else 0.0)
                > pending.group.deadline
            ):
                del self._orders[key]
                self._close_order(pending, OrderDone(failure=Failure.DEADLINE_EXCEEDED))
