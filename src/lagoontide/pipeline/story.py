"""The story of one request, told to whoever listens when it has ended."""

from collections.abc import Callable
from dataclasses import dataclass

from lagoontide.configuration.document import Priority
from lagoontide.pipeline.walk import StageReport

__all__ = ["Listener", "Story"]


@dataclass(frozen=True, slots=True)
class Story:
    """A request that has ended.

    Attributes
    ----------
    account : str
        The client account of the token, also of a refused request; empty if none.
    outcome : str
        ``done``, ``refused``, ``not_run``, ``failed`` or ``unknown``.
    started, ended : float
        Loop times.
    budget : float
        Seconds from its arrival to its deadline; 0 if it was not accepted.
    step, peer, reason : str
        Where and why it ended without its answer; empty when done.
    """

    request: str
    route: str
    account: str
    priority: Priority | None
    outcome: str
    started: float
    ended: float
    budget: float
    stages: tuple[StageReport, ...]
    step: str = ""
    peer: str = ""
    reason: str = ""


Listener = Callable[[Story], None]
