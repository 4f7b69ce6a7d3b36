"""Policies that pick one of several candidates; all are pure but for chance."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count

import msgspec

__all__ = [
    "Candidate",
    "Choose",
    "Default",
    "FirstVersion",
    "LeastOutstanding",
    "Policy",
    "PowerOfTwo",
    "RandomChoice",
    "RoundRobin",
    "expected_completion",
    "make_choose",
]

UNKNOWN_SERVICE_S = 0.02
# Counts from an agent lose half their weight in this time.
HALF_LIFE_S = 0.25


class Candidate(msgspec.Struct, frozen=True, gc=False):
    """A target as an entry sees it; a struct, as each choice makes a pool of them.

    Attributes
    ----------
    queued, running, limit : int
        Counts from the agent's last message.
    age : float
        Seconds since that message.
    sent : int
        Calls of this entry that are under way there.
    sent_since : int
        Calls of this entry sent after that message.
    service_time : float
        Recent seconds from start to answer; 0 if not known.
    ratio : float
        Its service times relative to those of its pool.
    """

    name: str
    failure_domain: str
    queued: int
    running: int
    limit: int
    age: float
    sent: int
    service_time: float
    sent_since: int = 0
    ratio: float = 1.0


@dataclass(frozen=True, slots=True)
class Default:
    """The least expected completion of all candidates."""


@dataclass(frozen=True, slots=True)
class FirstVersion:
    """The least service time and queue of some random candidates."""

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


Policy = (
    Default | FirstVersion | RandomChoice | RoundRobin | LeastOutstanding | PowerOfTwo
)
Choose = Callable[[Sequence[Candidate]], int]


def expected_completion(candidate: Candidate, usual: float) -> float:
    """Return the expected time there, relative to an idle healthy target.

    Parameters
    ----------
    usual : float
        Mean count of calls at the candidates, towards which old counts lean.
    """
    reported = candidate.queued + candidate.running
    trust = 0.5 ** (candidate.age / HALF_LIFE_S)
    ahead = usual + (reported - usual) * trust + candidate.sent_since
    if ahead < candidate.sent:
        ahead = candidate.sent
    return candidate.ratio * (1 + ahead / candidate.limit)


def _first_completion(candidate: Candidate) -> float:
    service = candidate.service_time or UNKNOWN_SERVICE_S
    ahead = max(candidate.queued + candidate.running, candidate.sent)
    waiting = max(0, ahead + 1 - candidate.limit)
    return service * (1 + waiting / candidate.limit)


def _find_least(candidates: Sequence[Candidate], rng: random.Random) -> int:
    usual = sum([x.queued + x.running for x in candidates]) / len(candidates)
    times = [expected_completion(x, usual) for x in candidates]
    least = min(times)
    if times.count(least) == 1:
        return times.index(least)
    return rng.choice([i for i, time in enumerate(times) if time == least])


def make_choose(policy: Policy, rng: random.Random) -> Choose:
    """Return the function that applies a policy; it gives an index."""
    numbers = count(rng.randrange(1 << 16))

    def choose(candidates: Sequence[Candidate]) -> int:
        size = len(candidates)
        indexes = range(size)
        match policy:
            case Default():
                return _find_least(candidates, rng)
            case FirstVersion(samples=samples):
                picked = rng.sample(indexes, min(samples, size))
                return min(picked, key=lambda i: _first_completion(candidates[i]))
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
