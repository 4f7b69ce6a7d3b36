"""Start and graceful stop of a daemon: signal handling, draining and exit code."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from lagoontide.logs import format_traceback

__all__ = ["catch_signals", "run_daemon", "run_until_signal"]

EXIT_DRAIN_INCOMPLETE = 1
THREAD_SWITCH_INTERVAL_S = 0.0005


def catch_signals() -> asyncio.Queue[int]:
    """Keep SIGTERM and SIGINT from ending the process; return the queue of them.

    To be called before the process takes work, so that none is lost by a signal.
    """
    loop = asyncio.get_running_loop()
    signals: asyncio.Queue[int] = asyncio.Queue()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.put_nowait, number)
    return signals


async def run_until_signal(
    tasks: list[Coroutine[Any, Any, None]],
    drain: Callable[[], Awaitable[bool]],
    signals: asyncio.Queue[int] | None = None,
) -> int:
    """Run tasks until SIGTERM or SIGINT, then drain.

    Draining also starts when one of the tasks ends; an exception that it raised is
    propagated once the drain is over. A second signal stops the process without
    waiting for the drain to finish.

    Parameters
    ----------
    tasks : list of coroutine
        Background work of the daemon, cancelled after the drain.
    drain : callable
        Finishes the work in progress; returns whether all of it finished in time.
    signals : asyncio.Queue, optional
        What ``catch_signals`` returned, if it has been called.

    Returns
    -------
    int
        Exit code: 0 if the drain completed, ``EXIT_DRAIN_INCOMPLETE`` otherwise.
    """
    if signals is None:
        signals = catch_signals()
    running = [asyncio.create_task(task) for task in tasks]
    first = asyncio.create_task(signals.get())
    try:
        await asyncio.wait({first, *running}, return_when=asyncio.FIRST_COMPLETED)
        return await _drain_after(
            [task for task in running if task.done()], signals, drain
        )
    finally:
        first.cancel()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


async def _drain_after(
    ended: list[asyncio.Task[None]],
    signals: asyncio.Queue[int],
    drain: Callable[[], Awaitable[bool]],
) -> int:
    """Drain as some tasks have ended or a signal came; raise what a task raised."""
    try:
        for task in ended:
            task.result()
    except BaseException as exc:
        logger.bind(traceback=format_traceback(exc)).error(
            "background task failed, stopping: {!r:.200}", exc
        )
        try:
            await _drain(signals, drain)
        except Exception as drain_exc:
            logger.bind(traceback=format_traceback(drain_exc)).error(
                "drain failed: {!r:.200}", drain_exc
            )
        raise
    return await _drain(signals, drain)


async def _drain(
    signals: asyncio.Queue[int], drain: Callable[[], Awaitable[bool]]
) -> int:
    logger.info("stopping: draining work in progress")
    draining = asyncio.ensure_future(drain())
    second = asyncio.create_task(signals.get())
    await asyncio.wait({draining, second}, return_when=asyncio.FIRST_COMPLETED)
    second.cancel()
    if draining.done() and draining.result():
        logger.info("drain complete: no work in progress")
        return 0
    draining.cancel()
    logger.warning("drain timed out or was interrupted: work in progress is aborted")
    return EXIT_DRAIN_INCOMPLETE


def run_daemon(main: Coroutine[Any, Any, int]) -> int:
    """Run a daemon's main coroutine and return its exit code."""
    # The event loop and the HTTP threads hand the GIL back and forth constantly. With
    # the default switch interval of 5 ms, each hand-over waits for a thread that has
    # little work to do.
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    return asyncio.run(main)
