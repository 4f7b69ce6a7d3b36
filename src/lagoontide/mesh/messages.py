"""Messages between entries."""

import msgspec

from lagoontide.decoding import CoreCount, HostPort, Number
from lagoontide.mesh.registration import EntryRecord
from lagoontide.origins.messages import AgedOrigin
from lagoontide.quarantine.records import CrashReport
from lagoontide.store.revision_store import Revision
from lagoontide.targets.rate_limits import LimitReport
from lagoontide.targets.records import Target

__all__ = [
    "MESSAGES",
    "Change",
    "ChangeBatch",
    "Follow",
    "GroupSum",
    "Member",
    "Needs",
    "Status",
    "StoreSnapshot",
    "StoreSnapshotRequest",
    "Sums",
]

# Pending stage work: service, urgency and seconds of target time.
Needs = list[tuple[str, int, Number]]


class Status(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """The state of an entry, sent periodically to its peers or to hubs.

    Attributes
    ----------
    address : str
        ``IP:PORT`` where it listens for peers.
    capacity : float
        Processor cores of the entry.
    config_version : int
        Version of its configuration; 0 for none.
    as_of : Revision
        Store revision up to which it has every change.
    loads : dict of str to float
        Its own load on each target, by target id.
    streams : dict of str to float
        Its own long streams at each target, by target id.
    leaving_targets : tuple
        Id and start time of the targets that were seen leaving recently.
    needs : list
        Pending stage work of its requests: service, urgency and seconds of target
        time.
    peers : tuple of str
        Addresses of entries from which it receives statuses.
    group : str
        Its group in a large fleet; "" if statuses are not sent through hubs.
    digest : int
        Digest of its roster; see ``Sums``.
    wants_sums : bool
        Whether the hub that receives this status should reply with ``Sums``.
    limits : list
        Rate limits of targets that this entry was the last to observe.
    crashes : list
        The crashes of targets of which the sender has learned something new lately;
        from time to time all that it knows of.
    wants_crashes : bool
        Whether the sender has just started and needs to hear of all of them.
    """

    name: str
    address: HostPort
    is_draining: bool
    capacity: CoreCount
    config_version: int
    as_of: Revision
    loads: dict[str, Number] = {}
    streams: dict[str, Number] = {}
    leaving_targets: tuple[tuple[str, int], ...] = ()
    peers: tuple[HostPort, ...] = ()
    needs: Needs = []
    group: str = ""
    digest: int = 0
    wants_sums: bool = False
    limits: list[LimitReport] = []
    crashes: list[CrashReport] = []
    wants_crashes: bool = False


class StoreSnapshotRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Requests the store state of a peer that has seen a later revision."""

    as_of: Revision


class StoreSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="beliefs"):
    """The state of the store as an entry knows it.

    Attributes
    ----------
    config : bytes
        The configuration as stored; empty if unknown.
    entries : dict
        The registered entries, by name.
    kept, kept_entries : dict
        Targets and entries that have been missing from the store since an outage,
        with the seconds for which each is still retained.
    evacuated : tuple of str
        The evacuated failure domains.
    origins : list
        The versions that began streams, with the time that each has been known.
    origin_values : dict
        The stored version set with its mark, by key.
    """

    as_of: Revision
    config_revision: Revision
    config: bytes
    targets: tuple[Target, ...]
    entries: dict[str, EntryRecord] = {}
    kept: dict[str, Number] = {}
    kept_entries: dict[str, Number] = {}
    evacuated: tuple[str, ...] = ()
    origins: list[AgedOrigin] = []
    origin_values: dict[str, bytes] = {}


class Follow(msgspec.Struct, frozen=True, array_like=True, tag="follow"):
    """Subscribes to a hub's changes after a revision, for a second or two."""

    as_of: Revision


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A change of the store as relayed by a hub.

    Attributes
    ----------
    packed : bytes
        The value, compressed with zlib; empty if the key was deleted.
    """

    key: str
    revision: Revision
    is_deleted: bool
    packed: bytes


class ChangeBatch(msgspec.Struct, frozen=True, array_like=True, tag="feed"):
    """Changes of the store after a revision, sent by a hub to a follower.

    Attributes
    ----------
    after, as_of : Revision
        The message holds every change after the first revision up to the second.
    age, uptime : float
        Seconds since the store last answered the hub, and since the end of its last
        outage there; negative while the hub's calls fail.
    """

    after: Revision
    as_of: Revision
    age: Number
    uptime: Number
    changes: tuple[Change, ...] = ()


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A live entry, as listed by hubs."""

    name: str
    address: HostPort
    capacity: CoreCount
    is_draining: bool


class GroupSum(msgspec.Struct, frozen=True, array_like=True, tag="group"):
    """Summed statuses of a group, sent by its hub to the hubs of other groups.

    Attributes
    ----------
    loads, streams, needs
        As in ``Status``, summed over the members.
    leaving_targets : tuple
        As in ``Status``, the union over the members.
    limits : list
        As in ``Status``, the latest of the members.
    crashes : list
        As in ``Status``.
    """

    group: str
    members: tuple[Member, ...]
    loads: dict[str, Number] = {}
    streams: dict[str, Number] = {}
    needs: Needs = []
    leaving_targets: tuple[tuple[str, int], ...] = ()
    limits: list[LimitReport] = []
    crashes: list[CrashReport] = []


class Sums(msgspec.Struct, frozen=True, array_like=True, tag="sums"):
    """Summed statuses of all other entries, sent by a hub to a member of its group.

    Attributes
    ----------
    digest : int
        Digest of the live entries.
    roster : tuple of Member or None
        The live entries; None if the recipient's digest is current.
    """

    digest: int
    roster: tuple[Member, ...] | None
    loads: dict[str, Number] = {}
    streams: dict[str, Number] = {}
    needs: Needs = []
    leaving_targets: tuple[tuple[str, int], ...] = ()
    limits: list[LimitReport] = []
    crashes: list[CrashReport] = []


MESSAGES = (
    Status,
    StoreSnapshotRequest,
    StoreSnapshot,
    Follow,
    ChangeBatch,
    GroupSum,
    Sums,
)
