"""The version that a process holds and the steps that led to it."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from loguru import logger

from lagoontide.configuration.document import (
    decode_bytes,
    digest_document,
    pack_bytes,
)
from lagoontide.spreading.delta import apply_delta, make_delta
from lagoontide.spreading.messages import Change, Changes, Offer, Piece, State

__all__ = ["Adopt", "Copies", "Copy"]

KEPT_STEPS = 64
MAX_STEP_BYTES = 16 << 10
MAX_STEPS_BYTES = 64 << 10
PIECE_BYTES = 64 << 10

# Puts an encoded document in force; raises msgspec.DecodeError if it is none.
Adopt = Callable[[int, bytes], None]


@dataclass(frozen=True, slots=True)
class Copy:
    """A document in plain msgpack with its version in the store."""

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
        self._packed = (0, b"")
        self._steps: deque[Change] = deque(maxlen=KEPT_STEPS)

    @property
    def version(self) -> int:
        """Version held; 0 before the first."""
        return self.copy.version

    def take(self, version: int, data: bytes, digest: int | None = None) -> bool:
        """Adopt a whole document if it is newer; return whether it was adopted.

        Parameters
        ----------
        data : bytes
            As the store or a peer gave it, perhaps deflated.
        digest : int or None
            What the document must have; None if it comes from the store.
        """
        if version <= self.version:
            return False
        old = self.copy
        try:
            plain = decode_bytes(data)
            if not self._replace(version, plain, digest):
                return False
            self._keep_step(old, self.copy)
        except msgspec.DecodeError as exc:
            return self._refuse(version, f"is no document: {exc}")
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
        return self._offer(age)

    def answer_newest(self, age: float) -> Changes | Offer:
        """Return the newest step, or the offer of the whole."""
        step = self._steps[-1] if self._steps else None
        if step is not None and step.version == self.version:
            return Changes((step,), age)
        return self._offer(age)

    def cut(self, version: int, offset: int) -> Piece | None:
        """Return a piece of the version held, or None if it is another one."""
        packed = self._pack()
        if version != self.version or not 0 <= offset < len(packed):
            return None
        return Piece(version, offset, packed[offset : offset + PIECE_BYTES])

    def _take_step(self, step: Change) -> bool:
        try:
            plain = apply_delta(self.copy.data, step.delta)
            if not self._replace(step.version, plain, step.digest):
                return False
        except msgspec.DecodeError as exc:
            return self._refuse(step.version, f"is no document: {exc}")
        self._steps.append(step)
        return True

    def _replace(self, version: int, plain: bytes, digest: int | None) -> bool:
        found = digest_document(plain)
        if digest is not None and found != digest:
            return self._refuse(version, "has another digest")
        self._adopt(version, plain)
        self.copy = Copy(version, found, plain)
        return True

    def _keep_step(self, old: Copy, new: Copy) -> None:
        """Keep the step from one copy to the next if it is short and exact."""
        if not old.version:
            return
        delta = make_delta(old.data, new.data)
        if len(delta) <= MAX_STEP_BYTES and apply_delta(old.data, delta) == new.data:
            self._steps.append(Change(old.version, new.version, new.digest, delta))

    def _offer(self, age: float) -> Offer:
        copy = self.copy
        return Offer(copy.version, copy.digest, len(self._pack()), age)

    def _pack(self) -> bytes:
        """Return the copy as it travels, deflated once for each version."""
        if self._packed[0] != self.version:
            self._packed = (self.version, pack_bytes(self.copy.data))
        return self._packed[1]

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
