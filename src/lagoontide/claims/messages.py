"""Messages between an entry and the owner of a partition of claims."""

import msgspec

__all__ = [
    "MESSAGES",
    "Busy",
    "ClaimAsk",
    "ClaimReply",
    "Granted",
    "Held",
    "NotOwner",
    "ReleaseAsk",
]


class ClaimAsk(msgspec.Struct, frozen=True, tag="claim"):
    """Asks for a key; asking twice for the same request does no harm.

    Attributes
    ----------
    key : bytes
        128-bit hash of client account and idempotency key.
    request : bytes
        Id of the request that wants it.
    digest : int
        Hash of route and body.
    budget : float
        Seconds that the request can wait.
    """

    partition: int
    key: bytes
    request: bytes
    digest: int
    budget: float


class ReleaseAsk(msgspec.Struct, frozen=True, tag="release"):
    """Says that a request ran nothing that may not be repeated, and never will."""

    partition: int
    key: bytes
    request: bytes


class Granted(msgspec.Struct, frozen=True, tag="granted"):
    """The claim is committed in the store."""


class Held(msgspec.Struct, frozen=True, tag="held"):
    """The key belongs to an earlier request."""

    request: bytes
    digest: int


class NotOwner(msgspec.Struct, frozen=True, tag="not_owner"):
    """Another entry owns the partition; its address, or empty if not known."""

    address: str


class Busy(msgspec.Struct, frozen=True, tag="busy"):
    """The claim was not committed and will not be."""

    reason: str


ClaimReply = Granted | Held | NotOwner | Busy

MESSAGES = (ClaimAsk, ReleaseAsk, Granted, Held, NotOwner, Busy)
