"""The versions of each service that may have begun a stream."""

from collections.abc import Callable, Collection, Mapping
from itertools import islice

__all__ = ["SeenVersions"]


class SeenVersions:
    """Versions by service, each until it was last seen a retention time ago.

    Registered versions count as seen whenever they are observed. The work done depends
    on what has changed since then, not on the number of services.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    retention : float
        Seconds for which versions are kept.
    """

    def __init__(self, clock: Callable[[], float], retention: float) -> None:
        self.retention = retention
        self._clock = clock
        self._registered: dict[str, frozenset[str]] = {}
        self._observed_at = float("-inf")
        # Clock times of all other sights, by service and version.
        self._seen: dict[str, dict[str, float]] = {}
        # Service and version of each, with the time; the oldest first if sorted.
        self._order: dict[tuple[str, str], float] = {}
        self._is_sorted = True
        self._newest_at = float("-inf")
        self._set: dict[str, list[str]] | None = None

    def current(self, service: str) -> frozenset[str]:
        """Return the versions of a service that are not over."""
        seen = self._seen.get(service, {})
        versions = {version for version, at in seen.items() if not self.is_over(at)}
        if not self.is_over(self._observed_at):
            versions |= self._registered.get(service, frozenset())
        return frozenset(versions)

    def is_over(self, at: float) -> bool:
        """Return whether the retention time has passed since a clock time."""
        return self._clock() - at >= self.retention

    def see(self, service: str, version: str, at: float) -> bool:
        """Record a version as seen at a clock time; return whether it is new."""
        is_new = version not in self.current(service)
        seen = self._seen.setdefault(service, {})
        if at > seen.get(version, float("-inf")):
            seen[version] = at
            self._order.pop((service, version), None)
            self._order[service, version] = at
            self._is_sorted = self._is_sorted and at >= self._newest_at
            self._newest_at = max(self._newest_at, at)
        if is_new:
            self._set = None
        return is_new

    def observe(self, registered: Mapping[str, Collection[str]]) -> set[str]:
        """Record the registered versions; return the services that may have changed."""
        is_first = self.is_over(self._observed_at)
        known, self._registered = (
            self._registered,
            _frozen(self._registered, registered),
        )
        changed = set(known) | set(self._registered) if is_first else set()
        if known is not self._registered:
            for service in known.keys() | self._registered.keys():
                before = known.get(service, frozenset())
                after = self._registered.get(service, frozenset())
                if before == after:
                    continue
                changed.add(service)
                for version in before - after:
                    self.see(service, version, self._observed_at)
        self._observed_at = self._clock()
        changed |= self._drop_ended()
        if changed:
            self._set = None
        return changed

    def services(self) -> set[str]:
        """Return the services of which any version is known."""
        return self._seen.keys() | self._registered.keys()

    def as_set(self) -> dict[str, list[str]]:
        """Return the versions of all services, sorted; one object until a change."""
        if self._set is not None and not self._has_ended():
            return self._set
        by_service = {
            service: sorted(self.current(service))
            for service in sorted(self.services())
        }
        self._set = {service: known for service, known in by_service.items() if known}
        return self._set

    def _has_ended(self) -> bool:
        """Return whether some version has ended since the last observation."""
        if self._registered and self.is_over(self._observed_at):
            return True
        self._sort()
        return any(map(self.is_over, islice(self._order.values(), 1)))

    def _sort(self) -> None:
        if not self._is_sorted:
            self._order = dict(sorted(self._order.items(), key=lambda item: item[1]))
            self._is_sorted = True

    def _drop_ended(self) -> set[str]:
        """Drop what is over; return its services."""
        self._sort()
        services = set()
        while self._order:
            service, version = next(iter(self._order))
            if not self.is_over(self._seen[service][version]):
                break
            del self._order[service, version], self._seen[service][version]
            if not self._seen[service]:
                del self._seen[service]
            services.add(service)
        return services


def _frozen(
    known: dict[str, frozenset[str]], versions: Mapping[str, Collection[str]]
) -> dict[str, frozenset[str]]:
    """Return a copy of versions by service; the known one if it is the same."""
    if known == versions:
        return known
    return {service: frozenset(names) for service, names in versions.items()}
