"""Calls to stage targets, with hedging of late calls and detection of lost ones."""

import asyncio
from collections.abc import Callable

from lagoontide.errors import TargetFailed
from lagoontide.pieces.records import Piece, PieceClient, PieceResult
from lagoontide.targets.records import Target

__all__ = ["HEDGE_RATIO", "make_hedged"]

# A call is late after this many times its expected duration plus ``HEDGE_MIN_S``; its
# pieces are then made at another target as well.
HEDGE_RATIO = 1.7
HEDGE_MIN_S = 0.1
# Timeout of a call, as a multiple of its expected duration. A sound target may be
# silent for a second or two and go on.
TIMEOUT_RATIO = 8.0
MIN_TIMEOUT_S = 2.5
# Interval at which the target of a late call is asked whether it is busy.
BUSY_POLL_S = 0.4
# An answer that was sent just before the report of an idle target may be in transit.
ARRIVAL_GRACE_S = 0.1
# An answer takes a few rounds of the event loop. A round that is late by any time
# counts as one of these steps of a wait.
WAIT_STEPS = 4


async def make_hedged(
    client: PieceClient,
    target: Target,
    pieces: tuple[Piece, ...],
    expected: float,
    on_late: Callable[[], None],
) -> tuple[PieceResult, ...]:
    """Make pieces; return and raise as ``PieceClient.make`` does.

    A late call is abandoned if its target reports no work or does not answer:
    the call or its answer was lost, or the target is gone.

    Parameters
    ----------
    expected : float
        Expected seconds of the call.
    on_late : callable
        Called once when the call is late.
    """
    timeout = max(TIMEOUT_RATIO * expected, MIN_TIMEOUT_S)
    call = asyncio.ensure_future(client.make(target, pieces, timeout))
    try:
        if await _is_done_within(call, HEDGE_RATIO * expected + HEDGE_MIN_S):
            return call.result()
        on_late()
        while await client.is_busy(target):
            if await _is_done_within(call, BUSY_POLL_S):
                return call.result()
        if not await _is_done_within(call, ARRIVAL_GRACE_S):
            raise TargetFailed(
                "call or answer lost: target reports no work or does not answer",
                step="make",
                peer=target.id,
            )
        return call.result()
    finally:
        call.cancel()


async def _is_done_within(
    call: asyncio.Future[tuple[PieceResult, ...]], seconds: float
) -> bool:
    for _ in range(WAIT_STEPS):
        done, _ = await asyncio.wait({call}, timeout=seconds / WAIT_STEPS)
        if done:
            return True
    return False
