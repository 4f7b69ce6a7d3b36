"""Records of targets, as they are registered in the store."""

from dataclasses import dataclass
from enum import StrEnum

from lagoontide.decoding import Int64, Number
from lagoontide.store.revision_store import Revision

__all__ = ["Target", "TargetState"]


class TargetState(StrEnum):
    """Whether a target takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Target:
    """A target's registration.

    Attributes
    ----------
    host, port : str, int
        Address at which it listens.
    born : int
        Unix time of its start in ms; 0 if unknown.
    slots : int
        Requests that it runs concurrently.
    cold_left : float
        Seconds for which it stays cold, at the time of the registration.
    revision : Revision
        The store's revision of the registration.
    version : str
        Version of its software, to be compared for equality only; "" if unknown.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    state: TargetState
    born: Int64 = 0
    slots: Int64 = 1
    revision: Revision = Revision()
    cold_left: Number = 0.0
    version: str = ""

    @property
    def address(self) -> str:
        """The address as ``IP:PORT``."""
        return f"{self.host}:{self.port}"

    @property
    def key(self) -> tuple[str, int]:
        """Id and start time; a restarted target has no state of its earlier run."""
        return self.id, self.born
