"""Rate limits for tests."""

import asyncio

from lagoontide.targets.rate_limits import RateLimits
from lagoontide.targets.rate_shares import RateShares


def make_shares(names=("me",), own="me", clock=None):
    """Return the shares of one entry, with limits of their own."""
    clock = clock or asyncio.get_running_loop().time
    return RateShares(RateLimits(clock), own, lambda: names, clock)
