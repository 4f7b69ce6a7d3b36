"""Pieces of stages, their results and the interface to stage targets."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from lagoontide.targets.records import Target

__all__ = ["Failure", "Piece", "PieceClient", "PieceResult"]


class Failure(StrEnum):
    """Reason why a piece was not made."""

    DEADLINE_EXCEEDED = "late"
    INPUT_GONE = "input gone"
    NO_ROOM = "no room"
    ERROR = "error"
    NOT_OWNER = "another owner"
    QUARANTINED = "targets crashed on pieces like this"


@dataclass(frozen=True, slots=True)
class Piece:
    """Unit of work of a stage of a request; yields one result.

    Attributes
    ----------
    key : str
        Input of a stage that takes no results of other stages.
    inputs : tuple of str
        Handles of the results that it takes; empty for a stage without inputs.
    time_left : float
        Seconds until the deadline, after which the result is useless.
    """

    request_id: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]
    time_left: float


@dataclass(frozen=True, slots=True)
class PieceResult:
    """Outcome of a piece as reported by a target.

    Attributes
    ----------
    handle : str
        Reference to the stored result; empty if there is none.
    """

    handle: str = ""
    failure: Failure | None = None


class PieceClient(Protocol):
    """Client for calls to stage targets."""

    async def make(
        self, target: Target, pieces: tuple[Piece, ...], timeout: float
    ) -> tuple[PieceResult, ...]:
        """Make pieces; return one result for each, in order.

        Raises
        ------
        TargetUnreachable
            If the target certainly did not start the call.
        TargetFailed
            If there is no valid answer.
        """

    async def free(self, target: Target, handles: tuple[str, ...]) -> None:
        """Free results; raise TargetFailed if there is no valid answer."""

    async def is_busy(self, target: Target) -> bool:
        """Return whether a target reports work in progress, asked on a new connection.

        A target that does not answer counts as idle, one whose rate limit does not
        admit the question as busy.
        """

    async def has_ended(self, target: Target) -> bool:
        """Return whether a target, whose connection broke, has ended unannounced."""

    async def query_free_bytes(self, target: Target) -> float:
        """Return an upper bound of the bytes that a target has left for results.

        Raises TargetFailed if there is no valid answer.
        """

    def address_of(self, handle: str) -> str:
        """Return the address of the target that stores a result."""
