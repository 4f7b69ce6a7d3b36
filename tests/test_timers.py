"""Timers of a process that is late itself."""

import asyncio
import threading
import time

import pytest

from lagoontide.http1.tcp import connect_tcp
from lagoontide.timers import (
    MAX_EXTENSIONS,
    Deadline,
    RunClock,
    RunTimer,
    Stopwatch,
    run_timeout,
)
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


LIMIT_S = 0.3
ANSWER_S = 0.1
# Delays that end within the limit, just before it, and after it.
DELAYS_S = (0.25, 0.29, 0.295, 0.3, 0.305, 0.31, 0.45)


def hold_up(seconds):
    time.sleep(seconds)


async def load_loop():
    """Make each round of the event loop take some milliseconds."""
    while True:
        hold_up(0.004)
        await asyncio.sleep(0)


class Peer(asyncio.Protocol):
    """A peer with an event loop of its own, which this process does not hold up."""

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_S, self._transport.write, b"answer")


@pytest.fixture
def port():
    """Return the port of a peer that answers each piece of data after ANSWER_S."""
    loop = asyncio.new_event_loop()
    server = loop.run_until_complete(loop.create_server(Peer, "127.0.0.1", 0))
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield server.sockets[0].getsockname()[1]
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    server.close()
    loop.close()


def run_beside_load(scenario):
    async def main():
        load = asyncio.create_task(load_loop())
        try:
            return await scenario()
        finally:
            load.cancel()

    return asyncio.run(main())


# Guards against connects to a sound peer that time out, as this process is held up
# until just before the limit and has no time left to see that they were accepted.
@pytest.mark.parametrize("delay", DELAYS_S)
def test_connect_is_not_ended_by_a_delay_of_this_process(port, delay):
    async def scenario():
        for _ in range(3):
            asyncio.get_running_loop().call_soon(hold_up, delay)
            (await connect_tcp("127.0.0.1", port, LIMIT_S)).abort()

    run_beside_load(scenario)


# Guards against an answer that is not waited for, as this process was late to send its
# request.
@pytest.mark.parametrize("delay", DELAYS_S)
def test_call_is_not_ended_by_a_delay_before_it_is_sent(port, delay):
    async def scenario():
        tcp = await connect_tcp("127.0.0.1", port, LIMIT_S)
        async with run_timeout(LIMIT_S):
            hold_up(delay)
            await tcp.write(b"x")
            assert await tcp.read() == b"answer"
        tcp.abort()

    run_beside_load(scenario)


# Guards against an answer that arrived in time and was not read, as this process was
# held up until the limit, or until just before it.
@pytest.mark.parametrize("delay", DELAYS_S)
@pytest.mark.parametrize("kind", ["run timer", "deadline"])
def test_answer_that_arrived_in_time_is_read(port, kind, delay):
    async def scenario():
        loop = asyncio.get_running_loop()
        tcp = await connect_tcp("127.0.0.1", port, LIMIT_S)
        await tcp.write(b"x")
        async with asyncio.timeout(None) as wait:
            if kind == "deadline":
                Deadline(wait, loop.time() + LIMIT_S)
            else:
                RunTimer(LIMIT_S, lambda: wait.reschedule(loop.time()))
            loop.call_soon(hold_up, delay)
            assert await tcp.read() == b"answer"
        tcp.abort()

    run_beside_load(scenario)


# Guards against limits that a sound process puts off.
def test_timeout_of_a_process_that_runs_ends_on_time():
    async def main():
        loop = asyncio.get_running_loop()
        taken = []
        for _ in range(3):
            since = loop.time()
            with pytest.raises(TimeoutError):
                async with run_timeout(0.1):
                    await loop.create_future()
            taken.append(loop.time() - since)
        return min(taken)

    assert 0.1 <= asyncio.run(main()) < 0.15


# Guards against a process that looks at its lateness although no timer is pending.
def test_lateness_is_not_watched_without_timers():
    async def main():
        loop = asyncio.get_running_loop()
        timers = [RunTimer(10.0, lambda: None) for _ in range(3)]
        for timer in timers:
            timer.cancel()
            timer.cancel()
        await asyncio.sleep(0.15)
        return [handle for handle in loop._scheduled if not handle.cancelled()]

    assert asyncio.run(main()) == []
