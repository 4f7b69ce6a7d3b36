"""An event loop whose clock is virtual: it jumps to the next timer when idle."""

import asyncio
import selectors

TURN_S = 1e-9


class _JumpingSelector(selectors.SelectSelector):
    """Never waits; tells the loop how far its clock may jump."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        # Each turn takes a little, or a wait shorter than the clock's
        # resolution would be taken up again without end.
        self.now += TURN_S
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


def close_loop(loop):
    """Cancel what is left and close the loop."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks))
    loop.close()


def run_virtual(coro):
    """Run a coroutine on a virtual clock and return its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coro)
    finally:
        close_loop(loop)
