"""The duties of a hub: sums over its group, and over the fleet, for its members."""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

from lagoontide.mesh.layout import Layout
from lagoontide.mesh.messages import GroupSum, Member, Needs, Status, Sums
from lagoontide.targets.told import Told

__all__ = ["Hub", "digest_of"]

# What was told this long ago no longer counts: three turns of a status, and a bit.
FRESH_S = 0.9
# One that has just become a hub has yet to hear its members.
WARM_S = 0.5
LEAST_LOAD = 1e-3


@dataclass(slots=True)
class _Total:
    """What several entries have together."""

    loads: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    streams: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    needs: defaultdict[tuple[str, int], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    left: set[tuple[str, int]] = field(default_factory=set)

    def add(self, part: Status | GroupSum) -> None:
        """Count what an entry or a group has."""
        for mine, other in ((self.loads, part.loads), (self.streams, part.streams)):
            for name, work in other.items():
                mine[name] += work
        for service, urgency, seconds in part.needs:
            self.needs[service, urgency] += seconds
        self.left.update(part.left)

    def rest(
        self, own: Status | None = None
    ) -> tuple[dict[str, float], dict[str, float], Needs, tuple[tuple[str, int], ...]]:
        """Return loads, streams, needs and what left, without those of one entry."""
        needs = {} if own is None else {(name, u): s for name, u, s in own.needs}
        return (
            _less(self.loads, own.loads if own else {}),
            _less(self.streams, own.streams if own else {}),
            [(*key, seconds) for key, seconds in _less(self.needs, needs).items()],
            tuple(self.left),
        )


class Hub:
    """Takes statuses of the entries of a group and sums of other groups.

    Parameters
    ----------
    tell : callable
        Sends a message to an entry by its name; never waits.
    clock : callable
        Returns the seconds of a steady clock.
    """

    def __init__(
        self,
        name: str,
        tell: Callable[[str, msgspec.Struct], None],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._tell = tell
        self._clock = clock
        self._statuses: Told[Status] = Told(clock, FRESH_S)
        self._groups: Told[GroupSum] = Told(clock, FRESH_S)
        self._serves_since: float | None = None

    def take_status(self, status: Status) -> None:
        """Take the status of an entry of the group."""
        self._statuses.take(status.name, status)

    def take_group(self, peer: str, message: GroupSum) -> None:
        """Take the sums of another group from one of its hubs."""
        self._groups.take(peer, message)

    def serve(
        self, layout: Layout, own: Status, without: Collection[str]
    ) -> Sums | None:
        """Tell members and other hubs; return the sums for this entry itself.

        Returns None if this entry has no such duty: it is no hub of its group, and
        none of the group takes it for one.
        """
        members = list(self._statuses.current())
        hubs = layout.hubs(layout.group, without)
        if self._name not in hubs and not members:
            self._serves_since = None
            return None
        now = self._clock()
        if self._serves_since is None:
            self._serves_since = now
        if now - self._serves_since < WARM_S:
            return None
        group = _Total()
        group.add(own)
        for status in members:
            group.add(status)
        listed = tuple(map(_member, [own, *members]))
        others = {
            peer: part
            for peer, part in self._groups.by_peer()
            if part.group != layout.group
        }
        told = set(others) | {
            hub
            for name in layout.ranks
            if name != layout.group
            for hub in layout.hubs(name, without)
        }
        message = GroupSum(layout.group, listed, *group.rest())
        for hub in told:
            self._tell(hub, message)
        for part in _widest(others.values()):
            group.add(part)
            listed += part.members
        return self._tell_members(group, listed, own, members)

    def _tell_members(
        self,
        total: _Total,
        listed: tuple[Member, ...],
        own: Status,
        members: list[Status],
    ) -> Sums:
        roster = tuple(sorted(listed, key=lambda member: member.name))
        digest = digest_of(roster)
        for status in members:
            if status.wants_sums:
                news = None if status.digest == digest else roster
                self._tell(status.name, Sums(digest, news, *total.rest(status)))
        return Sums(digest, roster, *total.rest(own))


def digest_of(roster: Iterable[Member]) -> int:
    """Return a number that differs between lists of live entries."""
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(tuple(roster)))


def _member(status: Status) -> Member:
    return Member(status.name, status.address, status.capacity, status.is_leaving)


def _widest(sums: Iterable[GroupSum]) -> Iterable[GroupSum]:
    """Return one sum for each group: the one of most entries."""
    widest: dict[str, GroupSum] = {}
    for part in sums:
        known = widest.get(part.group)
        if known is None or len(part.members) > len(known.members):
            widest[part.group] = part
    return widest.values()


def _less(total: Mapping, own: Mapping) -> dict:
    """Return a total without a part of it, what is nothing left out."""
    rest = ((key, work - own.get(key, 0.0)) for key, work in total.items())
    return {key: round(work, 3) for key, work in rest if work > LEAST_LOAD}
