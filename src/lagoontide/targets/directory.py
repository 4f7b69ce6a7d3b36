"""Directory of targets, from the store, from peers and from the targets' answers."""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace

from loguru import logger

from lagoontide.store.revision_store import Revision
from lagoontide.targets.records import Target, TargetState

__all__ = ["Directory"]

# Registrations that expired during a store outage are written again within about two
# seconds of its end (PROTOCOL, Service discovery); until then a missing registration
# does not mean that the target is gone.
REREGISTRATION_GRACE_S = 2.2
# A store that was restored from a copy lists targets again that are gone. Those that
# run write again, the leases of the others run out within this time.
RETURN_DOUBT_S = 6.0
# Targets that are gone are remembered for longer than copies are old.
GONE_RETENTION_S = 120.0
# Time for which peers are told that a target is leaving.
LEAVING_ADVERTISED_S = 3.0
# Targets that left are remembered for as long as an old registration may arrive.
LEAVING_RETENTION_S = 300.0


class Directory:
    """Registered targets, by id.

    A target that was seen leaving gets no work again; a target that starts later
    under the same id is a different one.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._targets: dict[str, Target] = {}
        self._leaving_since: dict[tuple[str, int], float] = {}
        self._gone_at: dict[tuple[str, int], float] = {}
        self._doubted_until: dict[tuple[str, int], float] = {}
        # Versions by id and start time, also of targets that are gone.
        self._versions: dict[tuple[str, int], str] = {}
        self._evacuated: frozenset[str] = frozenset()
        # Targets whose registration is missing since a store outage, with the clock
        # time until which they are kept.
        self._expires_at: dict[str, float] = {}
        # Caches, built on demand and dropped when targets change.
        self._ready: dict[str, tuple[Target, ...]] | None = None
        self._by_address: dict[str, Target] | None = None
        self._by_service: dict[str, frozenset[str]] | None = None

    def __len__(self) -> int:
        return len(self._targets)

    def all(self) -> tuple[Target, ...]:
        """Return all targets, including those that are leaving."""
        return tuple(self._targets.values())

    def get(self, name: str) -> Target | None:
        """Return the target with an id, or None."""
        return self._targets.get(name)

    def versions(self) -> Mapping[str, frozenset[str]]:
        """Return the known versions of all targets, by their service."""
        if self._by_service is None:
            versions: dict[str, set[str]] = defaultdict(set)
            for target in self._targets.values():
                if target.version:
                    versions[target.service].add(target.version)
            self._by_service = {
                service: frozenset(names) for service, names in versions.items()
            }
        return self._by_service

    def at_address(self, address: str) -> Target | None:
        """Return the target that listens at an address, or None."""
        if self._by_address is None:
            self._by_address = {}
            for target in self._targets.values():
                self._by_address.setdefault(target.address, target)
        return self._by_address.get(address)

    def ready(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that accept new work, ordered by id."""
        if self._ready is None:
            by_service: dict[str, list[Target]] = defaultdict(list)
            for target in self._targets.values():
                if self._is_accepting_work(target):
                    by_service[target.service].append(target)
            self._ready = {
                name: tuple(sorted(targets, key=lambda target: target.id))
                for name, targets in by_service.items()
            }
        return self._ready.get(service, ())

    def is_accepting_work(self, target: Target) -> bool:
        """Return whether a target still accepts new work and has not restarted."""
        known = self._targets.get(target.id)
        return (
            known is not None
            and known.key == target.key
            and self._is_accepting_work(known)
        )

    def put(self, target: Target) -> None:
        """Add or update a target, unless a later revision of it is known."""
        known = self._targets.get(target.id)
        if known is not None and known.revision > target.revision:
            return
        self._expires_at.pop(target.id, None)
        if known is not None and known.revision < target.revision:
            self._end_doubt(target.key, "it has registered again")
        target = self._keep_version(target)
        self._targets[target.id] = target
        self._by_address = None
        if known is None or (known.service, known.version) != (
            target.service,
            target.version,
        ):
            self._by_service = None
        if known is None or replace(known, revision=target.revision) != target:
            # The cached list holds the targets themselves.
            self._ready = None
        if known is not None and (known.key, known.state) == (target.key, target.state):
            return
        logger.bind(target=target.id, revision=target.revision).info(
            "target state: {}, address: {}, service: {}",
            target.state,
            target.address,
            target.service,
        )
        if target.state is TargetState.LEAVING:
            self._leaving_since[target.key] = self._clock()

    def remove(self, name: str, revision: Revision, store_up_since: float) -> None:
        """Remove a target whose registration was deleted at a revision.

        Parameters
        ----------
        store_up_since : float
            Clock time at which the store's last outage ended. Ready targets whose
            registration expired in the outage are kept for a grace time, in which
            they register again.
        """
        target = self._targets.get(name)
        if target is None or target.revision > revision:
            return
        expires_at = store_up_since + REREGISTRATION_GRACE_S
        if target.state is TargetState.READY and self._clock() < expires_at:
            self._expires_at.setdefault(name, expires_at)
            return
        self._drop(name, "entry deleted")

    def remove_unlisted(
        self, names: Iterable[str], as_of: Revision, store_up_since: float
    ) -> None:
        """Remove all targets that a full listing of the store does not contain.

        Parameters
        ----------
        as_of : Revision
            The store's revision of the listing.
        store_up_since : float
            See ``remove``.
        """
        for name in self._targets.keys() - set(names):
            self.remove(name, as_of, store_up_since)

    def absent(self) -> frozenset[tuple[str, int]]:
        """Return id and start time of the targets whose registration was deleted."""
        expiring = (self._targets[name].key for name in self._expires_at)
        return frozenset((*self._gone_at, *expiring))

    def doubt_returned(self, absent: Collection[tuple[str, int]]) -> None:
        """Send no work for now to targets that a restored store lists again.

        Parameters
        ----------
        absent : collection of tuple
            What ``absent`` returned before the store's first listing since.
        """
        until = self._clock() + RETURN_DOUBT_S
        for target in self._targets.values():
            if target.key in absent and target.id not in self._expires_at:
                self._doubted_until[target.key] = until
                self._ready = None
                logger.bind(target=target.id).info("target was gone before the restore")

    def _end_doubt(self, key: tuple[str, int], reason: str) -> None:
        if self._doubted_until.pop(key, None) is not None:
            self._ready = None
            logger.bind(target=key[0]).info("target is back: {}", reason)

    def mark_leaving(self, target: Target, reason: str) -> None:
        """Stop sending work to a target, for a reason that is logged.

        Its address belongs to another target, or a peer reports that it is leaving.
        """
        if target.key not in self._leaving_since:
            self._leaving_since[target.key] = self._clock()
            self._ready = None
            logger.bind(target=target.id).info("target gets no more work: {}", reason)

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose targets get no work."""
        return self._evacuated

    def set_evacuated(self, domains: Iterable[str]) -> None:
        """Replace the failure domains whose targets get no work."""
        domains = frozenset(domains)
        if domains != self._evacuated:
            logger.info("evacuated failure domains: {}", sorted(domains))
            self._evacuated = domains
            self._ready = None

    def recently_leaving(self) -> tuple[tuple[str, int], ...]:
        """Return id and start time of the targets that were seen leaving recently."""
        oldest = self._clock() - LEAVING_ADVERTISED_S
        return tuple(key for key, at in self._leaving_since.items() if at > oldest)

    def mark_reported_leaving(self, keys: Iterable[tuple[str, int]], peer: str) -> None:
        """Stop sending work to the targets that a peer reports as leaving."""
        for name, born in keys:
            target = self._targets.get(name)
            if target is not None and target.born == born:
                self.mark_leaving(target, f"reported by {peer}")

    def seconds_until_expiry(self) -> dict[str, float]:
        """Return the seconds left to targets that lack a registration, by id."""
        now = self._clock()
        return {name: until - now for name, until in self._expires_at.items()}

    def expire_after(self, name: str, seconds: float) -> None:
        """Drop a target after some seconds unless it registers again before."""
        if name in self._targets:
            self._expires_at.setdefault(name, self._clock() + seconds)

    def remove_expired(self) -> None:
        """Drop targets that did not register again in time after a store outage.

        Also forgets targets that left long ago.
        """
        now = self._clock()
        for key, at in tuple(self._leaving_since.items()):
            if now - at > LEAVING_RETENTION_S and key[0] not in self._targets:
                del self._leaving_since[key]
        for key, at in tuple(self._gone_at.items()):
            if now - at > GONE_RETENTION_S:
                del self._gone_at[key]
                known = self._targets.get(key[0])
                if known is None or known.key != key:
                    self._versions.pop(key, None)
        for key, until in tuple(self._doubted_until.items()):
            if now >= until:
                self._end_doubt(key, "its registration has not run out")
        for name, until in tuple(self._expires_at.items()):
            if now >= until:
                self._expires_at.pop(name)
                self._drop(name, "not registered again after the store outage")

    def _keep_version(self, target: Target) -> Target:
        """Return a target with the version that it first registered since its start.

        A registration with another one is wrong, now or before, so that streams of the
        target cannot be told from those of another version.
        """
        known = self._versions.get(target.key, "")
        if target.version in ("", known):
            return replace(target, version=known)
        if not known:
            self._versions[target.key] = target.version
            return target
        self.mark_leaving(
            target,
            f"registered as version {target.version!r} since the same start, "
            f"before as {known!r}",
        )
        return replace(target, version=known)

    def _is_accepting_work(self, target: Target) -> bool:
        return (
            target.state is TargetState.READY
            and target.key not in self._leaving_since
            and target.key not in self._doubted_until
            and target.failure_domain not in self._evacuated
        )

    def _drop(self, name: str, reason: str) -> None:
        target = self._targets.pop(name)
        self._gone_at[target.key] = self._clock()
        self._doubted_until.pop(target.key, None)
        self._expires_at.pop(name, None)
        self._ready = self._by_address = self._by_service = None
        logger.bind(target=name).info("target gone: {}", reason)
