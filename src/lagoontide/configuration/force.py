"""How far a version is in force, by failure domain."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from lagoontide.configuration.holder import Holder

__all__ = ["DomainForce", "ReadForce", "make_own_view"]


@dataclass(frozen=True, slots=True)
class DomainForce:
    """What an entry knows of the processes of a failure domain.

    Attributes
    ----------
    known : int
        Processes whose version is known; 0 says that nothing is known.
    reached : int
        Those of them at the asked version or a newer one.
    """

    failure_domain: str
    known: int
    reached: int

    @property
    def is_unknown(self) -> bool:
        """Whether nobody told of this failure domain."""
        return self.known == 0


ReadForce = Callable[[int], Coroutine[Any, Any, tuple[DomainForce, ...]]]


def make_own_view(holder: Holder, failure_domain: str) -> ReadForce:
    """Return a view that knows of this process alone."""

    async def read(version: int) -> tuple[DomainForce, ...]:
        domains = holder.document.failure_domains if holder.is_ready else ()
        own = DomainForce(failure_domain, 1, int(holder.version >= version))
        others = (DomainForce(x, 0, 0) for x in domains if x != failure_domain)
        return (own, *others)

    return read
