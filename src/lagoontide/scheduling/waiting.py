"""A call that waits at an agent."""

from dataclasses import dataclass

from lagoontide.configuration.document import Priority

__all__ = ["RANK", "Waiting"]

RANK = {Priority.HIGH: 0, Priority.NORMAL: 1, Priority.LOW: 2}


@dataclass(frozen=True, slots=True)
class Waiting:
    """A call that waits for its start.

    Attributes
    ----------
    deadline : float
        Loop time after which its answer is of no use.
    cost : float
        Expected seconds of the target's time.
    latest_start : float
        Loop time after which it can hardly make its deadline.
    weight : float
        Of the account, relative to others.
    is_long : bool
        Whether it is expected to run many times as long as most.
    """

    attempt: str
    account: str
    priority: Priority
    deadline: float
    cost: float = 1.0
    latest_start: float = 0.0
    weight: float = 1.0
    is_long: bool = False
