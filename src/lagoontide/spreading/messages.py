"""Messages by which processes pass on configuration versions.

Digests are the 64-bit xxHash of a whole encoded document; ages are seconds since
the store last confirmed a version as its newest.
"""

import msgspec

__all__ = [
    "MESSAGES",
    "Change",
    "Changes",
    "Compare",
    "Fetch",
    "Offer",
    "Piece",
    "State",
]


class Compare(msgspec.Struct, frozen=True, tag="compare"):
    """What the asker holds; the answer is State, Changes or Offer."""

    version: int
    digest: int
    age: float


class State(msgspec.Struct, frozen=True, tag="state"):
    """What the sender holds, which is nothing newer than the asker's."""

    version: int
    digest: int
    age: float


class Change(msgspec.Struct, frozen=True):
    """The step from one version to a later one."""

    base: int
    version: int
    digest: int
    delta: bytes


class Changes(msgspec.Struct, frozen=True, tag="changes"):
    """Steps that lead to the sender's version, in order."""

    steps: tuple[Change, ...]
    age: float


class Offer(msgspec.Struct, frozen=True, tag="offer"):
    """A version that is to be fetched in pieces."""

    version: int
    digest: int
    size: int
    age: float


class Fetch(msgspec.Struct, frozen=True, tag="fetch"):
    """Asks for the piece of a version that begins at byte ``offset``."""

    version: int
    offset: int


class Piece(msgspec.Struct, frozen=True, tag="piece"):
    """Bytes of a version from ``offset`` on."""

    version: int
    offset: int
    data: bytes


MESSAGES = (Compare, State, Changes, Offer, Fetch, Piece)
