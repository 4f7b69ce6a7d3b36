"""Outcomes of a request, and the tracking that proves that it did not run."""

from dataclasses import dataclass, field

from lagoontide.http1.messages import Response

__all__ = [
    "Answered",
    "NotRun",
    "Outcome",
    "Rejected",
    "Relayed",
    "SendTracker",
    "Unknown",
]


@dataclass(frozen=True, slots=True)
class Answered:
    """A target's complete response, to be passed on unchanged."""

    response: Response


@dataclass(frozen=True, slots=True)
class Relayed:
    """The response was already sent, either in full or visibly truncated."""

    is_complete: bool
    reason: str = ""


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
    """

    reason: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """A target may have run the request, but there is no complete response."""

    reason: str
    is_timeout: bool = False


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

    def failure_outcome(
        self, reason: str, retry_after: float | None = None, is_timeout: bool = False
    ) -> NotRun | Unknown:
        """Return the outcome of a request without a response.

        It is NotRun only if every send is proven not to have run.
        """
        if self._unresolved:
            return Unknown(reason, is_timeout)
        return NotRun(reason, retry_after)
