"""An event loop whose clock is virtual: it jumps to the next timer when idle."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["VirtualLoop", "close_loop", "run_virtual"]

TIMER_RESOLUTION_S = 1e-9

Result = TypeVar("Result")


class _JumpingSelector(selectors.SelectSelector):
    """Never waits; keeps the clock, which jumps by what it should have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        # Each turn takes a little, or a wait shorter than the clock's
        # resolution would be taken up again without end.
        self.now += TIMER_RESOLUTION_S
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: nothing is due and nobody will wake us")
        self.now += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        self._clock_resolution = TIMER_RESOLUTION_S

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now


def close_loop(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel what is left and close the loop."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))
    loop.close()


def run_virtual(coro: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a virtual clock and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coro)
    finally:
        close_loop(loop)
