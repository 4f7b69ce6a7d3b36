"""What an agent says of its load, exact at the time it is said."""

import msgspec

__all__ = ["Load"]


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of one target as its agent counts it.

    Attributes
    ----------
    queued : int
        Calls that wait.
    running : int
        Calls that the target has.
    limit : int
        Calls that the target may have at the same time.
    service_time : float
        Recent mean of seconds from start to answer; 0 if not known.
    wait : float
        Seconds until a new call of normal priority is expected to start.
    """

    queued: int = 0
    running: int = 0
    limit: int = 1
    service_time: float = 0.0
    wait: float = 0.0
