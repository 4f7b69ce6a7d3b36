"""Policies that pick one of several candidates; all are pure but for chance."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count

__all__ = [
    "Candidate",
    "Choose",
    "Default",
    "LeastOutstanding",
    "Policy",
    "PowerOfTwo",
    "RandomChoice",
    "RoundRobin",
    "expected_completion",
    "make_choose",
]

UNKNOWN_SERVICE_S = 0.02


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target as an entry sees it.

    Attributes
    ----------
    queued, running, limit : int
        Counts from the agent's last message.
    age : float
        Seconds since that message.
    sent : int
        Calls of this entry that are under way there.
    service_time : float
        Recent seconds from start to answer; 0 if not known.
    """

    name: str
    failure_domain: str
    queued: int
    running: int
    limit: int
    age: float
    sent: int
    service_time: float


@dataclass(frozen=True, slots=True)
class Default:
    """The least expected completion of two or more random candidates."""

    samples: int = 3


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Any candidate."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """One candidate after the other."""


@dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """The candidate with the fewest calls of this entry."""


@dataclass(frozen=True, slots=True)
class PowerOfTwo:
    """Of two random candidates the one with fewer calls of this entry."""


Policy = Default | RandomChoice | RoundRobin | LeastOutstanding | PowerOfTwo
Choose = Callable[[Sequence[Candidate]], int]


def expected_completion(candidate: Candidate) -> float:
    """Return the seconds that one more call is expected to take there."""
    service = candidate.service_time or UNKNOWN_SERVICE_S
    ahead = max(candidate.queued + candidate.running, candidate.sent)
    waiting = max(0, ahead + 1 - candidate.limit)
    return service * (1 + waiting / candidate.limit)


def make_choose(policy: Policy, rng: random.Random) -> Choose:
    """Return the function that applies a policy; it gives an index."""
    numbers = count(rng.randrange(1 << 16))

    def choose(candidates: Sequence[Candidate]) -> int:
        size = len(candidates)
        indexes = range(size)
        match policy:
            case Default(samples=samples):
                picked = rng.sample(indexes, min(samples, size))
                return min(
                    picked,
                    key=lambda i: (
                        expected_completion(candidates[i]),
                        candidates[i].sent,
                    ),
                )
            case RandomChoice():
                return rng.randrange(size)
            case RoundRobin():
                return next(numbers) % size
            case LeastOutstanding():
                return min(indexes, key=lambda i: (candidates[i].sent, rng.random()))
            case PowerOfTwo():
                picked = rng.sample(indexes, min(2, size))
                return min(picked, key=lambda i: candidates[i].sent)

    return choose
