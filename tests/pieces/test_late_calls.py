"""Which calls to stage targets are late, and what becomes of them."""

import asyncio
import time

import pytest

from lagoontide.errors import TargetFailed
from lagoontide.pieces.hedging import HEDGE_MIN_S, HEDGE_RATIO, make_hedged
from tests.support.virtual import run_virtual

EXPECTED_S = 0.02
LATE_S = HEDGE_RATIO * EXPECTED_S + HEDGE_MIN_S


class Client:
    """Answers calls after some time, and then a few rounds of the event loop."""

    def __init__(self, seconds, is_busy=True):
        self._seconds = seconds
        self._is_busy = is_busy

    async def make(self, target, pieces, timeout):
        await asyncio.sleep(self._seconds)
        for _ in range(4):
            await asyncio.sleep(0)
        return ("made",)

    async def is_busy(self, target):
        return self._is_busy


class Target:
    id = "t0"


async def call(client, block_s=0.0):
    """Make a call; return its result and the seconds after which it was late."""
    loop = asyncio.get_running_loop()
    began, late = loop.time(), []
    if block_s:
        loop.call_later(EXPECTED_S / 4, time.sleep, block_s)
    result = await make_hedged(
        client, Target, (), EXPECTED_S, lambda: late.append(loop.time() - began)
    )
    return result, late


# Guards against pieces that are made twice, as an event loop that was late itself took
# the call for late although its answer had arrived.
def test_call_answered_while_the_event_loop_was_late_is_not_late():
    result, late = asyncio.run(call(Client(EXPECTED_S), block_s=2 * LATE_S))
    assert (result, late) == (("made",), [])


def test_call_without_an_answer_is_late_in_time():
    result, late = run_virtual(call(Client(2 * LATE_S)))
    assert result == ("made",)
    assert late == [pytest.approx(LATE_S)]


def test_call_whose_target_has_no_work_is_lost():
    with pytest.raises(TargetFailed, match="no work"):
        run_virtual(call(Client(3600.0, is_busy=False)))
