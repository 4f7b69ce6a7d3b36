"""Rendezvous hashing: bounded views that a change of the fleet moves little."""

from collections import defaultdict
from collections.abc import Iterable
from itertools import chain, islice, zip_longest

import xxhash

from lagoontide.store.instances import Instance

__all__ = ["SUBSET_SIZE", "pick_owner", "pick_subset", "rank", "score"]

# Agents of each service that an entry talks to.
SUBSET_SIZE = 12


def score(key: str, name: str) -> int:
    """Return how well ``name`` suits ``key``, as a 64-bit number."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names with the highest score first."""
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def pick_owner(key: str, names: Iterable[str]) -> str:
    """Return the name with the highest score; a loss moves its own keys only."""
    return max(names, key=lambda name: score(key, name))


def pick_subset(key: str, instances: Iterable[Instance], size: int) -> list[Instance]:
    """Return at most ``size`` instances, spread over their failure domains.

    Parameters
    ----------
    key : str
        Name of the process whose view it is.

    Notes
    -----
    Each failure domain ranks its own instances, and the domains give in turn, so
    an instance that comes or goes changes the view by one at most.
    """
    domains: dict[str, dict[str, Instance]] = defaultdict(dict)
    for item in instances:
        domains[item.failure_domain][item.name] = item
    turns = [
        [domains[domain][name] for name in rank(key, domains[domain])]
        for domain in rank(key, domains)
    ]
    rounds = chain.from_iterable(zip_longest(*turns))
    return list(islice((item for item in rounds if item is not None), size))
