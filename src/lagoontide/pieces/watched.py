"""Calls to stage targets that are looked after: late ones, and lost ones."""

import asyncio
from collections.abc import Callable

from lagoontide.errors import TargetFailed
from lagoontide.pieces.records import Piece, PieceResult, PieceTargets
from lagoontide.targets.records import Target

__all__ = ["HEDGE_RATIO", "make_watched"]

# Pieces of a call that is this much over its time are made elsewhere as well.
HEDGE_RATIO = 1.7
HEDGE_MIN_S = 0.1
GIVE_UP_RATIO = 8.0
# How often the target of such a call is asked whether it works.
ASK_EVERY_S = 0.4
# What a target has just sent may still be under way.
ON_THE_WAY_S = 0.1


async def make_watched(
    calls: PieceTargets,
    target: Target,
    pieces: tuple[Piece, ...],
    expected: float,
    on_late: Callable[[], None],
) -> tuple[PieceResult, ...]:
    """Return what a call yields; raises as ``PieceTargets.make`` does.

    One that is over its time is given up if its target does not work: the call or
    its answer was lost on the way, or the target has gone.

    Parameters
    ----------
    expected : float
        Seconds that the call should take.
    on_late : callable
        Called once when the call is over its time.
    """
    call = asyncio.ensure_future(calls.make(target, pieces, GIVE_UP_RATIO * expected))
    try:
        if await _has_ended(call, HEDGE_RATIO * expected + HEDGE_MIN_S):
            return call.result()
        on_late()
        while await calls.is_at_work(target):
            if await _has_ended(call, ASK_EVERY_S):
                return call.result()
        if not await _has_ended(call, ON_THE_WAY_S):
            raise TargetFailed("call lost on the way", step="make", peer=target.id)
        return call.result()
    finally:
        call.cancel()


async def _has_ended(
    call: asyncio.Future[tuple[PieceResult, ...]], seconds: float
) -> bool:
    done, _ = await asyncio.wait({call}, timeout=seconds)
    return bool(done)
