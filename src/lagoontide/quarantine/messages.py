"""Messages between entries about trials."""

import msgspec

from lagoontide.decoding import Number
from lagoontide.quarantine.records import CrashReport

__all__ = ["MESSAGES", "TrialEnd", "TrialReply", "TrialRequest"]


class TrialRequest(msgspec.Struct, frozen=True, array_like=True, tag="trial"):
    """Asks the coordinator whether a suspect request may run.

    Attributes
    ----------
    keys : tuple of str
        The keys under suspicion.
    target : str
        Id of the target that would run it.
    seconds : float
        Time after which the trial is over at the latest.
    reports : list
        The crashes that the sender knows of.
    """

    id: str
    keys: tuple[str, ...]
    target: str
    seconds: Number
    reports: list[CrashReport] = []


class TrialReply(msgspec.Struct, frozen=True, array_like=True, tag="trial-reply"):
    """Answers a ``TrialRequest``.

    Attributes
    ----------
    wait : float
        0 if the request may run; else seconds after which to ask again.
    is_repeat : bool
        Whether the trial under way is of the same request.
    """

    wait: Number
    is_repeat: bool = False


class TrialEnd(msgspec.Struct, frozen=True, array_like=True, tag="trial-end"):
    """Tells the coordinator that a trial is over, and which crashes are known since."""

    id: str
    reports: list[CrashReport] = []


MESSAGES = (TrialRequest, TrialReply, TrialEnd)
