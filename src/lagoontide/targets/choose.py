"""Selection of a target for a request among the targets of a service."""

import math
import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from lagoontide.targets.health import Health
from lagoontide.targets.load import Loads
from lagoontide.targets.records import Target

__all__ = [
    "TOKENS_PER_LOAD_UNIT",
    "Choice",
    "choose_engine_target",
    "choose_lowest_cost",
    "choose_stream_target",
    "rendezvous_hash",
    "usable",
    "weighted_rendezvous_score",
]

# Factor on the cost of a target in another failure domain, whose response takes two
# domain crossings longer: of otherwise equal targets, the one in the same domain is
# chosen.
CROSS_DOMAIN_FACTOR = 1.05
# Smaller penalties are noise of response times: the target that seems the fastest would
# get all requests.
MIN_PENALTY = 1.1
# Targets in back-off are passed over only while at least this share of the untried
# targets is available; if more fail at once, the cause is not a single target.
MIN_AVAILABLE_SHARE = 0.5
# Fixed cost of a request, as the number of tokens that take as long to prefill.
FIXED_COST_TOKENS = 1500.0
# Loads of engines are counted in thousands of tokens.
TOKENS_PER_LOAD_UNIT = 1000.0
# Site files price a gigabyte sent between failure domains like 360,000 tokens of
# repeated prefill.
TOKENS_PER_CROSS_DOMAIN_BYTE = 360e3 / 1e9
# Repeated prefill and transfers between failure domains are charged for, besides the
# time that they take: avoiding one charged token is worth waiting for this many.
CHARGED_TOKEN_WEIGHT = 1.5
# Hash key of the order in which targets are filled with streams.
STREAM_ORDER_KEY = "streams"
# Streams use at most this share of a target's slots: a decoding step takes longer the
# more requests run, and other requests need slots too.
MAX_STREAM_SLOT_SHARE = 0.25
# A target whose health penalty reaches this gets no streams while a target with a
# lower penalty has free stream slots.
MAX_HEALTHY_PENALTY = 1.5
# A prompt waits for this many tokens rather than delay one running stream.
TOKENS_PER_STREAM = 1800.0
# A hash may round to 1.0; its logarithm is 0, and the score divides by it.
LARGEST_BELOW_ONE = 1.0 - 2.0**-53
NO_INPUTS: Mapping[str, float] = {}


@dataclass(frozen=True, slots=True)
class Choice:
    """The selected target and the reason.

    Attributes
    ----------
    cost : float
        Cost by which the target was selected; its number of streams where
        ``choose_stream_target`` selected it.
    reason : str
        Reason for the selection, for the log.
    has_turn : bool
        Whether the request is already counted in the target's rate limit.
    """

    target: Target
    cost: float
    reason: str
    has_turn: bool = False


def usable(
    targets: Sequence[Target], health: Health, tried: Collection[str]
) -> list[Target]:
    """Return the untried targets, without those in back-off if enough remain."""
    untried = [target for target in targets if target.id not in tried]
    available = health.available(untried)
    if len(available) >= max(1.0, MIN_AVAILABLE_SHARE * len(untried)):
        return available
    return untried


def choose_lowest_cost(
    targets: Sequence[Target],
    loads: Loads,
    health: Health,
    failure_domain: str,
    rng: random.Random,
    inputs: Mapping[str, float] = NO_INPUTS,
) -> Choice | None:
    """Return the target with the lowest cost, or None if there is no target.

    The cost grows with the load per slot, the health penalty, the distance and the
    inputs that are far from the target.

    Parameters
    ----------
    inputs : mapping
        Bytes that the target has to fetch first, by the failure domain that holds
        them.
    """
    if not targets:
        return None

    penalties = health.penalties(targets)

    def cost(target: Target) -> float:
        waiting = 1.0 + loads.total_of(target) / max(1, target.slots)
        fetched_tokens = CHARGED_TOKEN_WEIGHT * _transfer_tokens(inputs, target)
        waiting += fetched_tokens / FIXED_COST_TOKENS
        far = 1.0 if target.failure_domain == failure_domain else CROSS_DOMAIN_FACTOR
        penalty = penalties[target.id]
        return waiting * far * (penalty if penalty >= MIN_PENALTY else 1.0)

    best = min(targets, key=lambda target: (cost(target), rng.random()))
    return Choice(best, cost(best), "lowest cost")


def rendezvous_hash(key: str, name: str) -> int:
    """Return the rendezvous hash of a key and a name; it is equal at all entries."""
    return xxhash.xxh64_intdigest(f"{key}\n{name}".encode())


def weighted_rendezvous_score(key: str, name: str, capacity: float) -> float:
    """Return the weighted rendezvous score of a name for a key.

    The name with the highest score is selected, so that each name gets keys in
    proportion to its capacity (Schindelhauer and Schomaker, Weighted Distributed
    Hash Tables, the logarithmic method).

    Parameters
    ----------
    capacity : float
        Above 0, in any unit.
    """
    place = (rendezvous_hash(key, name) + 1) / (1 << 64)
    return capacity / -math.log(min(place, LARGEST_BELOW_ONE))


def choose_stream_target(
    targets: Sequence[Target], streams: Loads, health: Health
) -> Choice | None:
    """Return the target for a request with long output and a short prompt.

    Prefilling a long prompt delays the events of all streams at a target. Streams
    are therefore packed onto the first healthy target with free stream slots, in an
    order that is equal at all entries; requests with long prompts avoid these
    targets, see ``choose_engine_target``.
    """
    if not targets:
        return None
    penalties = health.penalties(targets)
    order = sorted(
        targets,
        key=lambda target: rendezvous_hash(STREAM_ORDER_KEY, target.id),
        reverse=True,
    )
    for place, target in enumerate(order):
        max_streams = MAX_STREAM_SLOT_SHARE * target.slots
        is_healthy = penalties[target.id] < MAX_HEALTHY_PENALTY
        if streams.total_of(target) < max_streams and is_healthy:
            return Choice(target, streams.total_of(target), f"stream order {place}")
    least = min(
        order, key=lambda target: streams.total_of(target) / max(1, target.slots)
    )
    return Choice(least, streams.total_of(least), "fewest streams per slot")


def _transfer_tokens(inputs: Mapping[str, float], target: Target) -> float:
    """Return the cost, in tokens, of the inputs from other failure domains."""
    far = sum(inputs.values()) - inputs.get(target.failure_domain, 0.0)
    return far * TOKENS_PER_CROSS_DOMAIN_BYTE


def choose_engine_target(
    targets: Sequence[Target],
    parts: Sequence[tuple[str, int]],
    loads: Loads,
    health: Health,
    inputs: Mapping[str, float],
    streams: Loads,
) -> Choice | None:
    """Return the target that can prefill a prompt at the lowest cost.

    All entries map the longest shared part of a prompt to the same target, its
    home, without coordination; the home has that part in its prompt cache. Another
    target is selected where prefilling more tokens there ends earlier.

    Parameters
    ----------
    parts : sequence of tuple
        Id and number of tokens of the prompt's parts; the last part is not shared
        with other requests.
    loads : Loads
        Tokens that each target has yet to prefill, in thousands.
    inputs : mapping
        Bytes that the target has to fetch first, by the failure domain that holds
        them.
    streams : Loads
        Streams at each target whose events this prompt would delay.
    """
    if not targets:
        return None
    total = sum(tokens for _, tokens in parts)
    *shared, _ = parts if len(parts) > 1 else (*parts, ("", 0))
    key = shared[-1][0]
    home = max(targets, key=lambda target: rendezvous_hash(key, target.id))
    # The first of several shared parts is shared by many requests and so cached at
    # all targets; longer shared parts are cached at their home only.
    common_tokens = shared[0][1] if len(shared) > 1 else 0
    penalties = health.penalties(targets)

    shared_tokens = sum(tokens for _, tokens in shared)

    def cost(target: Target) -> float:
        kept = shared_tokens if target is home else common_tokens
        prefill_tokens = total - kept + loads.total_of(target) * TOKENS_PER_LOAD_UNIT
        charged_tokens = shared_tokens - kept + _transfer_tokens(inputs, target)
        stream_delay = streams.total_of(target) * TOKENS_PER_STREAM
        work = (
            prefill_tokens
            + CHARGED_TOKEN_WEIGHT * charged_tokens
            + stream_delay
            + FIXED_COST_TOKENS
        )
        return work * penalties[target.id]

    best = min(
        targets, key=lambda target: (cost(target), -rendezvous_hash(key, target.id))
    )
    return Choice(best, cost(best), "home" if best is home else "lower cost than home")
