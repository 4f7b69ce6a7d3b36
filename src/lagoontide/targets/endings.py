"""Detection of targets whose process has ended."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from loguru import logger

from lagoontide.targets.directory import Directory
from lagoontide.targets.pools import Pools
from lagoontide.targets.records import Target

__all__ = ["Endings"]

# A crashed target refuses connections at once; a silent network does not answer.
CHECK_TIMEOUT_S = 0.3
# Connections that break within this time broke for the same reason.
BURST_S = 0.02
# For this long a target that was found ended is not asked again.
ENDED_TTL_S = 0.5


@dataclass(slots=True)
class _Check:
    task: asyncio.Task[bool]
    started_at: float


class Endings:
    """Checks whether targets have ended, once for all connections that broke.

    A broken connection alone does not show it: the network may have reset the
    connection, or the target may have closed it. A target has ended if it refuses new
    connections although its registration says that it takes work.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.

    Attributes
    ----------
    count : int
        Number of targets found ended.
    """

    def __init__(
        self, directory: Directory, pools: Pools, clock: Callable[[], float]
    ) -> None:
        self._ended: set[tuple[str, int]] = set()
        self.count = 0
        self._directory = directory
        self._pools = pools
        self._clock = clock
        self._checks: dict[tuple[str, int], _Check] = {}

    async def has_ended(self, target: Target) -> bool:
        """Return whether a target, whose connection broke, has ended unannounced."""
        check = self._checks.get(target.key)
        if check is None or not self._covers(check):
            task = asyncio.create_task(self._check(target))
            check = self._checks[target.key] = _Check(task, self._clock())
        return await asyncio.shield(check.task)

    def _covers(self, check: _Check) -> bool:
        """Return whether a check holds for a connection that breaks now."""
        age = self._clock() - check.started_at
        if age < BURST_S:
            return True
        # A target that still listened then may have ended since.
        is_done = check.task.done() and not check.task.cancelled()
        return is_done and check.task.result() and age < ENDED_TTL_S

    def keep_only(self, keep: Iterable[tuple[str, int]]) -> None:
        """Drop the results for all targets but those with the given keys."""
        kept = set(keep)
        self._ended &= kept
        for key in self._checks.keys() - kept:
            if self._checks[key].task.done():
                del self._checks[key]

    async def _check(self, target: Target) -> bool:
        if not self._directory.is_accepting_work(target):
            return False
        is_listening = await self._pools.pool_of(target).check_listening(
            CHECK_TIMEOUT_S
        )
        has_ended = is_listening is False and self._directory.is_accepting_work(target)
        if has_ended and target.key not in self._ended:
            self._ended.add(target.key)
            self.count += 1
        logger.bind(target=target.id, service=target.service).info(
            "connection to target broke: {}",
            {
                True: "the target still accepts connections",
                False: "the target has ended, connections are refused",
                None: "the target does not answer",
            }[is_listening],
        )
        return has_ended
