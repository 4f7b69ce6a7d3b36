"""An entry's local view of the store, updated by the store itself or by peers."""

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from lagoontide.decoding import JsonDecoder
from lagoontide.errors import WireError
from lagoontide.forward.call import ForwardingState
from lagoontide.logs import format_traceback
from lagoontide.mesh.messages import StoreSnapshot
from lagoontide.mesh.registration import ENTRIES_PREFIX, EntryRecord, entry_name
from lagoontide.origins.keeper import ORIGINS_PREFIX, VERSIONS_PREFIX, StoredOrigins
from lagoontide.quarantine.keeper import QUARANTINE_PREFIX, StoredQuarantines
from lagoontide.routes.records import RoutingConfig
from lagoontide.routes.route_table import RouteTable
from lagoontide.store.revision_store import KeyRevision, Listing, Revision
from lagoontide.targets.records import Target

__all__ = ["Decoders", "StoreView"]

STORE_SOURCE = "store"
# The operator writes again within this time of a restore what the store has lost.
REWRITE_GRACE_S = 3.0
# Entries whose leases expired during a store outage register again within this time
# of its return.
REREGISTRATION_TIMEOUT_S = 3.0

_entry_decoder = JsonDecoder(EntryRecord, "entry record", "entries")


@dataclass(frozen=True, slots=True)
class Decoders:
    """Decoders for the keys and values of the store.

    Attributes
    ----------
    config_key : str
        Key of the configuration.
    config : callable
        Decodes the value of the configuration; raises WireError.
    target_id : callable
        Returns the target id that a key stands for, or None for other keys.
    target : callable
        Decodes a target from its id, value and revision; raises WireError.
    evacuated_domain : callable
        Returns the failure domain that a key evacuates, or None for other keys.
    """

    config_key: str
    config: Callable[[bytes], RoutingConfig]
    target_id: Callable[[str], str | None]
    target: Callable[[str, bytes, Revision], Target]
    evacuated_domain: Callable[[str], str | None]


class StoreView:
    """Applies store changes to the entry's targets, configuration and peer list.

    Implements ``lagoontide.store.follower.Sink``.

    Parameters
    ----------
    store_up_since : callable
        Returns the loop time at which the store's last outage ended; now during one.
    clock : callable
        Returns the loop time.
    holds_first_config : callable
        Returns whether the first configuration is held back, as a peer may have a newer
        one than a store that was restored from a copy.

    Attributes
    ----------
    config_revision : Revision
        Store revision of the configuration in force.
    config_value : bytes
        The configuration in force as it is stored.
    is_synced : bool
        Whether a full listing of the store, or a peer's snapshot, has been applied.
    entries : dict
        Registered entries by name; shared with the mesh.
    quarantines : StoredQuarantines
        The quarantines that the store holds.
    origins : StoredOrigins
        What the store holds of the versions that began streams.
    failed_items : int
        Changes that could not be applied, for a reason that was not foreseen.
    """

    def __init__(
        self,
        state: ForwardingState,
        decoders: Decoders,
        store_up_since: Callable[[], float],
        clock: Callable[[], float],
        holds_first_config: Callable[[], bool] = lambda: False,
    ) -> None:
        self._holds_first_config = holds_first_config
        self._held: RoutingConfig | None = None
        self._era = 0
        # Evacuated failure domains that a restored store lacks, and the loop time until
        # which each is kept.
        self._evacuated_until: dict[str, float] = {}
        self.config_revision = Revision()
        self.config_value = b""
        self.is_synced = False
        self.failed_items = 0
        self.entries: dict[str, EntryRecord] = {}
        self.quarantines = StoredQuarantines(state.guard.ledger)
        self.origins = StoredOrigins(state.origins)
        # Entries whose keys disappeared during a store outage, and the loop time
        # until which each is kept.
        self._kept_until: dict[str, float] = {}
        self._state = state
        self._decoders = decoders
        self._store_up_since = store_up_since
        self._clock = clock

    def replace(self, listing: Listing) -> None:
        """Replace the view by a full listing; whatever it lacks is removed."""
        names = set()
        entries = set()
        is_restored = 0 < self._era < listing.as_of.era
        self._era = listing.as_of.era
        absent = self._state.directory.absent()
        for item in listing.items:
            name = self._decoders.target_id(item.key)
            if name is not None:
                names.add(name)
            if item.key.startswith(ENTRIES_PREFIX):
                entries.add(entry_name(item.key))
            self.apply(item)
        for name in self.entries.keys() - entries:
            self._remove_entry(name)
        self.quarantines.keep_only(item.key for item in listing.items)
        self.origins.end_listing(item.key for item in listing.items)
        up_since = self._store_up_since()
        self._state.directory.remove_unlisted(names, listing.as_of, up_since)
        if is_restored:
            self._state.directory.doubt_returned(absent)
        domains = (self._decoders.evacuated_domain(item.key) for item in listing.items)
        self._replace_evacuated(frozenset(filter(None, domains)), is_restored)
        self.is_synced = True
        logger.info(
            "store listed at revision {}: {} keys, {} targets",
            listing.as_of,
            len(listing.items),
            len(names),
        )

    def apply(self, item: KeyRevision) -> None:
        """Apply one change of a key; whatever goes wrong costs this change only."""
        try:
            self._apply(item)
        except Exception as exc:
            self.failed_items += 1
            logger.bind(traceback=format_traceback(exc)).error(
                "change of key {!r:.200} at revision {} not applied: {!r:.200}",
                item.key,
                item.revision,
                exc,
            )

    def _apply(self, item: KeyRevision) -> None:
        name = self._decoders.target_id(item.key)
        if name is not None:
            self._apply_target(name, item)
        elif item.key == self._decoders.config_key and item.value is not None:
            self.adopt_config(item.value, item.revision, STORE_SOURCE)
        elif item.key.startswith(ENTRIES_PREFIX):
            if item.value is None:
                self._remove_entry(entry_name(item.key))
            else:
                self._apply_entry(item.key, item.value)
        elif item.key.startswith(QUARANTINE_PREFIX):
            self.quarantines.apply(item.key, item.value)
        elif item.key.startswith((ORIGINS_PREFIX, VERSIONS_PREFIX)):
            self.origins.apply(item.key, item.value)
        elif (domain := self._decoders.evacuated_domain(item.key)) is not None:
            directory = self._state.directory
            self._evacuated_until.pop(domain, None)
            others = directory.evacuated - {domain}
            directory.set_evacuated(others if item.value is None else others | {domain})

    @property
    def config_version(self) -> int:
        """Version of the configuration in force, or held back; 0 for none."""
        route_table = self._state.route_table
        if route_table is not None:
            return route_table.version
        return self._held.version if self._held else 0

    def adopt_config(self, value: bytes, revision: Revision, source: str) -> None:
        """Put a configuration in force unless a newer one already is.

        Versions decide, as the store may go back to an older one when it is restored
        from a copy.
        """
        if not value or value == self.config_value:
            return
        try:
            config = self._decoders.config(value)
        except WireError as exc:
            logger.error(
                "invalid configuration at revision {} ignored: {}", revision, exc
            )
            return
        if (config.version, revision) < (self.config_version, self.config_revision):
            logger.warning(
                "configuration {} at revision {} from {} ignored: older than {}",
                config.version,
                revision,
                source,
                self.config_version,
            )
            return
        self.config_revision, self.config_value = revision, value
        is_first = self._state.route_table is None
        if is_first and source == STORE_SOURCE and self._holds_first_config():
            self._held = config
            logger.info("configuration {} held back: no peer heard", config.version)
            return
        self._put_in_force(config, source)

    def release_config(self) -> None:
        """Put the configuration that was held back in force, if there is one."""
        if self._held is not None and self._state.route_table is None:
            self._put_in_force(self._held, STORE_SOURCE)

    def _put_in_force(self, config: RoutingConfig, source: str) -> None:
        self._held = None
        self._state.route_table = RouteTable(config)
        logger.info(
            "configuration {} at revision {} in force, from {}: {} routes, {} accounts",
            config.version,
            self.config_revision,
            source,
            len(config.routes),
            len(config.accounts),
        )

    def adopt_snapshot(self, peer: str, snapshot: StoreSnapshot) -> None:
        """Replace the view by the snapshot of a peer at a later store revision."""
        if snapshot.config:
            self.adopt_config(snapshot.config, snapshot.config_revision, peer)
        for target in snapshot.targets:
            self._state.directory.put(target)
            self._state.rate_limits.cold.register(target)
        self.entries.clear()
        self.entries.update(snapshot.entries)
        now = self._clock()
        self._kept_until = {
            name: now + seconds for name, seconds in snapshot.kept_entries.items()
        }
        for name, seconds in snapshot.kept.items():
            # Their keys are already deleted, so no further change will report it.
            self._state.directory.expire_after(name, seconds)
        names = {target.id for target in snapshot.targets}
        # The snapshot includes targets kept over a store outage, so any target that
        # it lacks is gone and needs no further grace period.
        self._state.directory.remove_unlisted(names, snapshot.as_of, 0.0)
        self._state.directory.set_evacuated(snapshot.evacuated)
        self.origins.adopt_snapshot(snapshot.origin_values, snapshot.origins)
        self._era = snapshot.as_of.era
        self.is_synced = True

    def kept_entries(self) -> dict[str, float]:
        """Return how many more seconds each entry without a key is kept, by name."""
        now = self._clock()
        return {name: until - now for name, until in self._kept_until.items()}

    def sweep(self) -> None:
        """Drop entries that did not register again after a store outage."""
        now = self._clock()
        for name, until in tuple(self._kept_until.items()):
            if now >= until:
                del self._kept_until[name]
                self.entries.pop(name, None)
        over = {name for name, until in self._evacuated_until.items() if now >= until}
        if over:
            for name in over:
                del self._evacuated_until[name]
            directory = self._state.directory
            directory.set_evacuated(directory.evacuated - over)

    def _replace_evacuated(self, listed: frozenset[str], is_restored: bool) -> None:
        """Apply the listed evacuations; keep others that a restored store may lack."""
        directory = self._state.directory
        if is_restored:
            until = self._clock() + REWRITE_GRACE_S
            for domain in directory.evacuated - listed:
                self._evacuated_until[domain] = until
        for domain in listed:
            self._evacuated_until.pop(domain, None)
        directory.set_evacuated(listed | self._evacuated_until.keys())

    def _remove_entry(self, name: str) -> None:
        until = self._store_up_since() + REREGISTRATION_TIMEOUT_S
        if self._clock() < until:
            self._kept_until.setdefault(name, until)
        else:
            self.entries.pop(name, None)

    def _apply_entry(self, key: str, value: bytes) -> None:
        try:
            entry = _entry_decoder.decode(value)
        except WireError as exc:
            logger.warning("entry record at key {!r:.200} ignored: {}", key, exc)
            return
        self.entries[entry_name(key)] = entry
        self._kept_until.pop(entry_name(key), None)

    def _apply_target(self, name: str, item: KeyRevision) -> None:
        directory = self._state.directory
        if item.value is None:
            directory.remove(name, item.revision, self._store_up_since())
            return
        try:
            target = self._decoders.target(name, item.value, item.revision)
            directory.put(target)
            self._state.rate_limits.cold.register(target)
        except WireError as exc:
            logger.warning("target treated as deleted: {}", exc)
            # An unreadable registration counts as a deletion, without a grace period,
            # even if the one before it was valid.
            directory.remove(name, item.revision, 0.0)
