"""The version that a process holds and the steps that led to it."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from loguru import logger

from lagoontide.configuration.document import digest_document
from lagoontide.spreading.delta import apply_delta, make_delta
from lagoontide.spreading.messages import Change, Changes, Offer, Piece, State

__all__ = ["Adopt", "Copies", "Copy"]

KEPT_STEPS = 64
MAX_STEPS_BYTES = 64 << 10
PIECE_BYTES = 64 << 10

# Puts an encoded document in force; raises msgspec.DecodeError if it is none.
Adopt = Callable[[int, bytes], None]


@dataclass(frozen=True, slots=True)
class Copy:
    """An encoded document with its version in the store."""

    version: int
    digest: int
    data: bytes


class Copies:
    """Holds the newest copy; a version only rises.

    Parameters
    ----------
    adopt : callable
        Called with each version and document before it replaces the last.

    Attributes
    ----------
    refused : int
        Copies that did not have their digest or were no documents.
    """

    def __init__(self, adopt: Adopt) -> None:
        self.copy = Copy(0, 0, b"")
        self.refused = 0
        self._adopt = adopt
        self._steps: deque[Change] = deque(maxlen=KEPT_STEPS)

    @property
    def version(self) -> int:
        """Version held; 0 before the first."""
        return self.copy.version

    def take(self, version: int, data: bytes, digest: int | None = None) -> bool:
        """Adopt a whole document if it is newer; return whether it was adopted.

        Parameters
        ----------
        digest : int or None
            What the document must have; None if it comes from the store.
        """
        if version <= self.version:
            return False
        found = digest_document(data)
        if digest is not None and found != digest:
            return self._refuse(version, "has another digest")
        old = self.copy
        try:
            self._adopt(version, data)
            delta = make_delta(old.data, data) if old.version else b""
        except msgspec.DecodeError as exc:
            return self._refuse(version, f"is no document: {exc}")
        if old.version:
            self._steps.append(Change(old.version, version, found, delta))
        self.copy = Copy(version, found, data)
        return True

    def take_steps(self, steps: tuple[Change, ...]) -> bool:
        """Follow the steps that begin at the version held; return whether any did."""
        moved = False
        for step in steps:
            if step.base == self.version and step.version > step.base:
                moved = self._take_step(step) or moved
        return moved

    def answer(self, version: int, age: float) -> State | Changes | Offer:
        """Return what a process that holds ``version`` needs to know."""
        copy = self.copy
        if version >= copy.version:
            return State(copy.version, copy.digest, age)
        steps = self._find_steps(version)
        if steps:
            return Changes(steps, age)
        return Offer(copy.version, copy.digest, len(copy.data), age)

    def answer_newest(self, age: float) -> Changes | Offer:
        """Return the newest step, or the offer of the whole."""
        copy = self.copy
        step = self._steps[-1] if self._steps else None
        if step is not None and len(step.delta) <= MAX_STEPS_BYTES:
            return Changes((step,), age)
        return Offer(copy.version, copy.digest, len(copy.data), age)

    def cut(self, version: int, offset: int) -> Piece | None:
        """Return a piece of the version held, or None if it is another one."""
        if version != self.version or not 0 <= offset < len(self.copy.data):
            return None
        data = self.copy.data[offset : offset + PIECE_BYTES]
        return Piece(version, offset, data)

    def _take_step(self, step: Change) -> bool:
        try:
            data = apply_delta(self.copy.data, step.delta)
        except msgspec.DecodeError as exc:
            return self._refuse(step.version, f"is no document: {exc}")
        return self.take(step.version, data, step.digest)

    def _find_steps(self, version: int) -> tuple[Change, ...]:
        """Return the steps from a version on; none if they are not kept or long."""
        steps = tuple(step for step in self._steps if step.base >= version)
        if not steps or steps[0].base != version:
            return ()
        if sum(len(step.delta) for step in steps) > MAX_STEPS_BYTES:
            return ()
        return steps

    def _refuse(self, version: int, reason: str) -> bool:
        self.refused += 1
        logger.bind(step="spreading").warning("version {} {}", version, reason)
        return False
