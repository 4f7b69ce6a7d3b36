"""Retry-After values of rejected requests."""

import math
import random

from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.selection import ready_targets

__all__ = ["pick_limited_retry_after", "pick_retry_after"]

# Randomized so that refused callers do not all retry at once.
RETRY_AFTER_RANGE_S = (0.1, 0.4)
WAIT_JITTER_RANGE = (1.0, 1.3)
# Callers retry within a third of the time that they have left (PROTOCOL, Answers).
MAX_TIME_SHARE = 0.3


def pick_retry_after(rng: random.Random) -> float:
    """Return a random Retry-After value, in seconds."""
    return round(rng.uniform(*RETRY_AFTER_RANGE_S), 2)


def pick_limited_retry_after(
    state: ForwardingState, call: Call, rng: random.Random
) -> float:
    """Return the Retry-After value for a request that found no target, in seconds.

    If all targets are at their rate limits, it is the time until this entry may send
    again. An entry without a share does not know that; the caller reaches another.
    If all pause, it is the earliest end, however late.
    """
    ready = ready_targets(state, call)
    wait = state.rate_shares.shortest_wait(ready)
    if not 0.0 < wait < math.inf:
        return pick_retry_after(rng)
    is_limited = bool(state.rate_limits.pauses.awake(ready))
    latest = MAX_TIME_SHARE * call.time_left if is_limited else math.inf
    after = min(wait * rng.uniform(*WAIT_JITTER_RANGE), latest)
    return round(max(after, RETRY_AFTER_RANGE_S[0]), 2)
