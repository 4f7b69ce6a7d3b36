"""Pieces of stages, and what became of them."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from lagoontide.targets.records import Target

__all__ = ["Failure", "Piece", "PieceResult", "PieceTargets"]


class Failure(StrEnum):
    """Why a piece was not made."""

    LATE = "late"
    INPUT_GONE = "input gone"
    NO_ROOM = "no room"
    ERROR = "error"
    MOVED = "another owner"


@dataclass(frozen=True, slots=True)
class Piece:
    """One piece of one stage of one request.

    Attributes
    ----------
    key : str
        What a stage without inputs works on.
    inputs : tuple of str
        Results that it takes, for a stage that has some.
    time_left : float
        Seconds after which it is of no use.
    """

    request_id: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]
    time_left: float


@dataclass(frozen=True, slots=True)
class PieceResult:
    """What a target says of a piece.

    Attributes
    ----------
    handle : str
        Where the result lies; empty if there is none.
    """

    handle: str = ""
    failure: Failure | None = None


class PieceTargets(Protocol):
    """Calls to the targets of stages."""

    async def make(
        self, target: Target, pieces: tuple[Piece, ...], timeout: float
    ) -> tuple[PieceResult, ...]:
        """Have pieces made; one result each, in order.

        Raises
        ------
        TargetUnreachable
            If the call provably did not start.
        TargetFailed
            If there is no usable answer.
        """

    async def free(self, target: Target, handles: tuple[str, ...]) -> None:
        """Give results up; raises TargetFailed."""

    async def is_at_work(self, target: Target) -> bool:
        """Return whether a target has a call, as it says on a new connection.

        One that does not answer is not.
        """

    async def free_room(self, target: Target) -> float:
        """Return the most bytes that a target may have left; TargetFailed."""

    def maker_of(self, handle: str) -> str:
        """Return the address of the target where a result lies."""
