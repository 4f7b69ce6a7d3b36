"""How far a version is in force, by failure domain.

Every message between processes is stamped with its sender's version. A process
that listens to the stamps of those it talks to knows, without a message more, how
far they are; of the others it says that it knows nothing.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from lagoontide.configuration.holder import Holder
from lagoontide.store.instances import Instance

__all__ = ["DomainForce", "ForceView", "ReadForce"]

# Peers that were silent for longer are not counted.
HEARD_S = 30.0


@dataclass(frozen=True, slots=True)
class DomainForce:
    """What an entry knows of the processes of a failure domain.

    Attributes
    ----------
    known : int
        Processes that it has heard from lately; 0 says that nothing is known.
    reached : int
        Those of them at the asked version or a newer one.
    listed : int
        Processes of the platform's list.
    """

    failure_domain: str
    known: int
    reached: int
    listed: int

    @property
    def is_unknown(self) -> bool:
        """Whether nobody told of this failure domain."""
        return self.known == 0


ReadForce = Callable[[int], Coroutine[Any, Any, tuple[DomainForce, ...]]]


class ForceView:
    """The versions of this process and of the peers it hears from.

    Parameters
    ----------
    name, failure_domain : str
        Of this process.
    """

    def __init__(self, holder: Holder, name: str, failure_domain: str) -> None:
        self._holder = holder
        self._name = name
        self._domains = {name: failure_domain}
        self._own_domain = failure_domain
        self._heard: dict[str, tuple[int, float]] = {}
        self._loop = asyncio.get_running_loop()

    def note(self, peer: str, version: int) -> None:
        """Take the stamp of a message; who is not on the list is left out."""
        if peer in self._domains:
            self._heard[peer] = (version, self._loop.time())

    def apply(self, instances: tuple[Instance, ...]) -> None:
        """Take the platform's list; who is not on it is forgotten."""
        self._domains = {item.name: item.failure_domain for item in instances}
        self._domains[self._name] = self._own_domain
        self._heard = {
            name: heard for name, heard in self._heard.items() if name in self._domains
        }

    async def read(self, version: int) -> tuple[DomainForce, ...]:
        """Return how far a version is in force in each failure domain."""
        since = self._loop.time() - HEARD_S
        heard = {name: held for name, (held, at) in self._heard.items() if at >= since}
        heard[self._name] = self._holder.version
        names: dict[str, list[str]] = {domain: [] for domain in self._list_domains()}
        for name, domain in self._domains.items():
            names.setdefault(domain, []).append(name)
        return tuple(
            DomainForce(
                failure_domain=domain,
                known=sum(name in heard for name in members),
                reached=sum(heard.get(name, -1) >= version for name in members),
                listed=len(members),
            )
            for domain, members in names.items()
        )

    def _list_domains(self) -> tuple[str, ...]:
        """Return the document's failure domains; those of the list come besides."""
        return self._holder.document.failure_domains if self._holder.is_ready else ()
