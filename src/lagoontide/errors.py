"""The tree of errors; each carries the step and the peer where it arose."""

from dataclasses import dataclass

__all__ = [
    "DocumentError",
    "LagoontideError",
    "PeerError",
    "PeerTimeout",
    "Problem",
    "RequestError",
    "RequestFailed",
    "SettingsError",
    "StoreConflict",
    "StoreError",
    "StoreUnavailable",
    "TargetError",
    "TargetFailed",
    "TargetRefused",
    "TargetUnreachable",
    "UsageError",
    "WireError",
]


class LagoontideError(Exception):
    """Base of all errors of the system.

    Parameters
    ----------
    message : str
        What went wrong, with the offending value.
    step : str, optional
        The stage or operation that was under way.
    peer : str, optional
        The process at the other end.

    Attributes
    ----------
    request : str
        Id of the caller's request that it ended, once that is known.
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
    """A settings file cannot be used."""


class UsageError(LagoontideError):
    """A command was called with arguments that it does not take."""


@dataclass(frozen=True, slots=True)
class Problem:
    """Something that is wrong in a configuration document.

    Attributes
    ----------
    place : str
        Keys from the top, joined by dots; items of lists by their index.
    """

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}" if self.place else self.text


class DocumentError(LagoontideError):
    """A configuration document is not valid.

    Parameters
    ----------
    problems : tuple of Problem
        Every problem found, each with its place in the document.
    """

    def __init__(
        self, problems: tuple[Problem, ...], *, step: str = "validate"
    ) -> None:
        super().__init__("; ".join(map(str, problems)), step=step)
        self.problems = problems


class WireError(LagoontideError):
    """A message between processes cannot be decoded."""


class PeerError(LagoontideError):
    """A peer process cannot be reached or broke the protocol."""


class PeerTimeout(PeerError):
    """A peer did not answer in time."""


class StoreError(LagoontideError):
    """The platform's key-value service refused or failed."""


class StoreUnavailable(StoreError):
    """The store gave no answer; a write may or may not have taken effect."""


class StoreConflict(StoreError):
    """A compare-and-swap found another version than the one expected."""


class TargetError(LagoontideError):
    """A target did not do its work."""


class TargetUnreachable(TargetError):
    """The target took no connection, so the work provably did not start."""


class TargetRefused(TargetError):
    """The target cannot use the input; it did nothing, nor would any other."""


class TargetFailed(TargetError):
    """The target was given the work and did not return a usable answer.

    Parameters
    ----------
    ran : bool
        False when the target itself stated that it did not start the work.
    """

    def __init__(
        self, message: str, *, step: str = "", peer: str = "", ran: bool = True
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.ran = ran


class RequestError(LagoontideError):
    """A caller's request is not acceptable; nothing was run.

    Parameters
    ----------
    status : int
        HTTP status code.
    retry_after : float, optional
        Seconds after which the caller may come back.
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
    """A request ended without its answer.

    Parameters
    ----------
    outcome : {"not_run", "failed", "unknown"}
        What is known of the work.
    repeat_safe : bool
        Whether no non-repeatable stage ran or may have run.
    retry_after : float, optional
        Seconds after which the caller may come back.
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
