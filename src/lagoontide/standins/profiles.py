"""How long the stand-in targets take."""

import math
import random
from dataclasses import dataclass

from lagoontide.configuration.document import ServiceKind

__all__ = ["PROFILES", "EngineProfile", "Profile", "INSTANT", "INSTANT_ENGINE"]


@dataclass(frozen=True, slots=True)
class Profile:
    """Service time of a plain target: log-normal around a median.

    Attributes
    ----------
    median : float
        Seconds.
    sigma : float
        Standard deviation of the time's logarithm.
    """

    median: float
    sigma: float = 0.25

    @property
    def mean(self) -> float:
        """Mean service time in seconds."""
        return self.median * math.exp(self.sigma**2 / 2)

    def draw(self, rng: random.Random) -> float:
        """Return one service time in seconds."""
        return self.median * math.exp(rng.gauss(0.0, self.sigma))


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed of a model engine.

    Attributes
    ----------
    prefill_block : float
        Seconds for a block of the prompt that is not cached.
    step : float
        Seconds of a decoding step with one stream.
    step_per_stream : float
        Seconds that each further stream adds to a step.
    cache_blocks : int
        Blocks of prompts that the prefix cache holds.
    """

    prefill_block: float = 0.004
    step: float = 0.008
    step_per_stream: float = 0.0005
    cache_blocks: int = 512

    def token_cost(self, slots: int) -> float:
        """Return the engine's seconds that a token takes in a full batch."""
        return self.step / slots + self.step_per_stream


INSTANT = Profile(0.0)
INSTANT_ENGINE = EngineProfile(0.0, 0.0, 0.0)

PROFILES: dict[ServiceKind, Profile] = {
    ServiceKind.ENCODER: Profile(0.008),
    ServiceKind.RETRIEVER: Profile(0.015),
    ServiceKind.RERANKER: Profile(0.020),
    ServiceKind.PLAIN: Profile(0.012),
}
