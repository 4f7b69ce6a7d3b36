"""Detection of a network partition that leaves an entry in a minority."""

from collections.abc import Iterable

__all__ = ["minority"]


def minority(
    name: str, others: Iterable[str], heard: int, first_wins_half: bool = False
) -> tuple[str, ...] | None:
    """Return the names of all entries, sorted, if an entry is in a minority.

    An entry is in a minority if it hears fewer than half of the entries, itself
    included. The others do not hear it either, so it uses only its own part of what
    cannot be divided without coordination.

    Parameters
    ----------
    heard : int
        Number of entries that it hears, itself included.
    first_wins_half : bool
        Whether exactly half is a minority too, except for the first entry by name.
    """
    names = tuple(sorted({name, *others}))
    is_half = first_wins_half and 2 * heard == len(names) and name != names[0]
    return names if 2 * heard < len(names) or is_half else None
