"""Keeps a local copy of all keys under a prefix, also across store outages."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from loguru import logger

from lagoontide.errors import StoreUnavailable
from lagoontide.store.pace import Pace
from lagoontide.store.revision_store import (
    Changes,
    ChangesUnavailable,
    KeyRevision,
    Listing,
    Revision,
    RevisionStore,
)

__all__ = ["Follower", "Sink"]

# A call that only asks for changes until now.
PROBE_WAIT_S = 0.01
# Changes in quick succession share a call after this pause.
WATCH_BATCH_PAUSE_S = 0.2
# Calls that are waited for at the same time; each ends by its own timeout.
MAX_CALLS = 8
# Loop time of what has not happened.
NEVER_S = -1e9
# Timers may fire early by less than this.
TIMER_RESOLUTION_S = 0.001
# How often a follower that receives relayed changes checks whether it still does.
RELAY_CHECK_INTERVAL_S = 0.1


class Sink(Protocol):
    """Receives the contents of the store."""

    def replace(self, listing: Listing) -> None:
        """Replace all contents by a listing; keys absent from it were deleted."""

    def apply(self, item: KeyRevision) -> None:
        """Apply one change."""


class ChangeRelay(Protocol):
    """Forwards changes and the store's status to other processes."""

    def reset_to(self, as_of: Revision) -> None:
        """Restart at a revision whose individual changes are not known here.

        The revision was reached by a listing of the store or through another process.
        """

    def append(self, items: Iterable[KeyRevision], as_of: Revision) -> None:
        """Forward the next changes, which are complete up to ``as_of``."""

    def record_response(self) -> None:
        """Record a response of the store."""


@dataclass(frozen=True, slots=True)
class _Call:
    """A call to the store in progress.

    Attributes
    ----------
    started_at, due_at : float
        Loop times of its start and from which on its answer is overdue.
    era : int
        Era of the store as known when it began.
    """

    task: "asyncio.Task[Listing | Changes]"
    started_at: float
    due_at: float
    era: int


class Follower:
    """Keeps a sink up to date with the keys under a prefix.

    It lists the store, then watches it unless other processes relay the changes. While
    an answer is overdue or the last call failed, it calls again at short intervals, on
    new connections and without waiting for the earlier calls.

    Parameters
    ----------
    pace : Pace, optional
        May be replaced at any time by setting the attribute of the same name.
    is_relayed : callable, optional
        Returns whether other processes relay the changes, so that the store need
        not be watched.

    Attributes
    ----------
    relay : ChangeRelay or None
        Receives every change and the store's status.
    as_of : Revision
        Revision of the sink's contents; the first one before a listing.
    is_up : bool
        Whether the store was available when last heard from, directly or by relay.
    down_since : float
        Loop time since which calls failed when the store last became unavailable.
    up_since : float
        Loop time of the end of the store's last outage, in which registrations may have
        lapsed. A call that fails or goes silent while the next is answered is none.
    last_response_at : float
        Loop time of the store's last response, to this process or as relayed.
    """

    def __init__(
        self,
        store: RevisionStore,
        prefix: str,
        sink: Sink,
        is_relayed: Callable[[], bool] = lambda: False,
        pace: Pace | None = None,
    ) -> None:
        self.relay: ChangeRelay | None = None
        self.pace = pace or Pace()
        self.as_of = Revision()
        self.is_up = False
        self.down_since = 0.0
        self.up_since = NEVER_S
        self.last_response_at = 0.0
        self._is_silence_logged = False
        self._store = store
        self._prefix = prefix
        self._sink = sink
        self._is_relayed = is_relayed
        self._must_list = True
        # Listings since the last watch that was answered with changes or none.
        self._unwatched_listings = 0
        # In the order in which they began.
        self._calls: list[_Call] = []
        self._next_call_at = 0.0
        # Whether the last call was answered, so that the next may wait for changes.
        self._is_settled = False
        self._answered_call_at = 0.0

    @property
    def call_age(self) -> float:
        """Seconds since the oldest call to the store in progress began; 0 if none."""
        now = asyncio.get_running_loop().time()
        return now - self._calls[0].started_at if self._calls else 0.0

    @property
    def outage_end(self) -> float:
        """Loop time at which the store's last outage ended; now during one."""
        now = self._now()
        return now if self._is_outage(self._calls, now) else self.up_since

    def uptime(self) -> float | None:
        """Return the seconds since the store's last outage; None while calls fail."""
        now = self._now()
        is_overdue = any(call.due_at <= now for call in self._calls)
        return None if is_overdue or not self.is_up else now - self.up_since

    async def run(self) -> None:
        """Follow the store until cancelled, from a new listing on."""
        was_relayed = False
        self._must_list = True
        try:
            while True:
                is_relayed = self._is_relayed() and not self._must_list
                if is_relayed != was_relayed:
                    was_relayed = is_relayed
                    source = "relaying hubs" if is_relayed else "the store"
                    logger.info(
                        "revision {}: receiving changes from {}", self.as_of, source
                    )
                if is_relayed:
                    self._cancel_calls()
                    await asyncio.sleep(RELAY_CHECK_INTERVAL_S)
                    continue
                self._call_if_due()
                await self._wait_for_calls()
                self._take_answers()
        finally:
            self._cancel_calls()

    def _call_if_due(self) -> None:
        now = asyncio.get_running_loop().time()
        is_waiting = bool(self._calls) and now < self._calls[-1].due_at
        if is_waiting or now < self._next_call_at or len(self._calls) >= MAX_CALLS:
            return
        if self._calls:
            self._store.renew_connections()
            logger.bind(**self._call_ages()).info(
                "answer of the store overdue at revision {}, {} calls in progress",
                self.as_of,
                len(self._calls),
            )
        wait = PROBE_WAIT_S
        task: asyncio.Task[Any]
        if self._must_list:
            # Its pages are answered one after the other.
            wait = self.pace.overdue_after
            task = asyncio.ensure_future(self._store.list(self._prefix))
        else:
            if self._is_settled and not self._calls:
                wait = self.pace.watch_wait
            watch = self._store.watch(self._prefix, self.as_of, wait)
            task = asyncio.ensure_future(watch)
        due_at = now + wait + self.pace.overdue_after
        self._calls.append(_Call(task, now, due_at, self.as_of.era))

    async def _wait_for_calls(self) -> None:
        """Wait until a call has ended or the next one is due."""
        now = asyncio.get_running_loop().time()
        if not self._calls:
            await asyncio.sleep(max(TIMER_RESOLUTION_S, self._next_call_at - now))
            return
        until: float | None = None
        if len(self._calls) < MAX_CALLS:
            due_at = max(self._calls[-1].due_at, self._next_call_at)
            until = max(TIMER_RESOLUTION_S, due_at - now)
        await asyncio.wait(
            [call.task for call in self._calls],
            timeout=until,
            return_when=asyncio.FIRST_COMPLETED,
        )

    def _take_answers(self) -> None:
        ended = [call for call in self._calls if call.task.done()]
        self._calls = [call for call in self._calls if not call.task.done()]
        for call in ended:
            try:
                self._take(call, call.task.result())
            except ChangesUnavailable as exc:
                self._handle_lost_changes(call, exc)
            except StoreUnavailable as exc:
                self._handle_failure(call, exc)

    def _take(self, call: _Call, answer: "Listing | Changes") -> None:
        self._record_response([call, *self._calls])
        self._is_settled = True
        self._answered_call_at = max(self._answered_call_at, call.started_at)
        match answer:
            case Listing():
                self._take_listing(answer)
            case Changes():
                self._take_changes(answer)
        # Their connections may have gone silent.
        self._cancel_calls()

    def _handle_lost_changes(self, call: _Call, exc: ChangesUnavailable) -> None:
        if call.era < self.as_of.era:
            return
        logger.info("listing again from revision {}: {}", self.as_of, exc)
        self._must_list = True
        if self._unwatched_listings > 0:
            # The last listing did not help, so the next one may not either.
            self._pause()

    def _handle_failure(self, call: _Call, exc: StoreUnavailable) -> None:
        if call.started_at < self._answered_call_at:
            return
        ages = self._call_ages() | {"call_s": round(self._now() - call.started_at, 3)}
        logger.bind(**ages).info("store call failed: {}", exc)
        self._is_settled = False
        is_overdue = self._now() >= call.due_at
        self._mark_down(exc, call.started_at if is_overdue else self._now())
        self._pause()

    def _pause(self) -> None:
        interval = self.pace.retry_interval * random.uniform(0.5, 1.0)
        self._next_call_at = self._now() + interval

    def _cancel_calls(self) -> None:
        for call in self._calls:
            call.task.cancel()
        self._calls.clear()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def check_silence(self) -> None:
        """Log once that the store has been silent for long: changes may be missing."""
        silence = self._now() - self.last_response_at
        is_long = silence > self.pace.silence_limit
        if is_long and not self._is_silence_logged:
            logger.bind(**self._call_ages()).warning(
                "changes after revision {} are unknown for {:.2f} s",
                self.as_of,
                silence,
            )
        self._is_silence_logged = is_long

    def _call_ages(self) -> dict[str, float]:
        return {
            "call_s": round(self.call_age, 3),
            "silent_s": round(self._now() - self.last_response_at, 3),
        }

    def advance_to(self, as_of: Revision) -> None:
        """Record that the sink was brought up to a revision by other means."""
        if as_of > self.as_of:
            self.as_of = as_of
            self._must_list = False
            if self.relay is not None:
                self.relay.reset_to(as_of)

    def apply_changes(self, items: Iterable[KeyRevision], as_of: Revision) -> None:
        """Apply the next changes as relayed by processes that watch the store."""
        for item in items:
            self._sink.apply(item)
        self.advance_to(as_of)

    def update_store_status(self, response_age: float, uptime: float | None) -> None:
        """Record the store's status as relayed by processes that watch it.

        Parameters
        ----------
        response_age : float
            Seconds since the store's last response to them.
        uptime : float or None
            Seconds since the store's last outage there; None if calls fail there.
        """
        if not self._is_relayed():
            return
        now = asyncio.get_running_loop().time()
        if uptime is not None:
            self.up_since = now - uptime
        self._mark_up(max(self.last_response_at, now - response_age))

    def _take_listing(self, listing: Listing) -> None:
        self._must_list = False
        self._unwatched_listings += 1
        if listing.as_of >= self.as_of:
            if self.as_of.number and listing.as_of.era > self.as_of.era:
                self._begin_era(listing.as_of)
            self._sink.replace(listing)
            self.as_of = listing.as_of
        else:
            logger.warning(
                "listing at revision {} ignored, as {} is known",
                listing.as_of,
                self.as_of,
            )
        if self.relay is not None:
            self.relay.reset_to(self.as_of)

    def _take_changes(self, changes: Changes) -> None:
        self._unwatched_listings = 0
        items = [item for item in changes.items if item.revision > self.as_of]
        for item in items:
            self._sink.apply(item)
        self.as_of = max(self.as_of, changes.as_of)
        if self.relay is not None:
            self.relay.append(items, self.as_of)
        if items:
            self._next_call_at = self._now() + WATCH_BATCH_PAUSE_S

    def _begin_era(self, as_of: Revision) -> None:
        """Treat the store as available since now: others have yet to write again."""
        logger.warning(
            "store restored from a copy: revision {} after {}", as_of, self.as_of
        )
        self.up_since = asyncio.get_running_loop().time()

    def _record_response(self, calls: list[_Call]) -> None:
        """Record a response to one of the calls in progress."""
        now = self._now()
        if self._is_outage(calls, now):
            self.up_since = now
        self._mark_up(now)
        if self.relay is not None:
            self.relay.record_response()

    def _is_outage(self, calls: list[_Call], now: float) -> bool:
        """Return whether calls have failed or been silent long enough for an outage."""
        since = [self.down_since] if not self.is_up and self.down_since else []
        # A call that is overdue for this long has successors on new connections.
        silent = now - self.pace.overdue_after
        since += [call.started_at for call in calls if call.due_at <= silent]
        return bool(since) and now - min(since) >= self.pace.min_outage

    def _mark_up(self, response_at: float) -> None:
        self.last_response_at = response_at
        if not self.is_up:
            self.is_up = True
            if self.down_since:
                logger.info(
                    "store available again after {:.2f} s, last outage ended {:.2f} s "
                    "ago",
                    response_at - self.down_since,
                    response_at - self.up_since,
                )
            else:
                logger.info("first response from the store")

    def _mark_down(self, exc: StoreUnavailable, since: float) -> None:
        if self.is_up or not self.down_since:
            self.is_up = False
            self.down_since = since
            logger.warning("store unavailable at revision {}: {}", self.as_of, exc)
