"""Relaying of store changes from the entries that watch the store to the others.

A follower sends the revision up to which it has every change, and a hub sends the
changes after it. If changes are missing, or the hub's data is stale or the hub was
suspended, the follower watches the store itself.
"""

import time
import zlib
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from loguru import logger

from lagoontide.errors import WireError
from lagoontide.mesh.messages import Change, ChangeBatch
from lagoontide.store.revision_store import KeyRevision, Revision

__all__ = ["Relay", "RelayReceiver", "boot_time", "pack", "unpack"]

# A follower that does not renew its request for this long gets no more changes.
FOLLOWER_TIMEOUT_S = 1.6
# Limits of the buffer from which a hub sends followers the changes that they miss.
MAX_CHANGES = 512
MAX_BUFFERED_BYTES = 4 << 20
# Longer compressed values are not relayed: each entry reads them from the store.
MAX_PACKED_BYTES = 64 << 10
# Limit after decompression.
MAX_VALUE_BYTES = 4 << 20
# Reported while calls fail, which may or may not become an outage.
UPTIME_UNKNOWN_S = -1.0
# The last report of a hub that sends no changes for this long is ignored.
HUB_REPORT_TIMEOUT_S = 1.2


def boot_time() -> float:
    """Return monotonic seconds, including time while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def pack(item: KeyRevision) -> Change:
    """Return an item as a change message with a compressed value."""
    packed = b"" if item.value is None else zlib.compress(item.value, 1)
    return Change(item.key, item.revision, item.value is None, packed)


def unpack(change: Change) -> KeyRevision:
    """Return the item of a change message.

    Raises WireError if the value is corrupt, truncated or too long.
    """
    if change.is_deleted:
        return KeyRevision(change.key, None, change.revision)
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(change.packed, MAX_VALUE_BYTES)
    except zlib.error as exc:
        raise WireError(
            f"cannot decompress change of {change.key!r}: {exc}", step="feed"
        ) from exc
    if not decompressor.eof:
        raise WireError(
            f"value of {change.key!r} is truncated or too long", step="feed"
        )
    return KeyRevision(change.key, value, change.revision)


class Relay:
    """The hub's side: buffers changes and sends followers those that they miss.

    Parameters
    ----------
    send_message : callable
        Sends a message to an entry by name, without blocking.
    clock : callable
        Returns seconds as ``boot_time`` does.
    uptime : callable
        Returns the seconds since the store's last outage; None while calls fail.
    """

    def __init__(
        self,
        send_message: Callable[[str, ChangeBatch], None],
        clock: Callable[[], float],
        uptime: Callable[[], float | None],
    ) -> None:
        self._uptime = uptime
        self._send_message = send_message
        self._clock = clock
        self._changes: deque[Change] = deque()
        self._buffered_bytes = 0
        # The buffer holds every change after this revision.
        self._complete_after = Revision()
        self._as_of = Revision()
        self._store_heard_at = 0.0
        # For each follower, the revision up to which it has every change, and the time
        # of its last request.
        self._followers: dict[str, tuple[Revision, float]] = {}

    @property
    def followers(self) -> int:
        """The number of followers that have not timed out."""
        cutoff = self._clock() - FOLLOWER_TIMEOUT_S
        for name, (_, at) in tuple(self._followers.items()):
            if at < cutoff:
                del self._followers[name]
        return len(self._followers)

    @property
    def has_followers(self) -> bool:
        """Whether any follower has not timed out."""
        return self.followers > 0

    def reset_to(self, as_of: Revision) -> None:
        """Discard all changes; only those after ``as_of`` will be available."""
        self._changes.clear()
        self._buffered_bytes = 0
        self._complete_after = self._as_of = as_of

    def append(self, items: Iterable[KeyRevision], as_of: Revision) -> None:
        """Add the changes up to a revision, and send them to followers."""
        for item in items:
            change = pack(item)
            self._changes.append(change)
            self._buffered_bytes += len(change.packed)
            if len(change.packed) > MAX_PACKED_BYTES:
                self._discard_through(change.revision)
        while (
            len(self._changes) > MAX_CHANGES
            or self._buffered_bytes > MAX_BUFFERED_BYTES
        ):
            self._discard_through(self._changes[0].revision)
        self._as_of = max(self._as_of, as_of)
        for name in tuple(self._followers):
            self._send(name)

    def record_response(self) -> None:
        """Record a response of the store."""
        self._store_heard_at = self._clock()

    def follow(self, name: str, as_of: Revision) -> None:
        """Add or renew a follower that has every change up to a revision."""
        self._followers[name] = as_of, self._clock()
        self._send(name)

    def _discard_through(self, revision: Revision) -> None:
        while self._changes and self._changes[0].revision <= revision:
            self._buffered_bytes -= len(self._changes.popleft().packed)
        self._complete_after = max(self._complete_after, revision)

    def _send(self, name: str) -> None:
        now = self._clock()
        known, at = self._followers[name]
        after = max(known, self._complete_after)
        changes = tuple(item for item in self._changes if item.revision > after)
        uptime = self._uptime()
        batch = ChangeBatch(
            after=after,
            as_of=self._as_of,
            age=now - self._store_heard_at,
            uptime=UPTIME_UNKNOWN_S if uptime is None else uptime,
            changes=changes,
        )
        self._followers[name] = max(known, self._as_of), at
        self._send_message(name, batch)


@dataclass(slots=True)
class _HubReport:
    at: float
    as_of: Revision
    age: float
    uptime: float


class RelayReceiver:
    """The follower's side: applies changes from hubs and detects gaps.

    Parameters
    ----------
    apply : callable
        Called with changes in order, and the revision up to which they are complete.
    as_of : callable
        Returns the revision up to which this entry has every change.
    on_report : callable
        Called with this object when a hub's message is taken, before its changes are
        applied; not called if changes are missing or corrupt.
    max_staleness : callable
        Returns the age in seconds of the store's last answer to any hub beyond which
        this entry watches the store itself.
    """

    def __init__(
        self,
        apply: Callable[[list[KeyRevision], Revision], None],
        as_of: Callable[[], Revision],
        on_report: Callable[["RelayReceiver"], None],
        max_staleness: Callable[[], float],
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self._apply = apply
        self._as_of = as_of
        self._on_report = on_report
        self._max_staleness = max_staleness
        self._clock = clock
        self._reports: dict[str, _HubReport] = {}
        # The latest revision whose changes a hub could not send without a gap.
        self._missing_through = Revision()

    def receive(self, peer: str, batch: ChangeBatch) -> None:
        """Apply a message from a hub, unless changes before it are missing."""
        self._reports[peer] = _HubReport(
            self._clock(), batch.as_of, batch.age, batch.uptime
        )
        if batch.as_of <= self._as_of():
            self._on_report(self)
            return
        if batch.after > self._as_of():
            if batch.as_of > self._missing_through:
                logger.bind(peer=peer).info(
                    "changes after revision {} up to {} are missing",
                    self._as_of(),
                    batch.after,
                )
            self._missing_through = max(self._missing_through, batch.as_of)
            return
        try:
            items = [
                unpack(change)
                for change in batch.changes
                if change.revision > self._as_of()
            ]
        except WireError as exc:
            logger.bind(peer=peer).warning("changes from hub rejected: {}", exc)
            self._missing_through = max(self._missing_through, batch.as_of)
            return
        self._on_report(self)
        self._apply(items, batch.as_of)

    def is_relayed(self) -> bool:
        """Return whether hubs send complete and recent changes.

        If they do, this entry need not watch the store.
        """
        return (
            self._missing_through <= self._as_of()
            and self.response_age() < self._max_staleness()
        )

    def response_age(self) -> float:
        """Return the seconds since the store last answered any hub."""
        fresh = (report.age + elapsed for report, elapsed in self._recent_reports())
        return min(fresh, default=float("inf"))

    def uptime(self) -> float | None:
        """Return the seconds since the store's last outage at the hubs.

        The longest time counts, as an outage may concern one hub only. None while the
        calls of all hubs fail.
        """
        reports = self._recent_reports()
        return max(
            (item.uptime + elapsed for item, elapsed in reports if item.uptime >= 0.0),
            default=None,
        )

    def _recent_reports(self) -> Iterator[tuple[_HubReport, float]]:
        """Yield the reports that have not timed out, with their ages in seconds.

        A hub in an earlier era of the store does not supply its changes.
        """
        now = self._clock()
        era = self._as_of().era
        for report in self._reports.values():
            is_recent = now - report.at < HUB_REPORT_TIMEOUT_S
            if is_recent and report.as_of.era >= era:
                yield report, now - report.at
