"""What an entry wants of a service."""

from collections.abc import Callable
from dataclasses import dataclass, field

from lagoontide.configuration.document import Priority, Stage

__all__ = ["OnTokens", "StageCall"]

OnTokens = Callable[[int, list[str]], None]


@dataclass(slots=True)
class StageCall:
    """One stage of a request.

    Attributes
    ----------
    deadline : float
        Loop time by which the outcome is due.
    tokens : list of str
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
    on_tokens: OnTokens | None = None
    tokens: list[str] = field(default_factory=list)
    size: int = 0

    def take_tokens(self, offset: int, tokens: list[str]) -> bool:
        """Keep the tokens that are new; return False if some before are missing."""
        have = len(self.tokens)
        if offset > have:
            return False
        fresh = tokens[have - offset :]
        self.tokens.extend(fresh)
        if fresh and self.on_tokens is not None:
            self.on_tokens(have, fresh)
        return True

    @property
    def kind(self) -> tuple[str, int]:
        """Kind of work: the operation and the magnitude of its size."""
        return self.stage.operation, self.size.bit_length()

    @property
    def attempt_prefix(self) -> str:
        """What the ids of its attempts begin with."""
        return f"{self.request}.{self.stage.name}"
