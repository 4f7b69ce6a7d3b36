"""An event loop whose clock is virtual: it jumps to the next timer when idle."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Never waits; tells the loop how far its clock may jump."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("deadlock: nothing is due and nobody will wake us")
        if not ready:
            self.now += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)
        self._clock_resolution = 1e-9

    def time(self):
        return self._jumping.now


def run_virtual(coro):
    """Run a coroutine on a virtual clock and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coro)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
