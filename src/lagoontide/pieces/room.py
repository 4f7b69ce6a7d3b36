"""Allocation of the memory for results at stage targets."""

from collections.abc import Iterable, Sequence

from lagoontide.pieces.batch import PieceGroup

__all__ = ["select_fitting_groups"]


def select_fitting_groups(
    ranked: Sequence[PieceGroup], free_bytes: Iterable[float]
) -> list[PieceGroup]:
    """Return the groups whose results all fit into the free memory.

    Memory is allocated to whole groups, all or nothing: groups that hold memory for
    a part of their pieces could block each other until none of them can end
    (deadlock). Started groups are always returned, first, and keep memory reserved for
    their other pieces. The others follow in the given order; the first of them that
    does not fit reserves memory too, as smaller groups could starve it otherwise.

    Parameters
    ----------
    ranked : sequence of PieceGroup
        Groups in the order in which they should be served.
    free_bytes : iterable of float
        Bytes left for results at each target.
    """
    started = [group for group in ranked if group.is_started]
    unstarted = [group for group in ranked if not group.is_started]
    left = sum(max(0.0, free) for free in free_bytes)
    left -= sum(_required_bytes(group) for group in started)
    chosen = list(started)
    has_reserved = False
    for group in unstarted:
        required_bytes = _required_bytes(group)
        if required_bytes <= left:
            left -= required_bytes
            chosen.append(group)
        elif not has_reserved:
            has_reserved = True
            left -= required_bytes
    return chosen


def _required_bytes(group: PieceGroup) -> float:
    return len(group.waiting) * group.result_bytes
