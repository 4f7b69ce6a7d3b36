"""Sums by pool and failure domain, estimated from the links of one process."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from lagoontide.membership.link import Link
from lagoontide.store.instances import Instance, InstanceState, Role

__all__ = ["Cell", "estimate_cells"]


@dataclass(frozen=True, slots=True)
class Cell:
    """The agents of one service in one failure domain.

    Attributes
    ----------
    listed : int
        Agents that the platform's list shows as live.
    linked, usable : int
        Agents that this process talks to, and those that take work.
    queued, running, limit : float
        Estimates for all that are listed, from those that are usable.
    """

    service: str
    failure_domain: str
    listed: int
    linked: int
    usable: int
    queued: float
    running: float
    limit: float


def estimate_cells(
    instances: Iterable[Instance], links: Iterable[Link]
) -> tuple[Cell, ...]:
    """Return the sums of all pools and failure domains.

    The links are a uniform sample of each pool, because their choice is by hash,
    so that no message has to carry sums between processes.
    """
    listed = Counter(
        (item.service, item.failure_domain)
        for item in instances
        if item.role is Role.AGENT and item.state is InstanceState.LIVE
    )
    groups: dict[tuple[str, str], list[Link]] = {key: [] for key in listed}
    for link in links:
        key = (link.instance.service, link.instance.failure_domain)
        groups.setdefault(key, []).append(link)
    return tuple(
        _sum_up(key, listed[key], group) for key, group in sorted(groups.items())
    )


def _sum_up(key: tuple[str, str], listed: int, links: list[Link]) -> Cell:
    usable = [link for link in links if link.is_usable]
    share = listed / len(usable) if usable else 0.0
    return Cell(
        service=key[0],
        failure_domain=key[1],
        listed=listed,
        linked=len(links),
        usable=len(usable),
        queued=share * sum(link.load.queued for link in usable),
        running=share * sum(link.load.running for link in usable),
        limit=share * sum(link.load.limit for link in usable),
    )
