"""Detection of targets whose process has ended, or may have."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from loguru import logger

from lagoontide.targets.directory import Directory
from lagoontide.targets.pools import Pools
from lagoontide.targets.records import Target
from lagoontide.tasks import TaskSet

__all__ = ["Endings"]

# A crashed target refuses connections at once; a silent network does not answer.
CHECK_TIMEOUT_S = 0.3
# The kernel closes the sockets of a process that ends one by one; the one that listens
# may be the last.
EXIT_S = 0.05
# Connections that break within this time broke for the same reason.
BURST_S = 0.02
# For this long a target that was found ended is not asked again.
ENDED_TTL_S = 0.5
# Within this time a process that has started again registers, and one that has ended
# loses its registration (PROTOCOL, Service discovery: three heartbeats of 1.2 s).
DOUBT_S = 6.0
# Streams are taken up again within this time.
WATCH_S = 30.0


@dataclass(slots=True)
class _Check:
    task: asyncio.Task[bool]
    started_at: float


class Endings:
    """Checks whether targets have ended, once for all connections that broke.

    A broken connection alone does not show it: the network may have reset the
    connection, or the target may have closed it. A target has ended if it refuses new
    connections, and unannounced if its registration says that it takes work.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    is_cut_off : callable, optional
        Returns whether registrations may lack as the store is silent.

    Attributes
    ----------
    count : int
        Number of targets found ended.
    """

    def __init__(
        self,
        directory: Directory,
        pools: Pools,
        clock: Callable[[], float],
        is_cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._ended: set[tuple[str, int]] = set()
        self.count = 0
        self._is_cut_off = is_cut_off
        self._watched_until: dict[tuple[str, int], float] = {}
        self._doubted_until: dict[tuple[str, int], float] = {}
        self._tasks = TaskSet()
        pools.on_all_lost = self._on_all_lost
        self._directory = directory
        self._pools = pools
        self._clock = clock
        self._checks: dict[tuple[str, int], _Check] = {}

    def watch(self, target: Target) -> None:
        """Notice in the next while if a target that was sent a stream has ended."""
        self._watched_until[target.key] = self._clock() + WATCH_S

    def is_in_doubt(self, target: Target) -> bool:
        """Return whether a target may run another process than the one registered.

        It may be another version of its software. The doubt ends with a registration of
        the new process, which is another target, or as none comes in time.
        """
        until = self._doubted_until.get(target.key)
        if until is None:
            return False
        if self._clock() < until or self._is_cut_off():
            return True
        del self._doubted_until[target.key]
        return False

    def certain(self, targets: Sequence[Target]) -> Sequence[Target]:
        """Return those of some targets that are not in doubt."""
        if not self._doubted_until:
            return targets
        return [target for target in targets if not self.is_in_doubt(target)]

    def _doubt(self, target: Target, reason: str) -> None:
        self._doubted_until[target.key] = self._clock() + DOUBT_S
        logger.bind(target=target.id, service=target.service).info(
            "target may have started again: {}", reason
        )

    def _on_all_lost(self, target: Target, was_idle: bool) -> None:
        if self._watched_until.get(target.key, 0.0) < self._clock():
            return
        if was_idle:
            # A connection in use breaks for other reasons as well.
            self._doubt(target, "it closed all connections")
        self._tasks.start(self._check_unasked(target))

    async def _check_unasked(self, target: Target) -> None:
        await self.has_ended(target)

    async def has_ended(self, target: Target) -> bool:
        """Return whether a target, whose connection broke, has ended unannounced."""
        if not self._directory.is_accepting_work(target):
            return False
        refuses = await self._refuses_connections(target)
        # It may have announced its end meanwhile.
        return refuses and self._directory.is_accepting_work(target)

    async def has_stopped(self, target: Target) -> bool:
        """Return whether a target, whose connection broke, has ended in whatever way.

        One that is leaving, or whose registration is gone, still listens until it ends.
        """
        await asyncio.sleep(EXIT_S)
        return await self._refuses_connections(target)

    async def _refuses_connections(self, target: Target) -> bool:
        check = self._checks.get(target.key)
        if check is None or not self._covers(check):
            task = asyncio.create_task(self._check(target))
            check = self._checks[target.key] = _Check(task, self._clock())
        return await asyncio.shield(check.task)

    def close(self) -> None:
        """Cancel all checks that nobody waits for."""
        self._pools.on_all_lost = lambda target, was_idle: None
        self._tasks.cancel()

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
        for known in (self._watched_until, self._doubted_until):
            for key in known.keys() - kept:
                del known[key]
        for key in self._checks.keys() - kept:
            if self._checks[key].task.done():
                del self._checks[key]

    async def _check(self, target: Target) -> bool:
        is_listening = await self._pools.pool_of(target).check_listening(
            CHECK_TIMEOUT_S
        )
        refuses = is_listening is False
        is_unannounced = refuses and self._directory.is_accepting_work(target)
        if is_unannounced:
            self._doubt(target, "it refused a connection")
        if is_unannounced and target.key not in self._ended:
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
        return refuses
