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
    "Keep",
    "Kept",
    "MESSAGES",
    "NotRun",
    "Pending",
    "Recall",
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
    epoch : int
        Newest epoch of the agent that the sender had heard of.
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
    epoch: int = 0


class Settle(msgspec.Struct, frozen=True, tag="settle"):
    """Asks what became of an attempt; one not seen will never run afterwards.

    Attributes
    ----------
    epoch : int
        Of the call that is asked about.
    have : int
        Tokens of the whole generation that have arrived.
    """

    attempt: str
    incarnation: str
    epoch: int = 0
    have: int = 0


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Says that nobody waits for an attempt any more.

    With the incarnation and epoch of its call, one that has not arrived yet
    will not run.
    """

    attempt: str
    incarnation: str = ""
    epoch: int = 0


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
    tokens : list of str
        Tokens of a generation that this attempt gave, once more, so that none is
        missing when a message with some of them was lost.
    offset : int
        Position of the first of them in the whole.
    """

    attempt: str
    body: bytes
    digest: int
    load: Load
    waited: float = 0.0
    ran: float = 0.0
    tokens: list[str] = []
    offset: int = 0


class NotRun(msgspec.Struct, frozen=True, tag="not_run"):
    """The attempt did not run and never will.

    Attributes
    ----------
    final : bool
        Whether it would not run elsewhere either.
    """

    attempt: str
    reason: str
    load: Load = Load()
    final: bool = False


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
    running: bool = False


class Keep(msgspec.Struct, frozen=True, tag="keep"):
    """Asks an agent to keep a request's whole answer for a while."""

    request: str
    body: bytes
    digest: int


class Recall(msgspec.Struct, frozen=True, tag="recall"):
    """Asks for the answer of an earlier request."""

    request: str


class Kept(msgspec.Struct, frozen=True, tag="kept"):
    """The answer that is kept, or no body if there is none."""

    request: str
    body: bytes | None = None
    digest: int = 0


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
    Keep,
    Recall,
    Kept,
)


def is_whole(message: Call | Done | Keep | Kept) -> bool:
    """Whether a body arrived as it was sent."""
    body = message.body
    return body is not None and digest(body) == message.digest
