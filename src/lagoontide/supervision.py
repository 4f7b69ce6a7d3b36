"""Background tasks that are started again after an unexpected error."""

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger

from lagoontide.logs import format_traceback

__all__ = ["Supervisor"]

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 5.0
# A task that has run for this long had recovered from its last error.
RECOVERED_AFTER_S = 30.0


class Supervisor:
    """Runs background tasks; an error in one of them ends neither it nor the process.

    Attributes
    ----------
    failures : dict of str to int
        Unexpected errors so far, by the name of the task.
    """

    def __init__(self) -> None:
        self.failures: dict[str, int] = {}

    async def run(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it returns or is cancelled; start it again if it fails.

        Parameters
        ----------
        work : callable
            Starts the task, from the state in which it was left.
        """
        loop = asyncio.get_running_loop()
        backoff = MIN_BACKOFF_S
        while True:
            started_at = loop.time()
            try:
                return await work()
            except Exception as exc:
                self._record(name, exc)
            if loop.time() - started_at > RECOVERED_AFTER_S:
                backoff = MIN_BACKOFF_S
            await asyncio.sleep(backoff)
            backoff = min(2.0 * backoff, MAX_BACKOFF_S)

    def step(self, name: str, work: Callable[[], object]) -> None:
        """Run one step of a task, whose failure does not keep others from running."""
        try:
            work()
        except Exception as exc:
            self._record(name, exc)

    def _record(self, name: str, exc: Exception) -> None:
        self.failures[name] = self.failures.get(name, 0) + 1
        logger.bind(task=name, traceback=format_traceback(exc)).error(
            "background task failed, {} times so far: {!r:.200}",
            self.failures[name],
            exc,
        )
