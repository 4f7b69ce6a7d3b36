"""Choosing among the targets of a service."""

import math
import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from lagoontide.targets.health import Health
from lagoontide.targets.load import Loads
from lagoontide.targets.records import Target

__all__ = [
    "TOKENS_A_LOAD",
    "Choice",
    "choose_engine_target",
    "choose_least",
    "choose_stream_target",
    "rank_of",
    "usable",
    "weigh",
]

# A target in another failure domain answers later by two crossings; between
# equals the near one is taken.
FAR_FACTOR = 1.05
# Share of a service's targets that may be passed over for resting.
MOST_RESTING = 0.5
# Tokens whose reading takes as long as all that a request costs besides.
FIXED_TOKENS = 1500.0
# Loads of engines count tokens in thousands.
TOKENS_A_LOAD = 1000.0
# The users price a gigabyte between failure domains like 360,000 tokens that are
# read again (their site files, prices).
TOKENS_A_FAR_BYTE = 360e3 / 1e9
# What is read again or moved costs the users, beside the time that it takes, so many
# times the tokens that a request would rather wait for.
PRICED_WEIGHT = 1.5
# Key of the order in which targets are filled with streams, and how far they are:
# a step grows with the requests that run, and other requests need places too.
STREAMS = "streams"
MOST_STREAMS_SHARE = 0.25
MOST_BURDEN = 1.5
# Tokens that a prompt would rather wait for than hold up one stream.
TOKENS_A_STREAM = 1800.0
ALMOST_ONE = 1.0 - 2.0**-53


@dataclass(frozen=True, slots=True)
class Choice:
    """A target, and what spoke for it."""

    target: Target
    weight: float
    why: str


def usable(
    targets: Sequence[Target], health: Health, tried: Collection[str]
) -> list[Target]:
    """Return the targets that may be chosen, the resting ones only if needed."""
    untried = [target for target in targets if target.id not in tried]
    awake = [target for target in untried if not health.rests(target)]
    if len(awake) >= max(1.0, MOST_RESTING * len(untried)):
        return awake
    return untried


def choose_least(
    targets: Sequence[Target],
    loads: Loads,
    health: Health,
    failure_domain: str,
    rng: random.Random,
) -> Choice | None:
    """Return the target at which work should end first."""
    if not targets:
        return None

    burdens = health.burdens(targets)

    def cost(target: Target) -> float:
        waiting = 1.0 + loads.of(target) / max(1, target.slots)
        far = 1.0 if target.failure_domain == failure_domain else FAR_FACTOR
        return waiting * far * burdens[target.id]

    best = min(targets, key=lambda target: (cost(target), rng.random()))
    return Choice(best, cost(best), "least")


def weigh(key: str, name: str) -> int:
    """Return the rank of a name for a key, the same at every entry."""
    return xxhash.xxh64_intdigest(f"{key}\n{name}".encode())


def rank_of(key: str, name: str, capacity: float) -> float:
    """Return the rank of a name for a key; shares follow the capacities.

    The greatest rank wins (Schindelhauer and Schomaker, Weighted Distributed Hash
    Tables, the logarithmic method).

    Parameters
    ----------
    capacity : float
        Above 0, in any unit.
    """
    place = (weigh(key, name) + 1) / (1 << 64)
    return capacity / -math.log(min(place, ALMOST_ONE))


def choose_stream_target(
    targets: Sequence[Target], streams: Loads, health: Health
) -> Choice | None:
    """Return the target for a request that writes much and reads little.

    Reading a long prompt holds up the events of all streams at a target. So these
    are kept together, at the first target of an order that entries agree on; those
    that read go elsewhere, see ``choose_engine_target``.
    """
    if not targets:
        return None
    burdens = health.burdens(targets)
    order = sorted(targets, key=lambda target: weigh(STREAMS, target.id), reverse=True)
    for place, target in enumerate(order):
        most = MOST_STREAMS_SHARE * target.slots
        is_sound = burdens[target.id] < MOST_BURDEN
        if streams.of(target) < most and is_sound:
            return Choice(target, streams.of(target), f"streams {place}")
    least = min(order, key=lambda target: streams.of(target) / max(1, target.slots))
    return Choice(least, streams.of(least), "fewest streams")


def choose_engine_target(
    targets: Sequence[Target],
    parts: Sequence[tuple[str, int]],
    loads: Loads,
    health: Health,
    inputs: Mapping[str, float],
    streams: Loads,
) -> Choice | None:
    """Return the target at which a prompt should be read first.

    Entries agree without talking on the target that keeps a prompt's deepest
    shared part; another is taken where reading more ends earlier.

    Parameters
    ----------
    parts : sequence of tuple
        Id and tokens of the prompt's parts; the last is the request's own.
    loads : Loads
        Tokens that are to be read at each target, in thousands.
    inputs : mapping
        Bytes that the target fetches first, by the failure domain where they lie.
    streams : Loads
        Streams at each target whose events this prompt would hold up.
    """
    if not targets:
        return None
    total = sum(tokens for _, tokens in parts)
    *shared, _ = parts if len(parts) > 1 else (*parts, ("", 0))
    key = shared[-1][0]
    home = max(targets, key=lambda target: weigh(key, target.id))
    # What many requests share is kept everywhere; what few share, at its home.
    common = shared[0][1] if len(shared) > 1 else 0
    input_bytes = sum(inputs.values())
    burdens = health.burdens(targets)

    all_shared = sum(tokens for _, tokens in shared)

    def cost(target: Target) -> float:
        kept = all_shared if target is home else common
        reading = total - kept + loads.of(target) * TOKENS_A_LOAD
        far = input_bytes - inputs.get(target.failure_domain, 0.0)
        priced = all_shared - kept + far * TOKENS_A_FAR_BYTE
        harm = streams.of(target) * TOKENS_A_STREAM
        work = reading + PRICED_WEIGHT * priced + harm + FIXED_TOKENS
        return work * burdens[target.id]

    best = min(targets, key=lambda target: (cost(target), -weigh(key, target.id)))
    return Choice(best, cost(best), "home" if best is home else "less to read")
