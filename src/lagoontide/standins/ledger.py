"""What a stand-in really did, to check promises against."""

import msgspec

__all__ = ["Execution", "Ledger"]


class Execution(msgspec.Struct, frozen=True):
    """One execution that took effect.

    Attributes
    ----------
    at : float
        Loop time of the effect.
    """

    request: str
    operation: str
    attempt: str
    at: float


class Ledger:
    """Executions in order of their effect."""

    def __init__(self) -> None:
        self.executions: list[Execution] = []

    def add(self, execution: Execution) -> None:
        """Write down an execution."""
        self.executions.append(execution)

    def count(self, request: str, operation: str) -> int:
        """Return how often an operation took effect for a request."""
        return sum(
            item.request == request and item.operation == operation
            for item in self.executions
        )
