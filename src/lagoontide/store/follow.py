"""Following everything under a prefix of the store, through its troubles."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

from loguru import logger

from lagoontide.errors import StoreUnavailable
from lagoontide.store.feed import HistoryGone, Item, Listing, RevisionStore

__all__ = ["Follower", "Sink"]

# A connection gone silent shows when a watch overruns its wait; peers tell of newer
# configurations meanwhile.
WATCH_WAIT_S = 2.0
# Each return of a watch is a call; changes within this time share one.
WATCH_PAUSE_S = 0.2
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
# How often one that is told by others looks whether it still is.
FED_LOOK_S = 0.1


class Sink(Protocol):
    """Takes what the store holds."""

    def replace(self, listing: Listing) -> None:
        """Believe a listing: what it lacks is gone."""

    def apply(self, item: Item) -> None:
        """Believe one change."""


class Onward(Protocol):
    """Passes on what a follower learns from the store."""

    def restart(self, as_of: int) -> None:
        """Take note that all is known up to a revision, by a listing or by others."""

    def note(self, items: Iterable[Item], as_of: int) -> None:
        """Take the next changes."""

    def note_store(self, is_up: bool) -> None:
        """Take note of an answer of the store, or of its loss."""


class Follower:
    """Keeps a sink up to date.

    Parameters
    ----------
    store : RevisionStore
        Where the keys are.
    prefix : str
        Which of them.
    is_fed : callable, optional
        Returns whether others tell of changes, so that the store need not.

    Attributes
    ----------
    onward : Onward or None
        Takes all that is learnt.
    as_of : int
        The revision that the sink has seen; 0 before the first listing.
    is_up : bool
        Whether the last call was answered.
    down_since, up_since : float
        Loop times of the last loss and the last return of the store.
    heard_at : float
        Loop time of the last answer.
    """

    def __init__(
        self,
        store: RevisionStore,
        prefix: str,
        sink: Sink,
        is_fed: Callable[[], bool] = lambda: False,
    ) -> None:
        self.onward: Onward | None = None
        self.as_of = 0
        self.is_up = False
        self.down_since = 0.0
        self.up_since = 0.0
        self.heard_at = 0.0
        self._store = store
        self._prefix = prefix
        self._sink = sink
        self._is_fed = is_fed
        self._must_list = True
        self._retry = RETRY_MIN_S

    async def run(self) -> None:
        """Follow for ever."""
        was_fed = False
        while True:
            is_fed = self._is_fed() and not self._must_list
            if is_fed != was_fed:
                was_fed = is_fed
                source = "hubs" if is_fed else "the store itself"
                logger.info("revision {}: changes come from {}", self.as_of, source)
            if is_fed:
                await asyncio.sleep(FED_LOOK_S)
                continue
            try:
                await self._follow()
            except HistoryGone:
                logger.info("store history dropped after revision {}", self.as_of)
                self._must_list = True
            except StoreUnavailable as exc:
                self._note_down(exc)
                await asyncio.sleep(self._retry * random.uniform(0.5, 1.0))
                self._retry = min(self._retry * 2, RETRY_MAX_S)

    def catch_up(self, as_of: int) -> None:
        """Take note that the sink was brought to a revision by other means."""
        if as_of > self.as_of:
            self.as_of = as_of
            self._must_list = False
            if self.onward is not None:
                self.onward.restart(as_of)

    def take(self, items: Iterable[Item], as_of: int) -> None:
        """Take the next changes from others that follow the store."""
        for item in items:
            self._sink.apply(item)
        self.catch_up(as_of)

    def note_fed(self, heard_ago: float, up_for: float) -> None:
        """Take note of the store's last answer to others, and of its return."""
        if not self._is_fed():
            return
        now = asyncio.get_running_loop().time()
        self.up_since = now - up_for
        self._note_up(max(self.heard_at, now - heard_ago), self.up_since)

    async def _follow(self) -> None:
        if self._must_list:
            listing = await self._store.list(self._prefix)
            self._note_answer()
            self._must_list = False
            if listing.as_of >= self.as_of:
                self._sink.replace(listing)
                self.as_of = listing.as_of
        if self.onward is not None:
            self.onward.restart(self.as_of)
        while not self._is_fed():
            changes = await self._store.watch(self._prefix, self.as_of, WATCH_WAIT_S)
            self._note_answer()
            items = [item for item in changes.items if item.revision > self.as_of]
            for item in items:
                self._sink.apply(item)
            self.as_of = max(self.as_of, changes.as_of)
            if self.onward is not None:
                self.onward.note(items, self.as_of)
            if changes.items:
                await asyncio.sleep(WATCH_PAUSE_S)

    def _note_answer(self) -> None:
        now = asyncio.get_running_loop().time()
        self._retry = RETRY_MIN_S
        self._note_up(now, now)
        if self.onward is not None:
            self.onward.note_store(True)

    def _note_up(self, now: float, up_since: float) -> None:
        self.heard_at = now
        if not self.is_up:
            self.is_up = True
            self.up_since = up_since
            if self.down_since:
                logger.info("store regained after {:.2f} s", now - self.down_since)
            else:
                logger.info("store heard for the first time")

    def _note_down(self, exc: StoreUnavailable) -> None:
        if self.onward is not None:
            self.onward.note_store(False)
        if self.is_up or not self.down_since:
            self.is_up = False
            self.down_since = asyncio.get_running_loop().time()
            logger.warning("store lost at revision {}: {}", self.as_of, exc)
