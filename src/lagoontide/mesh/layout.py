"""Groups of entries and their hubs, computed alike by every entry.

Hubs watch the store and aggregate statuses for the entries of their group.
"""

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from itertools import islice

from lagoontide.mesh.registration import EntryRecord
from lagoontide.targets.choose import rendezvous_hash

__all__ = ["HUBS_PER_GROUP", "MAX_ENTRIES_WITHOUT_HUBS", "Layout", "make_layout"]

# Up to this fleet size every entry watches the store itself.
MAX_ENTRIES_WITHOUT_HUBS = 12
# Largest mean group size: each hub gets several statuses a second from every member.
GROUP_SIZE = 24
# A group keeps working when one of its hubs is lost.
HUBS_PER_GROUP = 2


@dataclass(frozen=True, slots=True)
class Layout:
    """The groups of a fleet and the ranking of their entries.

    Attributes
    ----------
    group : str
        The group of this entry; "" if there are at most MAX_ENTRIES_WITHOUT_HUBS.
    ranked_entries : mapping
        The entries of each group by rank; the first ones are its hubs.
    """

    group: str
    ranked_entries: Mapping[str, tuple[str, ...]]

    def hubs(self, group: str, without: Collection[str] = ()) -> tuple[str, ...]:
        """Return the hubs of a group; the next ranks replace those in ``without``."""
        ranked = self.ranked_entries.get(group, ())
        return tuple(
            islice((name for name in ranked if name not in without), HUBS_PER_GROUP)
        )

    def remote_hub(self, name: str, without: Collection[str] = ()) -> str | None:
        """Return a hub of another group, chosen by hashing the entry's name."""
        others = [group for group in self.ranked_entries if group != self.group]
        for group in sorted(others, key=lambda group: rendezvous_hash(name, group)):
            if hubs := self.hubs(group, without):
                return hubs[rendezvous_hash(group, name) % len(hubs)]
        return None


def make_layout(
    name: str, own: EntryRecord, registered: Mapping[str, EntryRecord]
) -> Layout:
    """Return the layout of a fleet as seen by one entry.

    A group lies within one failure domain. Entries are ranked by capacity, largest
    first.
    """
    # This entry's own key may have expired while the store rejects its calls.
    entries = {name: own, **registered}
    if len(entries) <= MAX_ENTRIES_WITHOUT_HUBS:
        return Layout("", {})
    by_domain: defaultdict[str, list[str]] = defaultdict(list)
    for other, entry in entries.items():
        by_domain[entry.failure_domain].append(other)
    groups: defaultdict[str, list[str]] = defaultdict(list)
    for domain, names in by_domain.items():
        count = -(-len(names) // GROUP_SIZE)
        for other in names:
            groups[f"{domain}/{rendezvous_hash('group', other) % count}"].append(other)

    def rank(other: str) -> tuple[float, int]:
        return -entries[other].capacity, rendezvous_hash("hub", other)

    ranked_entries = {
        group: tuple(sorted(names, key=rank)) for group, names in groups.items()
    }
    group = next(group for group, names in ranked_entries.items() if name in names)
    return Layout(group, ranked_entries)
