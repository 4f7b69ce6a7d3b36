"""A daemon drains on the first signal and ends at once on the second."""

import asyncio
import os
import signal

from lagoontide.lifecycle import EXIT_CUT_OFF, run_until_signal


def run(drain, signals):
    async def forever():
        await asyncio.Event().wait()

    async def main():
        loop = asyncio.get_running_loop()
        loop.call_soon(os.kill, os.getpid(), signal.SIGTERM)
        return await run_until_signal([forever()], lambda: drain(signals))

    return asyncio.run(main())


async def _drain_whole(signals):
    return True


async def _drain_in_vain(signals):
    for number in signals:
        os.kill(os.getpid(), number)
    await asyncio.Event().wait()
    return True


async def _drain_too_long(signals):
    return False


def test_a_drain_that_ends_is_a_clean_stop():
    assert run(_drain_whole, ()) == 0


def test_a_drain_past_its_bound_is_said_so():
    assert run(_drain_too_long, ()) == EXIT_CUT_OFF


def test_a_second_signal_ends_the_drain():
    assert run(_drain_in_vain, (signal.SIGTERM,)) == EXIT_CUT_OFF
    assert run(_drain_in_vain, (signal.SIGINT,)) == EXIT_CUT_OFF
