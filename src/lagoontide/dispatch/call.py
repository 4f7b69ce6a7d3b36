"""What an entry wants of a service."""

from dataclasses import dataclass, field

from lagoontide.configuration.document import Priority, Stage
from lagoontide.dispatch.tokens import TokenLog

__all__ = ["StageCall"]


@dataclass(slots=True)
class StageCall:
    """One stage of a request.

    Attributes
    ----------
    deadline : float
        Loop time by which the outcome is due.
    tokens : TokenLog
        Tokens received so far, over all attempts.
    size : int
        Tokens that the work may give at most; 0 if that is no matter.
    """

    request: str
    stage: Stage
    account: str
    weight: float
    priority: Priority
    deadline: float
    body: bytes
    streams: bool = False
    tokens: TokenLog = field(default_factory=TokenLog)
    size: int = 0

    @property
    def kind(self) -> tuple[str, int]:
        """Kind of work: the operation and the magnitude of its size."""
        return self.stage.operation, self.size.bit_length()

    @property
    def attempt_prefix(self) -> str:
        """What the ids of its attempts begin with."""
        return f"{self.request}.{self.stage.name}"
