"""Aggregation of statuses by a hub, over its group and over the fleet."""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
import xxhash

from lagoontide.mesh.layout import Layout
from lagoontide.mesh.messages import GroupSum, Member, Needs, Status, Sums
from lagoontide.targets.peer_reports import PeerReports
from lagoontide.targets.rate_limits import LimitReport

__all__ = ["Hub", "digest_of"]

# Statuses and sums older than this are ignored: three status intervals and a margin.
STATUS_TTL_S = 0.9
# A new hub collects its members' statuses for this long before it sends sums.
WARM_UP_S = 0.5
# Smaller remainders are omitted from messages.
MIN_LOAD = 1e-3


@dataclass(slots=True)
class _Totals:
    """Summed statuses of several entries, with the times of their rate limits."""

    loads: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    streams: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    needs: defaultdict[tuple[str, int], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    leaving_targets: set[tuple[str, int]] = field(default_factory=set)
    limits: dict[tuple[str, int], LimitReport] = field(default_factory=dict)

    def add(self, part: Status | GroupSum) -> None:
        """Add the status of an entry or the sums of a group."""
        for total, other in ((self.loads, part.loads), (self.streams, part.streams)):
            for name, work in other.items():
                total[name] += work
        for service, urgency, seconds in part.needs:
            self.needs[service, urgency] += seconds
        self.leaving_targets.update(part.leaving_targets)
        for report in part.limits:
            known = self.limits.get(report[:2])
            if known is None or report[3] > known[3]:
                self.limits[report[:2]] = report

    def excluding(
        self, now: float, own: Status | None = None
    ) -> tuple[
        dict[str, float],
        dict[str, float],
        Needs,
        tuple[tuple[str, int], ...],
        list[LimitReport],
    ]:
        """Return loads, streams, needs, leaving targets and rate limits.

        The loads, streams and needs of ``own`` are subtracted.
        """
        needs = {} if own is None else {(name, u): s for name, u, s in own.needs}
        return (
            _subtract(self.loads, own.loads if own else {}),
            _subtract(self.streams, own.streams if own else {}),
            [(*key, seconds) for key, seconds in _subtract(self.needs, needs).items()],
            tuple(self.leaving_targets),
            _reverse_ages(self.limits.values(), now),
        )


class Hub:
    """Aggregates the statuses of a group and exchanges sums with other hubs.

    Parameters
    ----------
    send_message : callable
        Sends a message to an entry by name, without blocking.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        send_message: Callable[[str, msgspec.Struct], None],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._send_message = send_message
        self._clock = clock
        self._statuses: PeerReports[Status] = PeerReports(clock, STATUS_TTL_S)
        self._groups: PeerReports[GroupSum] = PeerReports(clock, STATUS_TTL_S)
        self._hub_since: float | None = None

    def record_status(self, status: Status) -> None:
        """Record the status of an entry of the group."""
        limits = _reverse_ages(status.limits, self._clock())
        self._statuses.update(
            status.name, msgspec.structs.replace(status, limits=limits)
        )

    def record_group_sum(self, peer: str, message: GroupSum) -> None:
        """Record the sums of another group, received from one of its hubs."""
        limits = _reverse_ages(message.limits, self._clock())
        self._groups.update(peer, msgspec.structs.replace(message, limits=limits))

    def serve(
        self, layout: Layout, own: Status, without: Collection[str]
    ) -> Sums | None:
        """Send sums to members and to other hubs; return the sums for this entry.

        Returns None if this entry is not acting as a hub, that is, if it is no hub of
        its group and no member sends it statuses, or if it has only just become one.
        """
        members = list(self._statuses.current())
        hubs = layout.hubs(layout.group, without)
        if self._name not in hubs and not members:
            self._hub_since = None
            return None
        now = self._clock()
        if self._hub_since is None:
            self._hub_since = now
        if now - self._hub_since < WARM_UP_S:
            return None
        group = _Totals()
        group.add(msgspec.structs.replace(own, limits=_reverse_ages(own.limits, now)))
        for status in members:
            group.add(status)
        listed = tuple(map(_member, [own, *members]))
        others = {
            peer: part
            for peer, part in self._groups.by_peer()
            if part.group != layout.group
        }
        recipients = set(others) | {
            hub
            for name in layout.ranked_entries
            if name != layout.group
            for hub in layout.hubs(name, without)
        }
        message = GroupSum(layout.group, listed, *group.excluding(now), own.crashes)
        for hub in recipients:
            self._send_message(hub, message)
        for part in _largest_per_group(others.values()):
            group.add(part)
            listed += part.members
        return self._send_to_members(group, listed, own, members)

    def _send_to_members(
        self,
        total: _Totals,
        listed: tuple[Member, ...],
        own: Status,
        members: list[Status],
    ) -> Sums:
        roster = tuple(sorted(listed, key=lambda member: member.name))
        digest = digest_of(roster)
        now = self._clock()
        for status in members:
            if status.wants_sums:
                new_roster = None if status.digest == digest else roster
                message = Sums(
                    digest, new_roster, *total.excluding(now, status), own.crashes
                )
                self._send_message(status.name, message)
        return Sums(digest, roster, *total.excluding(now, own))


def digest_of(roster: Iterable[Member]) -> int:
    """Return a 32-bit hash that identifies a list of live entries."""
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(tuple(roster)))


def _member(status: Status) -> Member:
    return Member(status.name, status.address, status.capacity, status.is_draining)


def _largest_per_group(sums: Iterable[GroupSum]) -> Iterable[GroupSum]:
    """Return one sum for each group: the one with the most members."""
    largest: dict[str, GroupSum] = {}
    for part in sums:
        known = largest.get(part.group)
        if known is None or len(part.members) > len(known.members):
            largest[part.group] = part
    return largest.values()


def _subtract(total: Mapping, own: Mapping) -> dict:
    """Return ``total`` minus ``own``, without values up to ``MIN_LOAD``."""
    rest = ((key, work - own.get(key, 0.0)) for key, work in total.items())
    return {key: round(work, 3) for key, work in rest if work > MIN_LOAD}


def _reverse_ages(reports: Iterable[LimitReport], now: float) -> list[LimitReport]:
    """Return reports with times in place of ages, or with ages in place of times."""
    return [(name, born, rate, now - at) for name, born, rate, at in reports]
