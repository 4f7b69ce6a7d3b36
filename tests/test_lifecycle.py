"""A daemon drains on the first signal and stops immediately on the second."""

import asyncio
import os
import signal

import pytest

from lagoontide.lifecycle import EXIT_DRAIN_INCOMPLETE, run_until_signal


def run(drain, signals):
    async def forever():
        await asyncio.Event().wait()

    async def main():
        loop = asyncio.get_running_loop()
        loop.call_soon(os.kill, os.getpid(), signal.SIGTERM)
        return await run_until_signal([forever()], lambda: drain(signals))

    return asyncio.run(main())


async def _drain_completes(signals):
    return True


async def _drain_until_cancelled(signals):
    for number in signals:
        os.kill(os.getpid(), number)
    await asyncio.Event().wait()
    return True


async def _drain_times_out(signals):
    return False


def test_completed_drain_exits_with_zero():
    assert run(_drain_completes, ()) == 0


def test_timed_out_drain_is_reported_by_exit_code():
    assert run(_drain_times_out, ()) == EXIT_DRAIN_INCOMPLETE


def test_second_signal_aborts_the_drain():
    assert run(_drain_until_cancelled, (signal.SIGTERM,)) == EXIT_DRAIN_INCOMPLETE
    assert run(_drain_until_cancelled, (signal.SIGINT,)) == EXIT_DRAIN_INCOMPLETE


class FailingTask(Exception):
    """Raised by a background task."""


def run_with_failing_task(drain):
    async def fail():
        raise FailingTask

    return asyncio.run(run_until_signal([fail()], drain))


# Guards against requests that are reset, all at once, as a background task raises.
def test_exception_of_a_background_task_drains_and_is_raised_then():
    steps = []

    async def drain():
        await asyncio.sleep(0.05)
        steps.append("drained")
        return True

    with pytest.raises(FailingTask):
        run_with_failing_task(drain)
    assert steps == ["drained"]


# Guards against an error of the drain that hides what made it necessary.
def test_exception_of_a_background_task_is_raised_even_if_the_drain_fails():
    async def drain():
        raise KeyError("drain")

    with pytest.raises(FailingTask):
        run_with_failing_task(drain)


# Guards against a drain that a SIGTERM ends, which asks for nothing but a drain.
def test_signal_does_not_abort_the_drain_after_a_failed_task():
    steps = []

    async def drain():
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.05)
        steps.append("drained")
        return True

    with pytest.raises(FailingTask):
        run_with_failing_task(drain)
    assert steps == ["drained"]
