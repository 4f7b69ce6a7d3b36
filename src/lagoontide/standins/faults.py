"""Faults that a test or an operator's drill puts into a stand-in."""

import asyncio
from dataclasses import dataclass, field

import msgspec

__all__ = ["FaultOrder", "Faults"]


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """A change of faults, as the control port takes it; None leaves as it is.

    Attributes
    ----------
    slow : float
        Factor on every duration.
    stalled : bool
        Whether work stops while health checks go on.
    down : bool
        Whether calls are refused.
    cut_after : int
        Tokens after which the next stream is cut; -1 for none.
    drop_answers : int
        Answers that are lost after their work took effect.
    """

    slow: float | None = None
    stalled: bool | None = None
    down: bool | None = None
    cut_after: int | None = None
    drop_answers: int | None = None


@dataclass(slots=True)
class Faults:
    """Faults in force in one stand-in."""

    slow: float = 1.0
    stalled: bool = False
    down: bool = False
    cut_after: int = -1
    drop_answers: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def apply(self, order: FaultOrder) -> None:
        """Put a change into force."""
        for name in order.__struct_fields__:
            value = getattr(order, name)
            if value is not None:
                setattr(self, name, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def pass_stall(self) -> None:
        """Return at once, or when a stall has ended."""
        while self.stalled:
            await self._changed.wait()

    def take_drop(self) -> bool:
        """Whether the answer at hand is to be lost."""
        if self.drop_answers <= 0:
            return False
        self.drop_answers -= 1
        return True
