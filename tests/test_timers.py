"""Timers of a process that is late itself."""

import asyncio
import time

import pytest

from lagoontide.timers import MAX_EXTENSIONS, Deadline, RunClock, Stopwatch, run_timeout
from tests.support.freezing import freeze


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def keep_late(seconds):
    """Make every round of the running event loop late."""
    time.sleep(seconds)
    asyncio.get_running_loop().call_soon(keep_late, seconds)


# Guards against waits without end in a process that is late all the time.
def test_timeout_ends_although_every_round_is_late():
    async def main():
        loop = asyncio.get_running_loop()
        since = loop.time()
        keep_late(0.04)
        with pytest.raises(TimeoutError):
            async with run_timeout(0.02):
                await loop.create_future()
        return loop.time() - since

    assert asyncio.run(main()) < 0.5 + 2 * MAX_EXTENSIONS * 0.04


# Guards against deadlines that a freeze puts off for as long as it lasted.
def test_deadline_that_passed_during_a_freeze_ends_the_wait_soon():
    async def main():
        loop = asyncio.get_running_loop()
        since = loop.time()
        freeze(1.0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(None) as wait:
                Deadline(wait, since + 0.1)
                await loop.create_future()
        return loop.time() - since

    assert 1.0 <= asyncio.run(main()) < 1.5


# Guards against requests that are sent on with no time left.
def test_deadline_that_has_passed_ends_the_wait_at_once():
    async def main():
        loop = asyncio.get_running_loop()
        passes = 0
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(None) as wait:
                Deadline(wait, loop.time() - 1.0)
                while True:
                    passes += 1
                    await asyncio.sleep(0)
        return passes

    assert asyncio.run(main()) < 5


def test_run_clock_stands_still_while_ticks_are_due_and_never_goes_back():
    clock = Clock()
    runs = RunClock(clock)
    seen = []
    for now in (0.0, 0.1, 0.2, 3.2, 3.3, 3.4):
        clock.now = now
        before = runs()
        runs.tick(0.1)
        seen += [before, runs()]
    # Twice the reading at each time; 0.12 s of the 3 s without a tick are counted.
    expected = [0.0, 0.1, 0.2, 0.32, 0.42, 0.52]
    assert seen == pytest.approx([reading for reading in expected for _ in range(2)])
    assert runs.stopped() == pytest.approx(3.4 - seen[-1])


@pytest.mark.parametrize(
    ("stopped", "known"), [(0.0, True), (0.05, True), (2.0, False)]
)
def test_time_of_which_the_process_ran_little_was_not_measured(stopped, known):
    clock = Clock()
    runs = RunClock(clock)
    runs.tick(0.1)
    watch = Stopwatch(runs)
    clock.now = 0.1 + stopped
    assert (watch.seconds() is not None) is known
