"""Changes of the store, from the entries that watch it to those that do not.

An entry that follows says up to which revision it knows all; a hub sends what came
after. What is missing, too old or from a hub that has lain still makes the entry
watch the store itself.
"""

import time
import zlib
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from loguru import logger

from lagoontide.errors import WireError
from lagoontide.mesh.messages import Change, Feed
from lagoontide.store.feed import Item

__all__ = ["Feeders", "Relay", "pack", "steady_now", "unpack"]

# A follower that has not asked again for this long is told no more.
FOLLOWED_S = 1.6
# Changes that a hub keeps for followers that lack them.
MOST_CHANGES = 512
MOST_KEPT_BYTES = 4 << 20
# Longer values are not sent on: each entry reads them from the store.
MAX_PACKED_BYTES = 64 << 10
MAX_VALUE_BYTES = 4 << 20
# A hub that says nothing, or whose own word of the store is so old, feeds nobody;
# a watch comes back every 2 s (store/follow.py).
SILENT_S = 1.2
OLD_S = 3.0


def steady_now() -> float:
    """Return seconds that go on while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def pack(item: Item) -> Change:
    """Return a change as it is sent."""
    packed = b"" if item.value is None else zlib.compress(item.value, 1)
    return Change(item.key, item.revision, item.value is None, packed)


def unpack(change: Change) -> Item:
    """Return the change that was sent; raises WireError."""
    if change.is_deleted:
        return Item(change.key, None, change.revision)
    unpacker = zlib.decompressobj()
    try:
        value = unpacker.decompress(change.packed, MAX_VALUE_BYTES)
    except zlib.error as exc:
        raise WireError(f"change of {change.key!r}: {exc}", step="feed") from exc
    if not unpacker.eof:
        raise WireError(f"change of {change.key!r}: too long or cut", step="feed")
    return Item(change.key, value, change.revision)


class Relay:
    """The side of a hub: keeps changes, and sends followers what they lack.

    Parameters
    ----------
    tell : callable
        Sends a message to an entry by its name; never waits.
    clock : callable
        Returns the seconds of ``steady_now``.
    """

    def __init__(
        self,
        tell: Callable[[str, Feed], None],
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self._tell = tell
        self._clock = clock
        self._changes: deque[Change] = deque()
        self._size = 0
        self._begins_at = 0
        self._as_of = 0
        self._heard_at = 0.0
        self._up_since = 0.0
        self._is_up = False
        # Revision up to which a follower knows all, and when it asked.
        self._followers: dict[str, tuple[int, float]] = {}

    @property
    def followers(self) -> int:
        """How many entries have asked lately."""
        horizon = self._clock() - FOLLOWED_S
        for name, (_, at) in tuple(self._followers.items()):
            if at < horizon:
                del self._followers[name]
        return len(self._followers)

    @property
    def has_followers(self) -> bool:
        """Whether entries have asked lately."""
        return self.followers > 0

    def restart(self, as_of: int) -> None:
        """Begin anew behind a listing: what came before it is not known."""
        self._changes.clear()
        self._size = 0
        self._begins_at = self._as_of = as_of

    def note(self, items: Iterable[Item], as_of: int) -> None:
        """Take the changes up to a revision."""
        for item in items:
            change = pack(item)
            self._changes.append(change)
            self._size += len(change.packed)
            if len(change.packed) > MAX_PACKED_BYTES:
                self._forget_until(change.revision)
        while len(self._changes) > MOST_CHANGES or self._size > MOST_KEPT_BYTES:
            self._forget_until(self._changes[0].revision)
        self._as_of = max(self._as_of, as_of)
        for name in tuple(self._followers):
            self._send(name)

    def note_store(self, is_up: bool) -> None:
        """Take note of an answer of the store, or of its loss."""
        now = self._clock()
        if is_up:
            self._heard_at = now
            if not self._is_up:
                self._up_since = now
        self._is_up = is_up

    def follow(self, name: str, as_of: int) -> None:
        """Take an entry's word that it knows all up to a revision."""
        self._followers[name] = as_of, self._clock()
        self._send(name)

    def _forget_until(self, revision: int) -> None:
        while self._changes and self._changes[0].revision <= revision:
            self._size -= len(self._changes.popleft().packed)
        self._begins_at = max(self._begins_at, revision)

    def _send(self, name: str) -> None:
        now = self._clock()
        known, at = self._followers[name]
        after = max(known, self._begins_at)
        changes = tuple(item for item in self._changes if item.revision > after)
        feed = Feed(
            after=after,
            as_of=self._as_of,
            age=now - self._heard_at,
            up_for=now - self._up_since,
            changes=changes,
        )
        self._followers[name] = max(known, self._as_of), at
        self._tell(name, feed)


@dataclass(slots=True)
class _Told:
    at: float
    age: float
    up_for: float


class Feeders:
    """The side of a follower: what hubs have sent.

    Parameters
    ----------
    apply : callable
        Takes changes in order, and the revision up to which they are all.
    as_of : callable
        Returns the revision up to which all is known here.
    on_told : callable
        Called with what is known of the store, before changes are applied.
    """

    def __init__(
        self,
        apply: Callable[[list[Item], int], None],
        as_of: Callable[[], int],
        on_told: Callable[["Feeders"], None],
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self._apply = apply
        self._as_of = as_of
        self._on_told = on_told
        self._clock = clock
        self._told: dict[str, _Told] = {}
        # A revision that was told of and cannot be reached by what was sent.
        self._missing = 0

    def take(self, peer: str, feed: Feed) -> None:
        """Take what a hub sent."""
        self._told[peer] = _Told(self._clock(), feed.age, feed.up_for)
        if feed.as_of <= self._as_of():
            self._on_told(self)
            return
        if feed.after > self._as_of():
            if feed.as_of > self._missing:
                logger.bind(peer=peer).info(
                    "changes {} to {} are missing", self._as_of(), feed.after
                )
            self._missing = max(self._missing, feed.as_of)
            return
        try:
            items = [
                unpack(change)
                for change in feed.changes
                if change.revision > self._as_of()
            ]
        except WireError as exc:
            logger.bind(peer=peer).warning("changes not taken: {}", exc)
            self._missing = max(self._missing, feed.as_of)
            return
        self._on_told(self)
        self._apply(items, feed.as_of)

    def is_fed(self) -> bool:
        """Return whether hubs tell enough for the store not to be asked."""
        return self._missing <= self._as_of() and self.heard_ago() < OLD_S

    def heard_ago(self) -> float:
        """Return the seconds since the store's last answer to a hub."""
        fresh = (told.age + ago for told, ago in self._fresh())
        return min(fresh, default=float("inf"))

    def up_for(self) -> float:
        """Return the seconds for which the store has been up for some hub."""
        return max((told.up_for + ago for told, ago in self._fresh()), default=0.0)

    def _fresh(self) -> Iterator[tuple[_Told, float]]:
        """Yield the words of hubs that are not silent, and their ages."""
        now = self._clock()
        for told in self._told.values():
            if now - told.at < SILENT_S:
                yield told, now - told.at
