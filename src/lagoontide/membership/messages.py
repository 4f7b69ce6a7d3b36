"""Messages by which entries and agents know of each other."""

import msgspec

from lagoontide.scheduling.load import Load

__all__ = ["MESSAGES", "Hello", "Welcome"]


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """An entry's heartbeat; the agent answers, and again when it leaves.

    Attributes
    ----------
    incarnation : str
        New with each start of the entry.
    """

    incarnation: str = ""


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


MESSAGES = (Hello, Welcome)
