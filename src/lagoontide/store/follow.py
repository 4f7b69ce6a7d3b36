"""Following everything under a prefix of the store, through its troubles."""

import asyncio
import random
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


class Sink(Protocol):
    """Takes what the store holds."""

    def replace(self, listing: Listing) -> None:
        """Believe a listing: what it lacks is gone."""

    def apply(self, item: Item) -> None:
        """Believe one change."""


class Follower:
    """Keeps a sink up to date.

    Parameters
    ----------
    store : RevisionStore
        Where the keys are.
    prefix : str
        Which of them.

    Attributes
    ----------
    as_of : int
        The revision that the sink has seen; 0 before the first listing.
    is_up : bool
        Whether the last call was answered.
    down_since, up_since : float
        Loop times of the last loss and the last return of the store.
    heard_at : float
        Loop time of the last answer.
    """

    def __init__(self, store: RevisionStore, prefix: str, sink: Sink) -> None:
        self.as_of = 0
        self.is_up = False
        self.down_since = 0.0
        self.up_since = 0.0
        self.heard_at = 0.0
        self._store = store
        self._prefix = prefix
        self._sink = sink
        self._must_list = True
        self._retry = RETRY_MIN_S

    async def run(self) -> None:
        """Follow for ever."""
        while True:
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

    async def _follow(self) -> None:
        if self._must_list:
            listing = await self._store.list(self._prefix)
            self._note_up()
            self._must_list = False
            if listing.as_of >= self.as_of:
                self._sink.replace(listing)
                self.as_of = listing.as_of
        while True:
            changes = await self._store.watch(self._prefix, self.as_of, WATCH_WAIT_S)
            self._note_up()
            for item in changes.items:
                if item.revision > self.as_of:
                    self._sink.apply(item)
            self.as_of = max(self.as_of, changes.as_of)
            if changes.items:
                await asyncio.sleep(WATCH_PAUSE_S)

    def _note_up(self) -> None:
        now = asyncio.get_running_loop().time()
        self.heard_at = now
        self._retry = RETRY_MIN_S
        if not self.is_up:
            self.is_up = True
            self.up_since = now
            if self.down_since:
                logger.info("store regained after {:.2f} s", now - self.down_since)
            else:
                logger.info("store heard for the first time")

    def _note_down(self, exc: StoreUnavailable) -> None:
        if self.is_up or not self.down_since:
            self.is_up = False
            self.down_since = asyncio.get_running_loop().time()
            logger.warning("store lost at revision {}: {}", self.as_of, exc)
