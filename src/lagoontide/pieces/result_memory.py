"""Memory for results at stage targets: freeing results, querying what is left."""

import asyncio
from collections.abc import Callable

from loguru import logger

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.pieces.records import PieceClient
from lagoontide.pieces.target_tracker import TargetTracker, TrackedTarget
from lagoontide.routes.records import PieceSettings
from lagoontide.tasks import TaskSet

__all__ = ["ResultMemory"]

# Results freed within this time share a call.
FREE_BATCH_WINDOW_S = 0.004
# The same at a target that names a rate limit, which counts these calls too.
LIMITED_FREE_BATCH_WINDOW_S = 1.0


class ResultMemory:
    """Manages the memory for results at the targets of one owner.

    Parameters
    ----------
    on_change : callable
        Called when memory may have become free.
    """

    def __init__(
        self, tracker: TargetTracker, client: PieceClient, on_change: Callable[[], None]
    ) -> None:
        self._tracker = tracker
        self._client = client
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()
        self._pending: dict[str, list[str]] = {}
        self._tasks = TaskSet()

    def free(self, handles: tuple[str, ...]) -> None:
        """Free results, in one call for each target."""
        for handle in handles:
            address = self._client.address_of(handle)
            if address not in self._pending:
                self._pending[address] = []
                self._loop.call_later(self._batch_window(address), self._flush, address)
            self._pending[address].append(handle)

    def query_free_memory(
        self, tracked: TrackedTarget, settings: PieceSettings
    ) -> None:
        """Query the free memory of a target, to account for other owners' results."""
        tracked.is_memory_queried = True
        self._tasks.start(self._refresh_free_memory(tracked, settings))

    def close(self) -> None:
        """Cancel all calls."""
        self._pending.clear()
        self._tasks.cancel()

    def _batch_window(self, address: str) -> float:
        tracked = self._tracker.by_address(address)
        if (
            tracked is None
            or self._tracker.rate_shares.limits.get(tracked.target) is None
        ):
            return FREE_BATCH_WINDOW_S
        return LIMITED_FREE_BATCH_WINDOW_S

    def _flush(self, address: str) -> None:
        if address not in self._pending:
            return
        tracked = self._tracker.by_address(address)
        if tracked is not None and (left := self._tracker.pause_left(tracked)):
            self._loop.call_later(left, self._flush, address)
            return
        handles = self._pending.pop(address)
        if tracked is None:
            # The results are gone with the target.
            logger.debug("{} results gone with target {}", len(handles), address)
            return
        self._tasks.start(self._free_on(tracked, tuple(handles)))

    async def _refresh_free_memory(
        self, tracked: TrackedTarget, settings: PieceSettings
    ) -> None:
        try:
            free_bytes = await self._client.query_free_bytes(tracked.target)
        except (TargetUnreachable, TargetFailed) as exc:
            logger.bind(target=tracked.target.id).info(
                "failed to query free memory: {}", exc
            )
            return
        tracked.set_reported_free_bytes(settings, free_bytes, self._loop.time())

    async def _free_on(self, tracked: TrackedTarget, handles: tuple[str, ...]) -> None:
        try:
            await self._client.free(tracked.target, handles)
        except (TargetUnreachable, TargetFailed) as exc:
            logger.bind(target=tracked.target.id).info(
                "failed to free results: {}", exc
            )
            return
        # Before the answer, a new call could still find the memory occupied.
        for handle in handles:
            tracked.results.pop(handle, None)
        self._on_change()
