"""What callers asked and got."""

import re
from dataclasses import dataclass, field
from enum import StrEnum

from lagoontide.http1.messages import Fields
from lagoontide.platform.fields import PIECE_KEY, PIECES, TOKEN_COUNTS

__all__ = [
    "CRASHING_PART",
    "EVENTS",
    "KINDS",
    "NEW_ROUTE_KINDS",
    "PROMPT_KINDS",
    "Asked",
    "Event",
    "Kind",
    "Work",
]

EVENTS = 6
SUCCESS = 200
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
VERSION = re.compile(rb"^data: (\S+) token ", re.MULTILINE)
# Number, and the version that wrote it.
Event = tuple[int, str]


class Work(StrEnum):
    """What the requests of a kind are."""

    PLAIN = "plain"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes
    ----------
    is_once : bool
        Whether it may run no more than once.
    inputs : int
        Results of stages that its engine is given.
    shared_parts : tuple of str
        Parts of its prompt besides the last, which is each request's own.
    """

    path: str
    work: Work
    is_once: bool
    fields: Fields = field(default_factory=list)
    inputs: int = 0
    shared_parts: tuple[str, ...] = ()

    @property
    def is_resumable(self) -> bool:
        """Whether a stream of this kind may be taken up again."""
        return self.work is Work.STREAM and not self.is_once


STREAM: Fields = [(TOKEN_COUNTS, b"1200,%d" % EVENTS)]
STAGED: Fields = [*STREAM, (PIECES, b"2,3"), (PIECE_KEY, b"k")]
KINDS = (
    Kind("/safe/a", Work.PLAIN, is_once=False),
    Kind("/once/a", Work.PLAIN, is_once=True),
    Kind("/events/a", Work.STREAM, is_once=False, fields=STREAM),
    Kind("/staged/a", Work.STREAM, is_once=True, fields=STAGED, inputs=3),
)
NEW_ROUTE_KINDS = (Kind("/new/a", Work.PLAIN, is_once=False),)
# Targets crash as they begin to respond to a prompt with this part.
CRASHING_PART = "bad"
PROMPT_KINDS = tuple(
    Kind(
        "/events/a",
        Work.STREAM,
        is_once=False,
        fields=STREAM,
        shared_parts=("aa", part),
    )
    for part in ("bb", "cc", "dd", CRASHING_PART)
)


@dataclass(slots=True)
class Asked:
    """One request of a caller.

    Attributes
    ----------
    sent_at : float
        Loop time.
    status : int or None
        None if there was no whole head.
    is_whole : bool
        Whether the answer looked complete.
    has_left : bool
        Whether the caller gave up.
    has_broken_off : bool
        Whether the caller's own connection broke.
    entry : tuple
        Address of the entry that it was sent to.
    ended_at : float
        Loop time at which it was answered or broken off.
    resumes : str
        Id of the attempt that brought the first event; empty for a new request.
    last_event : int
        Number of the last event that earlier attempts brought.
    time_left : float
        Seconds to its deadline as it was sent; infinite if it names none.
    retry_after : float
        Seconds after which the entry told the caller to come back.
    """

    id: str
    kind: Kind
    key: str
    sent_at: float
    status: int | None = None
    body: bytes = b""
    is_sealed: bool = False
    is_whole: bool = False
    has_left: bool = False
    has_broken_off: bool = False
    entry: tuple[str, int] = ("", 0)
    ended_at: float = 0.0
    resumes: str = ""
    last_event: int = 0
    time_left: float = float("inf")
    retry_after: float = 0.0

    @property
    def is_crashing(self) -> bool:
        """Whether targets crash on it, so that it cannot be served."""
        return CRASHING_PART in self.kind.shared_parts

    @property
    def stream(self) -> str:
        """Id that all attempts at one stream share."""
        return self.resumes or self.id

    @property
    def events(self) -> list[Event]:
        """The events that came whole, each with a number, and its version if it has."""
        if self.status != SUCCESS:
            return []
        found = []
        for text in self.body.split(b"\n\n")[:-1]:
            number, version = EVENT_ID.search(text), VERSION.search(text)
            if number is not None:
                name = version[1].decode() if version is not None else ""
                found.append((int(number[1]), name))
        return found
