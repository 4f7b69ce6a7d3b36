"""Timers that allow for the lateness of this process."""

import asyncio
import contextlib
import math
import threading
from collections.abc import AsyncIterator, Callable
from typing import Any

__all__ = [
    "Deadline",
    "RunClock",
    "RunTimer",
    "Stopwatch",
    "is_done_within",
    "run_timeout",
]

# A timer that fires later than this was held up by this process itself. What peers have
# sent meanwhile is not read yet: after a stop signal, the event loop runs due timers
# before it polls the sockets.
MAX_LATENESS_S = 0.02
# What has arrived by a deadline at which this process did not run is read in this time.
READ_S = 0.05
# A time of which this process did not run for a larger share was not measured.
MAX_STOPPED_SHARE = 0.25
# The loop's lateness is looked at this often. A delay is seen but for this time and
# MAX_LATENESS_S; looking more often takes an idle process more processor time.
TICK_S = 0.1
# Rounds of the event loop from the poll that finds a peer's answer, or an accepted
# connection, until the task that waits for it goes on; two more, as the first poll
# after a stop signal finds nothing, and as a callback is run in the round after it.
READ_ROUNDS = 6
# A process that is late for long is not waited for without end.
MAX_EXTENSIONS = 8


class RunTimer:
    """Calls back after some seconds in which this process ran.

    Time by which the event loop was held up meanwhile is added, at most the whole time
    at once. Then what has arrived by now is read first.
    """

    def __init__(self, seconds: float, callback: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._seconds = max(0.0, seconds)
        self._callback = callback
        self._extensions_left = MAX_EXTENSIONS
        self._rounds_left = READ_ROUNDS
        self._watch = _watch_loop()
        self._watch.pending_timers += 1
        self._stopped_before = self._watch.clock.stopped()
        self._is_pending = True
        self._handle: asyncio.Handle = self._schedule(self._seconds)

    def cancel(self) -> None:
        """Do not call back."""
        self._handle.cancel()
        self._end()

    def _schedule(self, seconds: float) -> asyncio.TimerHandle:
        handle = self._loop.call_later(seconds, self._fire)
        self._due_at = handle.when()
        return handle

    def _fire(self) -> None:
        stopped = self._watch.clock.stopped()
        held_up = max(self._loop.time() - self._due_at, stopped - self._stopped_before)
        self._stopped_before = stopped
        if held_up > MAX_LATENESS_S and self._extensions_left:
            self._extensions_left -= 1
            longest = max(self._seconds, MAX_LATENESS_S)
            self._handle = self._schedule(min(held_up, longest))
        else:
            self._read_first()

    def _read_first(self) -> None:
        if self._rounds_left:
            self._rounds_left -= 1
            self._handle = self._loop.call_soon(self._read_first)
        else:
            self._end()
            self._callback()

    def _end(self) -> None:
        if self._is_pending:
            self._is_pending = False
            self._watch.pending_timers -= 1


class Deadline:
    """Ends a wait at a loop time, once what has arrived by then was read.

    Unlike a ``RunTimer`` it adds no time but for the reading.

    Parameters
    ----------
    wait : asyncio.Timeout
        The wait; it expires at the deadline.
    """

    def __init__(self, wait: asyncio.Timeout, at: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._wait = wait
        self._is_late = False
        # One that has passed already ends the wait at once.
        self._handle = self._loop.call_at(max(at, self._loop.time()), self._fire)

    def limit_to(self, at: float) -> None:
        """Move the deadline to a loop time if that is earlier."""
        if at < self._handle.when():
            self._handle.cancel()
            self._handle = self._loop.call_at(max(at, self._loop.time()), self._fire)

    def cancel(self) -> None:
        """Do not end the wait."""
        self._handle.cancel()

    def _fire(self) -> None:
        now = self._loop.time()
        if now - self._handle.when() > MAX_LATENESS_S and not self._is_late:
            self._is_late = True
            self._handle = self._loop.call_later(READ_S, self._fire)
        else:
            self._wait.reschedule(now)


class RunClock:
    """A monotonic clock that stands still while this process does not run.

    Parameters
    ----------
    clock : callable, optional
        Returns the seconds of a monotonic clock that runs on; by default that of the
        event loop.
    """

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self._clock = clock or asyncio.get_running_loop().time
        self._tick_due_at = math.inf
        self._stopped_s = 0.0

    def __call__(self) -> float:
        """Return seconds."""
        latest = self._tick_due_at + MAX_LATENESS_S
        return min(self._clock(), latest) - self._stopped_s

    def stopped(self) -> float:
        """Return the seconds that were not counted."""
        return self._clock() - self()

    def tick(self, next_in: float) -> None:
        """Tell that this process runs, and in how many seconds the next call is due.

        The time by which that is late is not counted.
        """
        now = self._clock()
        self._stopped_s += max(0.0, now - self._tick_due_at - MAX_LATENESS_S)
        self._tick_due_at = now + next_in


class _LoopWatch:
    """Measures by how much an event loop is held up while timers of it are pending."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clock = RunClock(loop.time)
        self.pending_timers = 0
        self.is_ticking = False

    def start(self) -> None:
        """Tick until no timer is pending."""
        self.is_ticking = True
        self.clock.tick(TICK_S)
        self.loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        if self.pending_timers:
            self.start()
        else:
            self.is_ticking = False
            self.clock.tick(math.inf)


class _Local(threading.local):
    watch: _LoopWatch | None = None


_local = _Local()


def _watch_loop() -> _LoopWatch:
    """Return the watch of the running event loop, which ticks from now on."""
    loop = asyncio.get_running_loop()
    watch = _local.watch
    if watch is None or watch.loop is not loop:
        watch = _local.watch = _LoopWatch(loop)
    if not watch.is_ticking:
        watch.start()
    return watch


class Stopwatch:
    """Measures how long another process takes."""

    def __init__(self, clock: RunClock) -> None:
        self._clock = clock
        self._started_at = clock()
        self._stopped_before = clock.stopped()

    def seconds(self) -> float | None:
        """Return the seconds since the start.

        None if that would say more of this process, as it did not run for long.
        """
        stopped = self._clock.stopped() - self._stopped_before
        seconds = self._clock() - self._started_at + stopped
        return None if stopped > MAX_STOPPED_SHARE * seconds else seconds


@contextlib.asynccontextmanager
async def run_timeout(seconds: float) -> AsyncIterator[None]:
    """Raise TimeoutError as ``asyncio.timeout`` does, by a ``RunTimer``."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as wait:
        timer = RunTimer(seconds, lambda: wait.reschedule(loop.time()))
        try:
            yield
        finally:
            timer.cancel()


async def is_done_within(future: asyncio.Future[Any], seconds: float) -> bool:
    """Wait for a future, by a ``RunTimer``; it goes on if it is not done."""
    with contextlib.suppress(TimeoutError):
        async with run_timeout(seconds):
            await asyncio.wait({future})
    return future.done()
