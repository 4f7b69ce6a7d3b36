"""Who watches the store, who passes on to whom, and who compares with whom."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lagoontide.membership.subset import pick_owner, pick_subset, rank
from lagoontide.store.instances import Instance

__all__ = ["Roles", "assign", "layers"]

WATCHERS = 3
FAN_OUT = 8
NEAR_VIEW = 3
FAR_VIEW = 3


@dataclass(frozen=True, slots=True)
class Roles:
    """What one process does for the spreading of versions.

    Attributes
    ----------
    watches : bool
        Whether it watches the store for its failure domain.
    children : tuple of Instance
        To whom it passes on each version at once.
    view : tuple of Instance
        Of whom it asks one now and then whether there is a newer version.
    """

    watches: bool
    children: tuple[Instance, ...]
    view: tuple[Instance, ...]


def assign(name: str, failure_domain: str, instances: Iterable[Instance]) -> Roles:
    """Return the roles of a process, by the platform's list alone.

    Processes whose lists differ for a while overlap or leave gaps in the tree;
    the comparison with the view covers the gaps.
    """
    others = [item for item in instances if item.name != name and item.address]
    near = {x.name: x for x in others if x.failure_domain == failure_domain}
    far = [x for x in others if x.failure_domain != failure_domain]
    tree = list(layers([name, *near]))
    level = next(number for number, layer in enumerate(tree) if name in layer)
    below = tree[level + 1] if level + 1 < len(tree) else []
    children = [child for child in below if pick_owner(child, tree[level]) == name]
    fellows = [fellow for fellow in tree[0] if fellow != name and level == 0]
    view = rank(name, near)[:NEAR_VIEW]
    return Roles(
        watches=level == 0,
        children=tuple(near[item] for item in (*fellows, *children)),
        view=(*(near[item] for item in view), *pick_subset(name, far, FAR_VIEW)),
    )


def layers(names: Iterable[str]) -> Iterator[list[str]]:
    """Yield the layers of a failure domain's tree, from its watchers down."""
    ordered = rank("tree", names)
    size = WATCHERS
    while ordered:
        yield ordered[:size]
        ordered = ordered[size:]
        size *= FAN_OUT
