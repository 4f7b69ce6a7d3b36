"""Which entries do duties for others: hubs, chosen from the same list everywhere."""

from collections import defaultdict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from itertools import islice

from lagoontide.mesh.register import EntryAddress
from lagoontide.targets.choose import weigh

__all__ = ["HUBS_A_GROUP", "SMALL_FLEET", "Layout", "make_layout"]

# Up to so many entries each follows the store by itself, and there are no hubs.
SMALL_FLEET = 12
# Entries that share hubs: each hub hears all of its group, a few times a second.
GROUP_SIZE = 24
# One of them may be lost at any time.
HUBS_A_GROUP = 2


@dataclass(frozen=True, slots=True)
class Layout:
    """The groups of a fleet.

    Attributes
    ----------
    group : str
        The group of this entry; "" in a small fleet, which has none.
    ranks : mapping
        The entries of each group; those in front are its hubs.
    """

    group: str
    ranks: Mapping[str, tuple[str, ...]]

    def hubs(self, group: str, without: Collection[str] = ()) -> tuple[str, ...]:
        """Return the hubs of a group, others in the place of those ``without``."""
        ranked = self.ranks.get(group, ())
        return tuple(
            islice((name for name in ranked if name not in without), HUBS_A_GROUP)
        )

    def far_hub(self, name: str, without: Collection[str] = ()) -> str | None:
        """Return a hub of another group for an entry, spread over all of them."""
        others = [group for group in self.ranks if group != self.group]
        for group in sorted(others, key=lambda group: weigh(name, group)):
            if hubs := self.hubs(group, without):
                return hubs[weigh(group, name) % len(hubs)]
        return None


def make_layout(
    name: str, own: EntryAddress, registered: Mapping[str, EntryAddress]
) -> Layout:
    """Return the groups of a fleet, as an entry sees them.

    A group is of one failure domain. The largest instances of a group come first.
    """
    # Its own key may have lapsed while the store turns it away.
    entries = {name: own, **registered}
    if len(entries) <= SMALL_FLEET:
        return Layout("", {})
    by_domain: defaultdict[str, list[str]] = defaultdict(list)
    for other, entry in entries.items():
        by_domain[entry.failure_domain].append(other)
    groups: defaultdict[str, list[str]] = defaultdict(list)
    for domain, names in by_domain.items():
        count = -(-len(names) // GROUP_SIZE)
        for other in names:
            groups[f"{domain}/{weigh('group', other) % count}"].append(other)

    def rank(other: str) -> tuple[float, int]:
        return -entries[other].capacity, weigh("hub", other)

    ranks = {group: tuple(sorted(names, key=rank)) for group, names in groups.items()}
    group = next(group for group, names in ranks.items() if name in names)
    return Layout(group, ranks)
