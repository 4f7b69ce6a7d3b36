"""Exception hierarchy; errors carry the step and the peer that they concern."""

from dataclasses import dataclass

__all__ = [
    "DocumentError",
    "LagoontideError",
    "PeerError",
    "PeerTimeout",
    "Problem",
    "RequestFailed",
    "RequestRejected",
    "SettingsError",
    "StoreConflict",
    "StoreError",
    "StoreUnavailable",
    "TargetError",
    "TargetFailed",
    "TargetRejectedInput",
    "TargetUnreachable",
    "UsageError",
    "WireError",
]


class LagoontideError(Exception):
    """Base class of the errors that carry a step and a peer.

    Parameters
    ----------
    message : str
        What went wrong, with the offending value.
    step : str, optional
        The pipeline stage or operation that was in progress.
    peer : str, optional
        The remote process involved.

    Attributes
    ----------
    request : str
        Id of the caller's request that failed with this error; empty until known.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer
        self.request = ""

    def __str__(self) -> str:
        place = " ".join(
            f"{name}={value}"
            for name, value in (("step", self.step), ("peer", self.peer))
            if value
        )
        return f"{self.message} [{place}]" if place else self.message


class SettingsError(LagoontideError):
    """A settings file is missing, unreadable or invalid."""


class UsageError(LagoontideError):
    """A command was given a flag or a value that it does not accept."""


@dataclass(frozen=True, slots=True)
class Problem:
    """One validation problem of a configuration document.

    Attributes
    ----------
    place : str
        Path of keys from the root, joined by dots; list items appear as their index.
        Empty for a problem of the whole document.
    text : str
        What is wrong.
    """

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}" if self.place else self.text


class DocumentError(LagoontideError):
    """A configuration document failed validation.

    Parameters
    ----------
    problems : tuple of Problem
        All problems found, not only the first.
    """

    def __init__(
        self, problems: tuple[Problem, ...], *, step: str = "validate"
    ) -> None:
        super().__init__("; ".join(map(str, problems)), step=step)
        self.problems = problems


class WireError(LagoontideError):
    """A message or stored value cannot be decoded, or a socket cannot be bound."""


class PeerError(LagoontideError):
    """A peer process is unreachable or violated the protocol."""


class PeerTimeout(PeerError):
    """A peer did not answer before the timeout."""


class StoreError(LagoontideError):
    """The platform's key-value store rejected an operation or failed."""


class StoreUnavailable(StoreError):
    """The store gave no usable answer; a write may or may not have been applied."""


class StoreConflict(StoreError):
    """A compare-and-swap failed: the stored version is not the expected one."""


class TargetError(LagoontideError):
    """Base class of failed calls to a target."""


class TargetUnreachable(TargetError):
    """The target was not reached or refused the call unrun; the work did not start."""


class TargetRejectedInput(TargetError):
    """The target rejected the input without running it; a retry elsewhere would too."""


class TargetFailed(TargetError):
    """The target received the work but returned no usable answer.

    Parameters
    ----------
    ran : bool
        Whether the work may have run: False only if the target reported that it did
        not start it.
    """

    def __init__(
        self, message: str, *, step: str = "", peer: str = "", ran: bool = True
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.ran = ran


class RequestRejected(LagoontideError):
    """A request was rejected; none of its work was run.

    Parameters
    ----------
    status : int
        HTTP status code of the response.
    retry_after : float, optional
        Seconds after which the caller may retry.
    """

    def __init__(
        self,
        status: int,
        message: str,
        *,
        step: str = "request",
        peer: str = "",
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.status = status
        self.retry_after = retry_after


class RequestFailed(LagoontideError):
    """An accepted request ended without an answer.

    Parameters
    ----------
    outcome : {"not_run", "failed", "unknown"}
        What is known about the execution of the work.
    repeat_safe : bool
        Whether the caller may safely retry: False if a non-repeatable stage ran or
        may have run.
    retry_after : float, optional
        Seconds after which the caller may retry.
    """

    def __init__(
        self,
        outcome: str,
        message: str,
        *,
        step: str = "",
        peer: str = "",
        repeat_safe: bool = True,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome
        self.repeat_safe = repeat_safe
        self.retry_after = retry_after
