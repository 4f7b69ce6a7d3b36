"""Messages of a stage call between entry and agent."""

import msgspec
import xxhash

from lagoontide.configuration.document import Priority
from lagoontide.scheduling.load import Load

__all__ = [
    "Call",
    "Cancel",
    "Done",
    "Failed",
    "MESSAGES",
    "NotRun",
    "Pending",
    "Reply",
    "Settle",
    "Tokens",
    "Unknown",
    "digest",
    "is_whole",
]


def digest(body: bytes) -> int:
    """Return the 64-bit hash that travels with a body."""
    return xxhash.xxh3_64_intdigest(body)


class Call(msgspec.Struct, frozen=True, tag="call"):
    """Work for a target.

    Attributes
    ----------
    attempt : str
        Id of this attempt, never used again.
    incarnation : str
        The agent process that is meant.
    budget : float
        Seconds left when the message was sent.
    digest : int
        Hash of the body.
    resume : tuple of str
        Tokens of a generation that earlier attempts gave.
    size : int
        Tokens that the work may give at most; 0 if that is no matter.
    """

    attempt: str
    request: str
    stage: str
    incarnation: str
    operation: str
    account: str
    weight: float
    priority: Priority
    budget: float
    repeatable: bool
    streams: bool
    body: bytes
    digest: int
    resume: tuple[str, ...] = ()
    size: int = 0


class Settle(msgspec.Struct, frozen=True, tag="settle"):
    """Asks what became of an attempt; one not seen will never run afterwards."""

    attempt: str
    incarnation: str


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Says that nobody waits for an attempt any more."""

    attempt: str


class Tokens(msgspec.Struct, frozen=True, tag="tokens"):
    """Tokens of a generation, from position ``offset`` of the whole."""

    attempt: str
    offset: int
    tokens: list[str]


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The attempt ran and this is its result.

    Attributes
    ----------
    waited, ran : float
        Seconds in the agent's queue and at the target.
    """

    attempt: str
    body: bytes
    digest: int
    load: Load
    waited: float = 0.0
    ran: float = 0.0


class NotRun(msgspec.Struct, frozen=True, tag="not_run"):
    """The attempt did not run and never will."""

    attempt: str
    reason: str
    load: Load = Load()


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The attempt was started and gave no usable result."""

    attempt: str
    reason: str
    load: Load = Load()


class Unknown(msgspec.Struct, frozen=True, tag="unknown"):
    """Nobody can say whether the attempt ran."""

    attempt: str
    reason: str


class Pending(msgspec.Struct, frozen=True, tag="pending"):
    """The attempt waits or runs."""

    attempt: str
    load: Load


Reply = Done | NotRun | Failed | Unknown | Pending | Tokens

MESSAGES = (
    Call,
    Settle,
    Cancel,
    Tokens,
    Done,
    NotRun,
    Failed,
    Unknown,
    Pending,
)


def is_whole(message: Call | Done) -> bool:
    """Whether a body arrived as it was sent."""
    return digest(message.body) == message.digest
