"""What a stand-in really did, to check promises against."""

import msgspec
import xxhash

from lagoontide.targets.http import TargetRequest

__all__ = ["Execution", "Ledger", "Spending", "hash_inputs", "note_execution"]


class Execution(msgspec.Struct, frozen=True):
    """One execution that took effect.

    Attributes
    ----------
    at : float
        Loop time of the effect.
    inputs : int
        64-bit hash of the inputs that the work came with.
    """

    request: str
    operation: str
    attempt: str
    at: float
    inputs: int = 0


def note_execution(work: TargetRequest, now: float) -> Execution:
    """Return the execution of a piece of work at loop time ``now``."""
    inputs = hash_inputs(msgspec.json.decode(work.body))
    return Execution(work.request, work.operation, work.attempt, now, inputs)


def hash_inputs(inputs: object) -> int:
    """Return a hash of inputs that does not depend on the order of their names."""
    data = msgspec.json.encode(inputs, order="deterministic")
    return xxhash.xxh3_64_intdigest(data)


class Spending(msgspec.Struct):
    """Seconds of a healthy target that an attempt took, finished or not."""

    request: str
    operation: str
    seconds: float = 0.0


class Ledger:
    """Executions in order of their effect, and what each attempt cost."""

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.spendings: dict[str, Spending] = {}

    def spend(self, work: TargetRequest, seconds: float) -> None:
        """Write down that an attempt took some of the target's time."""
        spending = self.spendings.setdefault(
            work.attempt, Spending(work.request, work.operation)
        )
        spending.seconds += seconds

    def add(self, execution: Execution) -> None:
        """Write down an execution."""
        self.executions.append(execution)

    def count(self, request: str, operation: str) -> int:
        """Return how often an operation took effect for a request."""
        return sum(
            item.request == request and item.operation == operation
            for item in self.executions
        )
