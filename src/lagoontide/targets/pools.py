"""Connection pools of all targets."""

from collections.abc import Callable

from lagoontide.targets.pool import ConnPool
from lagoontide.targets.records import Target

__all__ = ["Pools"]

# Share of a target's connection limit that all entries together may use.
MAX_CONNS_SHARE = 0.9


class Pools:
    """A connection pool for each target, created on first use.

    Parameters
    ----------
    max_conns_of : callable
        Returns the number of connections that a target of a service accepts from
        all entries together.
    entries : callable
        Returns the number of entries, which share these connections evenly.

    Attributes
    ----------
    on_all_lost : callable
        Called with a target when it has closed its last open connection, see ConnPool.
    """

    def __init__(
        self, max_conns_of: Callable[[str], int], entries: Callable[[], int]
    ) -> None:
        self._max_conns_of = max_conns_of
        self._entries = entries
        self._pools: dict[tuple[str, int], ConnPool] = {}
        self.on_all_lost: Callable[[Target, bool], None] = lambda target, idle: None

    @property
    def opened(self) -> int:
        """Number of connections opened so far by the current pools."""
        return sum(pool.opened for pool in self._pools.values())

    def pool_of(self, target: Target) -> ConnPool:
        """Return the pool of a target."""
        pool = self._pools.get(target.key)
        if pool is None:
            pool = ConnPool(
                target.id,
                target.host,
                target.port,
                1,
                lambda was_idle: self.on_all_lost(target, was_idle),
            )
            self._pools[target.key] = pool
        share = (
            MAX_CONNS_SHARE
            * self._max_conns_of(target.service)
            / max(1, self._entries())
        )
        pool.max_open = max(1, int(share))
        return pool

    def keep_only(self, keys: set[tuple[str, int]]) -> None:
        """Close the pools of all targets but those with the given keys."""
        for key in self._pools.keys() - keys:
            self._pools.pop(key).close()

    def close(self) -> None:
        """Close all idle connections."""
        self.keep_only(set())
