"""Start and stop of a daemon: signals, drain and its bound."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

__all__ = ["run_daemon", "run_until_signal"]

EXIT_CUT_OFF = 1
SWITCH_INTERVAL_S = 0.0005


async def run_until_signal(
    tasks: list[Coroutine[Any, Any, None]], drain: Callable[[], Awaitable[bool]]
) -> int:
    """Run tasks until SIGTERM or SIGINT, then drain; return the exit code.

    A second signal ends the process without waiting any longer.
    """
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[int] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    running = [asyncio.create_task(task) for task in tasks]
    first = asyncio.create_task(signals.get())
    try:
        await asyncio.wait({first, *running}, return_when=asyncio.FIRST_COMPLETED)
        for task in running:
            if task.done():
                task.result()
        return await _drain(signals, drain)
    finally:
        first.cancel()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


async def _drain(
    signals: asyncio.Queue[int], drain: Callable[[], Awaitable[bool]]
) -> int:
    logger.info("draining")
    draining = asyncio.ensure_future(drain())
    second = asyncio.create_task(signals.get())
    await asyncio.wait({draining, second}, return_when=asyncio.FIRST_COMPLETED)
    second.cancel()
    if draining.done() and draining.result():
        logger.info("all work has ended")
        return 0
    draining.cancel()
    logger.warning("stopped with work under way")
    return EXIT_CUT_OFF


def run_daemon(main: Coroutine[Any, Any, int]) -> int:
    """Run a daemon's coroutine to its end and return the exit code."""
    # The loop and the HTTP threads take turns all the time; with the default of
    # 5 ms each hand-over waits for a thread that has little to do.
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    return asyncio.run(main)
