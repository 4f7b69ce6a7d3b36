"""Turns of connections that would keep the processor from all others."""

import asyncio

__all__ = ["Turns"]


class Turns:
    """Gives one connection at a time a turn, in the order in which they ask.

    All other work of the event loop is done between two turns.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def wait(self) -> None:
        """Wait until the others have had a turn, and all other work one, too."""
        async with self._lock:
            await asyncio.sleep(0)
