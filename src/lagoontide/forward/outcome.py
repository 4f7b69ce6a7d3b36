"""Outcomes of a request, and the tracking that proves that it did not run."""

from dataclasses import dataclass, field
from enum import StrEnum

from lagoontide.http1.messages import Response

__all__ = [
    "Answered",
    "EndReason",
    "NotRun",
    "Outcome",
    "Rejected",
    "Relayed",
    "SendTracker",
    "Unknown",
]


class EndReason(StrEnum):
    """Why an answer ended early, or never came.

    The list is closed. A target's silence is not among them: it ends no answer.
    """

    TARGET_BROKE_OFF = "target_broke_off"
    INVALID_RESPONSE = "invalid_response"
    # The target broke off, and no other one could take over.
    NO_SUCCESSOR = "no_successor"
    DEADLINE = "deadline"
    DRAIN = "drain"
    CALLER_LEFT = "caller_left"
    INTERNAL_ERROR = "internal_error"


@dataclass(frozen=True, slots=True)
class Answered:
    """A target's complete response, to be passed on unchanged."""

    response: Response


@dataclass(frozen=True, slots=True)
class Relayed:
    """The response was already sent, either in full or visibly truncated.

    Attributes
    ----------
    end : EndReason or None
        Why it was truncated.
    """

    is_complete: bool
    reason: str = ""
    end: EndReason | None = None


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is malformed, or the configuration does not allow it."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """No target has run the request or ever will.

    After a request has been sent, only a SendTracker may state this.

    Attributes
    ----------
    retry_after : float or None
        Seconds after which capacity should be available.
    end : EndReason or None
        Why there is no answer; None for a mere refusal.
    """

    reason: str
    retry_after: float | None = None
    end: EndReason | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """A target may have run the request, but there is no complete response.

    Attributes
    ----------
    end : EndReason or None
        Why there is none.
    """

    reason: str
    is_timeout: bool = False
    end: EndReason | None = None


Outcome = Answered | Relayed | Rejected | NotRun | Unknown


@dataclass(slots=True)
class SendTracker:
    """Tracks which sends of one request may have run at a target.

    Attributes
    ----------
    sends : int
        Number of sends so far, including refused ones.
    """

    sends: int = 0
    _unresolved: set[int] = field(default_factory=set)

    def register_send(self) -> int:
        """Count a send that may reach a target from now on; return its number."""
        self.sends += 1
        self._unresolved.add(self.sends)
        return self.sends

    def mark_not_run(self, number: int) -> None:
        """Record the proof that a send did not run and never will."""
        self._unresolved.discard(number)

    @property
    def has_not_run(self) -> bool:
        """Whether every send so far is proven not to have run."""
        return not self._unresolved

    def failure_outcome(
        self,
        reason: str,
        retry_after: float | None = None,
        is_timeout: bool = False,
        end: EndReason | None = None,
    ) -> NotRun | Unknown:
        """Return the outcome of a request without a response.

        It is NotRun only if every send is proven not to have run.
        """
        if self.has_not_run:
            return NotRun(reason, retry_after, end)
        return Unknown(reason, is_timeout, end)
