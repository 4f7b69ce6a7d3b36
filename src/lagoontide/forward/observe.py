"""Interface for logging and measuring completed requests."""

from typing import Protocol

from lagoontide.forward.call import Call
from lagoontide.forward.outcome import (
    Answered,
    EndReason,
    NotRun,
    Outcome,
    Rejected,
    Relayed,
    Unknown,
)
from lagoontide.http1.server import Request

__all__ = ["Observer", "describe_outcome", "end_reason"]


class Observer(Protocol):
    """Is notified of each request that has ended."""

    def record_outcome(
        self, req: Request, call: Call | None, outcome: Outcome | None, seconds: float
    ) -> None:
        """Record the end of a request.

        Parameters
        ----------
        call : Call or None
            None if the request was rejected before it was resolved to a call.
        outcome : Outcome or None
            None if the caller disconnected before there was one.
        seconds : float
            Time since the first byte of the request.
        """


def describe_outcome(outcome: Outcome | None) -> tuple[str, str]:
    """Return the short name of an outcome, and its reason."""
    match outcome:
        case Answered(response):
            return f"answered_{response.status // 100}xx", ""
        case Relayed(is_complete, reason):
            return ("streamed" if is_complete else "cut"), reason
        case Rejected(status, reason):
            return f"rejected_{status}", reason
        case NotRun(reason):
            return "not_run", reason
        case Unknown(reason, is_timeout):
            return "unknown_timeout" if is_timeout else "unknown", reason
        case None:
            return "caller_left", ""


def end_reason(outcome: Outcome | None) -> EndReason | None:
    """Return why an answer ended early or never came; None if it did not."""
    match outcome:
        case None:
            return EndReason.CALLER_LEFT
        case Relayed(is_complete=False, end=end):
            return end or EndReason.TARGET_BROKE_OFF
        case Unknown(end=end):
            return end or EndReason.TARGET_BROKE_OFF
        case NotRun(end=end):
            return end
    return None
