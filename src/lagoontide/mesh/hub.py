"""The duties of a hub: sums over its group, and over the fleet, for its members."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

from lagoontide.mesh.layout import Layout
from lagoontide.mesh.messages import GroupSum, Member, Needs, Status, Sums

__all__ = ["FRESH_S", "Hub", "digest_of"]

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

    def sums_without(
        self, status: Status, digest: int, roster: tuple[Member, ...] | None
    ) -> Sums:
        """Return what all but one of the entries have."""
        own = {(name, urgency): seconds for name, urgency, seconds in status.needs}
        return Sums(
            digest,
            roster,
            _less(self.loads, status.loads),
            _less(self.streams, status.streams),
            [(*key, seconds) for key, seconds in _less(self.needs, own).items()],
            tuple(self.left),
        )

    def group_sum(self, group: str, members: tuple[Member, ...]) -> GroupSum:
        """Return what the entries of a group have."""
        return GroupSum(
            group,
            members,
            _less(self.loads, {}),
            _less(self.streams, {}),
            self._needs(),
            tuple(self.left),
        )

    def _needs(self) -> Needs:
        return [(*key, seconds) for key, seconds in _less(self.needs, {}).items()]


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
        self._statuses: dict[str, tuple[float, Status]] = {}
        self._groups: dict[str, tuple[float, GroupSum]] = {}
        self._serves_since: float | None = None

    def take_status(self, status: Status) -> None:
        """Take the status of an entry of the group."""
        self._statuses[status.name] = self._clock(), status

    def take_group(self, peer: str, message: GroupSum) -> None:
        """Take the sums of another group from one of its hubs."""
        self._groups[peer] = self._clock(), message

    def serve(self, layout: Layout, own: Status, without: Iterable[str]) -> Sums | None:
        """Tell members and other hubs; return the sums for this entry itself.

        Returns None if this entry has no such duty: it is no hub of its group, and
        none of the group takes it for one.
        """
        members = self._members()
        hubs = layout.hubs(layout.group, tuple(without))
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
        others = self._others(layout.group)
        told = set(others) | {
            hub
            for name in layout.ranks
            if name != layout.group
            for hub in layout.hubs(name, tuple(without))
        }
        message = group.group_sum(layout.group, listed)
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
                self._tell(status.name, total.sums_without(status, digest, news))
        return total.sums_without(own, digest, roster)

    def _members(self) -> list[Status]:
        horizon = self._clock() - FRESH_S
        for name, (at, _) in tuple(self._statuses.items()):
            if at < horizon:
                del self._statuses[name]
        return [status for _, status in self._statuses.values()]

    def _others(self, own_group: str) -> dict[str, GroupSum]:
        """Return what hubs of other groups told, by their names."""
        horizon = self._clock() - FRESH_S
        for name, (at, _) in tuple(self._groups.items()):
            if at < horizon:
                del self._groups[name]
        return {
            name: message
            for name, (_, message) in self._groups.items()
            if message.group != own_group
        }


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
