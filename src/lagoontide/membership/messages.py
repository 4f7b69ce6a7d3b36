"""Messages by which entries and agents know of each other."""

import msgspec

from lagoontide.scheduling.load import Load
from lagoontide.store.instances import Instance

__all__ = [
    "LEAVING",
    "MESSAGES",
    "OTHER_INCARNATION",
    "Hello",
    "Joined",
    "Noted",
    "Welcome",
]

# Reasons by which an agent's refusal speaks of the agent itself.
LEAVING = "leaving"
OTHER_INCARNATION = "other incarnation"


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """An entry's heartbeat; the agent answers, and again when it leaves.

    Attributes
    ----------
    incarnation : str
        New with each start of the entry.
    interval : float
        Seconds after which the agent hears of the entry again at the latest.
    """

    incarnation: str = ""
    interval: float = 1.0


class Welcome(msgspec.Struct, frozen=True, tag="welcome"):
    """What an agent says of itself.

    Attributes
    ----------
    incarnation : str
        New with each start of the process.
    leaving : bool
        Whether it takes no more work.
    epoch : int
        The agent's count of time, to be named in calls.
    """

    incarnation: str
    service: str
    leaving: bool
    load: Load
    epoch: int = 0


class Joined(msgspec.Struct, frozen=True, tag="joined"):
    """What a new agent says to the entries in whose view it is."""

    instance: Instance


class Noted(msgspec.Struct, frozen=True, tag="noted"):
    """An entry's answer to Joined."""


MESSAGES = (Hello, Welcome, Joined, Noted)
