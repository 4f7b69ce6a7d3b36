"""What entries tell each other."""

import msgspec

from lagoontide.mesh.register import EntryAddress
from lagoontide.targets.records import Target

__all__ = [
    "MESSAGES",
    "AskBeliefs",
    "Beliefs",
    "Change",
    "Feed",
    "Follow",
    "GroupSum",
    "Member",
    "Needs",
    "Status",
    "Sums",
]

# Service, urgency and target seconds of stage work.
Needs = list[tuple[str, int, float]]


class Status(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """How an entry is, sent to its peers all the time.

    Attributes
    ----------
    address : str
        ``IP:PORT`` where it listens for peers.
    capacity : float
        Its processor cores.
    plan_revision, as_of : int
        Store revisions of its configuration and of all that it has seen.
    loads : dict of str to float
        Its own work at each target, by id.
    streams : dict of str to float
        Its own long streams at each target, by id.
    left : tuple
        Id and start of targets that it knows to take no more work.
    needs : list
        Service, urgency and target seconds of the stage work that its requests
        need.
    peers : tuple of str
        Addresses of the entries that it hears.
    group : str
        Its group in a large fleet; "" where all hear all.
    digest : int
        Of the list of live entries that it has; see ``Sums``.
    wants_sums : bool
        Whether the hub that gets this status is to answer with sums.
    """

    name: str
    address: str
    is_leaving: bool
    capacity: float
    plan_revision: int
    as_of: int
    loads: dict[str, float] = {}
    streams: dict[str, float] = {}
    left: tuple[tuple[str, int], ...] = ()
    peers: tuple[str, ...] = ()
    needs: Needs = []
    group: str = ""
    digest: int = 0
    wants_sums: bool = False


class AskBeliefs(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks a peer that has seen more of the store for what it knows."""

    as_of: int


class Beliefs(msgspec.Struct, frozen=True, array_like=True, tag="beliefs"):
    """What an entry has from the store.

    Attributes
    ----------
    plan : bytes
        The configuration as it stands in the store; empty if unknown.
    entries : dict
        The entries that are registered there, by name.
    kept, kept_entries : dict
        Seconds for which targets, and entries, are kept that the store lacks since
        an outage.
    """

    as_of: int
    plan_revision: int
    plan: bytes
    targets: tuple[Target, ...]
    entries: dict[str, EntryAddress] = {}
    kept: dict[str, float] = {}
    kept_entries: dict[str, float] = {}


class Follow(msgspec.Struct, frozen=True, array_like=True, tag="follow"):
    """Asks a hub for the store's changes after a revision, for a second or so."""

    as_of: int


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A change of the store as it is sent on.

    Attributes
    ----------
    packed : bytes
        The value, compressed.
    """

    key: str
    revision: int
    is_deleted: bool
    packed: bytes


class Feed(msgspec.Struct, frozen=True, array_like=True, tag="feed"):
    """The store's changes after a revision, from a hub to one that follows.

    Attributes
    ----------
    after, as_of : int
        The changes are all from after the first to the second revision.
    age, up_for : float
        Seconds since the store's last answer to the hub; since its return.
    """

    after: int
    as_of: int
    age: float
    up_for: float
    changes: tuple[Change, ...] = ()


class Member(msgspec.Struct, frozen=True, array_like=True):
    """An entry that is there, as hubs tell of it."""

    name: str
    address: str
    capacity: float
    is_leaving: bool


class GroupSum(msgspec.Struct, frozen=True, array_like=True, tag="group"):
    """What the entries of a group have in common, from its hub to other hubs.

    Attributes
    ----------
    loads, streams, needs
        As in ``Status``, summed.
    left : tuple
        As in ``Status``, of all.
    """

    group: str
    members: tuple[Member, ...]
    loads: dict[str, float] = {}
    streams: dict[str, float] = {}
    needs: Needs = []
    left: tuple[tuple[str, int], ...] = ()


class Sums(msgspec.Struct, frozen=True, array_like=True, tag="sums"):
    """What all other entries have, from a hub to an entry of its group.

    Attributes
    ----------
    digest : int
        Of the live entries.
    roster : tuple of Member or None
        The live entries; None if the entry has them already.
    """

    digest: int
    roster: tuple[Member, ...] | None
    loads: dict[str, float] = {}
    streams: dict[str, float] = {}
    needs: Needs = []
    left: tuple[tuple[str, int], ...] = ()


MESSAGES = (Status, AskBeliefs, Beliefs, Follow, Feed, GroupSum, Sums)
