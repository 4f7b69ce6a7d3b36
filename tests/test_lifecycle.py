"""A daemon drains on the first signal and stops immediately on the second."""

import asyncio
import os
import signal

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
