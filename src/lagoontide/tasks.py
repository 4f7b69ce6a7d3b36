"""Background tasks that are not awaited individually."""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["TaskSet"]


class TaskSet:
    """Keeps a reference to each running task; the event loop has only weak ones."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in tuple(self._tasks):
            task.cancel()

    async def join(self) -> None:
        """Wait until all tasks have ended; their exceptions are ignored."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
