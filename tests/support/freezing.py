"""Event loops that stop for a while, as after SIGSTOP and SIGCONT."""

import asyncio
import time

__all__ = ["freeze"]


def freeze(seconds):
    """Stop the running event loop for some seconds as it polls its sockets next.

    The poll then returns nothing, as ``epoll_wait`` does after SIGCONT if its own time
    is over, so that due timers run before events that have arrived meanwhile.
    """
    selector = asyncio.get_running_loop()._selector
    select = selector.select

    def select_late(timeout=None):
        selector.select = select
        time.sleep(seconds)
        return []

    selector.select = select_late
