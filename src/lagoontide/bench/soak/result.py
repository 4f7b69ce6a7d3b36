"""What a soak found."""

import msgspec

__all__ = ["SoakResult"]


class SoakResult(msgspec.Struct):
    """One run.

    Attributes
    ----------
    served, served_after : float
        Share of requests answered with success, under faults and once they were
        healed; then the lower of those of the first second and of all.
    taken_up : int
        Attempts at going on with a stream.
    crashing_runs : int
        Runs of requests that crash targets.
    violations : list of str
        What broke a promise.
    """

    seed: int
    requests: int
    served: float
    served_after: float
    faults: int
    taken_up: int
    crashing_runs: int
    violations: list[str]
