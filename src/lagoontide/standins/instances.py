"""Stand-in of the platform's list of instances, which lags."""

import asyncio
from collections import deque

from lagoontide.errors import StoreUnavailable
from lagoontide.standins.faults import Faults
from lagoontide.store.instances import Instance

__all__ = ["LaggingList"]


class LaggingList:
    """Shows each change some time after it was made.

    Parameters
    ----------
    lag : float
        Seconds.
    """

    def __init__(self, instances: tuple[Instance, ...], lag: float = 0.0) -> None:
        self.faults = Faults()
        self._lag = lag
        self._shown = instances
        self._newest = instances
        self._changes: deque[tuple[float, tuple[Instance, ...]]] = deque()

    async def list(self) -> tuple[Instance, ...]:
        """See InstanceSource."""
        if self.faults.down:
            raise StoreUnavailable("the list is down", step="instances")
        now = asyncio.get_running_loop().time()
        while self._changes and self._changes[0][0] <= now:
            self._shown = self._changes.popleft()[1]
        return self._shown

    def put(self, instance: Instance) -> None:
        """Add an instance, or change the one of this name."""
        others = (item for item in self._newest if item.name != instance.name)
        self._change((*others, instance))

    def remove(self, name: str) -> None:
        """Take an instance off the list."""
        self._change(tuple(item for item in self._newest if item.name != name))

    def _change(self, instances: tuple[Instance, ...]) -> None:
        self._newest = instances
        shown_at = asyncio.get_running_loop().time() + self._lag
        self._changes.append((shown_at, instances))
