"""Records of the versions that began streams, and the versions of each service.

What two versions of a target's software write does not fit together, so a stream that
a caller takes up again may only go on at the version that began it.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from itertools import groupby, islice

from loguru import logger

from lagoontide.origins.messages import AgedOrigin, Batch
from lagoontide.origins.versions import SeenVersions

__all__ = ["DEFAULT_RETENTION_S", "Origin", "Origins", "make_batch"]

DEFAULT_RETENTION_S = 30.0
MAX_RECORDS = 65_536
# Longer request ids are not recorded, so their streams cannot be taken up again while
# a service is mixed.
MAX_ID_LENGTH = 128
# A snapshot for a peer holds the newest records only, as messages are limited.
MAX_SNAPSHOT_RECORDS = 10_000


@dataclass(slots=True)
class Origin:
    """The version that began the stream of a request.

    Attributes
    ----------
    at : float
        Clock time at which the stream began, or at which this entry learned of it.
    is_own : bool
        Whether this entry sent the request to a target.
    is_sent : bool
        Whether the store holds the record.
    """

    request_id: str
    service: str
    version: str
    at: float
    is_own: bool
    is_sent: bool = False


class Origins:
    """The streams that may be taken up again, and the versions that began them.

    Records are kept for the retention time. It has to be the longest time for which a
    caller waits for a resumable stream: callers come back within their deadline only,
    and a stream began after its caller started to wait.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    retention : callable
        Returns the seconds for which records and versions are kept; asked at each
        ``observe_versions``.
    max_records : int
        Beyond it the oldest records are dropped.

    Attributes
    ----------
    dropped : int
        Records dropped before their retention time was over.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        retention: Callable[[], float] = lambda: DEFAULT_RETENTION_S,
        max_records: int = MAX_RECORDS,
    ) -> None:
        self._clock = clock
        self._get_retention = retention
        self._max_records = max_records
        # By request id, the oldest first.
        self._records: dict[str, Origin] = {}
        self._unsent: dict[str, Origin] = {}
        self._versions = SeenVersions(clock, DEFAULT_RETENTION_S)
        self._mixed: dict[str, frozenset[str]] = {}
        self._is_listed = False
        self._has_stored_versions = False
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def retention(self) -> float:
        """Seconds for which records and versions are kept."""
        return self._versions.retention

    @property
    def unsent_count(self) -> int:
        """Number of records that the store should hold but does not."""
        return len(self._unsent)

    @property
    def oldest_unsent_age(self) -> float:
        """Seconds since the first of the unsent streams began; 0 if there is none."""
        oldest = min((record.at for record in self._unsent.values()), default=None)
        return 0.0 if oldest is None else self._clock() - oldest

    def begin(self, request_id: str, service: str, version: str) -> None:
        """Record the version of the target that this entry sends a stream to.

        The last call counts, if the request moves on before its first event.
        """
        if len(request_id) > MAX_ID_LENGTH:
            return
        known = self._records.get(request_id)
        origin = (service, version)
        if known and known.is_own and (known.service, known.version) == origin:
            return
        now = self._clock()
        is_new = self._versions.see(service, version, now)
        record = Origin(request_id, service, version, now, is_own=True)
        self._add(record)
        if is_new:
            self._update(service)
        if service in self._mixed or not self._has_stored_versions:
            self._unsent[request_id] = record

    def complete(self, request_id: str) -> None:
        """Forget a stream that its caller has in full."""
        self._records.pop(request_id, None)
        self._unsent.pop(request_id, None)

    def find(self, request_id: str, service: str) -> str | None:
        """Return the version that began a stream of a service, or None if unknown."""
        record = self._records.get(request_id)
        if record is None or record.service != service or self._is_over(record.at):
            return None
        return record.version

    def learn(self, batch: Mapping[str, Mapping[str, Iterable[str]]]) -> None:
        """Add records of other entries: request ids by version and by service.

        Ids of own streams are ignored.
        """
        self.learn_aged(
            (request_id, service, version, 0.0)
            for service, ids_by_version in batch.items()
            for version, request_ids in ids_by_version.items()
            for request_id in request_ids
        )

    def learn_aged(self, rows: Iterable[AgedOrigin]) -> None:
        """Add records of another entry, with the time that each has been known."""
        now = self._clock()
        services = set()
        for request_id, service, version, age in rows:
            at = now - max(0.0, age)
            if self._is_over(at):
                continue
            if self._versions.see(service, version, at):
                services.add(service)
            self._learn_one(Origin(request_id, service, version, at, is_own=False))
        for service in services:
            self._update(service)

    def observe_versions(self, versions: Mapping[str, Collection[str]]) -> None:
        """Record the versions of all registered targets, the leaving ones included.

        To be called several times a second; also drops what is over.
        """
        retention = self._get_retention()
        is_same = retention == self._versions.retention
        self._versions.retention = retention
        changed = self._versions.observe(versions)
        for service in changed if is_same else self._versions.services() | changed:
            self._update(service)
        self._drop_ended()

    def learn_versions(self, versions: Mapping[str, Collection[str]]) -> None:
        """Add the stored versions; they count as seen now."""
        now = self._clock()
        for service, names in versions.items():
            for version in names:
                self._versions.see(service, version, now)
            self._update(service)

    def note_stored(self, has_versions: bool) -> None:
        """Record that the store's keys are known, and whether the version set is there.

        Until it is stored, all streams are recorded. Thus where it is missing, either
        no stream began before, or all that did are on record.
        """
        self._is_listed = True
        self._has_stored_versions = has_versions

    @property
    def is_complete(self) -> bool:
        """Whether all versions that may have begun a stream are known."""
        return self._is_listed

    def possible_versions(self, service: str) -> frozenset[str] | None:
        """Return the versions that began what a caller may still take up.

        None while this entry has not listed the store's keys.
        """
        return self._versions.current(service) if self.is_complete else None

    def is_mixed(self, service: str) -> bool:
        """Return whether more than one version is known for a service."""
        return len(self._versions.current(service)) > 1

    def version_set(self) -> dict[str, list[str]]:
        """Return the known versions of all services, sorted, as they are stored.

        The same object as before, unless it has changed.
        """
        return self._versions.as_set()

    def unsent(self, max_chars: int) -> list[Origin]:
        """Return records to be stored, the oldest first.

        Parameters
        ----------
        max_chars : int
            Bound on the total length of their request ids.
        """
        records: list[Origin] = []
        for record in self._unsent.values():
            max_chars -= len(record.request_id)
            if records and max_chars < 0:
                break
            records.append(record)
        return records

    def mark_sent(self, records: Iterable[Origin]) -> None:
        """Record that the store holds what ``unsent`` returned."""
        for record in records:
            record.is_sent = True
            # It has been replaced if the stream moved in the meantime.
            if self._unsent.get(record.request_id) is record:
                del self._unsent[record.request_id]

    def aged(self) -> list[AgedOrigin]:
        """Return the newest records, the oldest of them first, for another entry."""
        now = self._clock()
        skipped = max(0, len(self._records) - MAX_SNAPSHOT_RECORDS)
        return [
            (record.request_id, record.service, record.version, now - record.at)
            for record in islice(self._records.values(), skipped, None)
        ]

    def mark_all_unsent(self) -> None:
        """Record that the store may have lost what it held."""
        for record in self._records.values():
            if record.is_own:
                record.is_sent = False
        for service in self._mixed:
            self._queue_own(service)

    def _is_over(self, at: float) -> bool:
        return self._versions.is_over(at)

    def _update(self, service: str) -> None:
        """Queue or drop records if a service became mixed, or single again."""
        versions = self._versions.current(service)
        known = self._mixed.get(service)
        if len(versions) > 1 and versions != known:
            self._mixed[service] = versions
            self._log_versions(service, "mixed", versions)
            if known is None:
                self._queue_own(service)
        elif len(versions) <= 1 and known is not None:
            del self._mixed[service]
            self._log_versions(service, "single", versions)
            for record in tuple(self._unsent.values()):
                if record.service == service:
                    del self._unsent[record.request_id]

    @staticmethod
    def _log_versions(service: str, kind: str, versions: frozenset[str]) -> None:
        logger.bind(service=service).info(
            "versions of service, {}: {}", kind, ", ".join(sorted(versions)) or "none"
        )

    def _queue_own(self, service: str) -> None:
        self._unsent.update(
            (record.request_id, record)
            for record in self._records.values()
            if record.is_own and not record.is_sent and record.service == service
        )

    def _learn_one(self, record: Origin) -> None:
        known = self._records.get(record.request_id)
        if known is not None:
            origin = (record.service, record.version)
            if known.is_own or (known.service, known.version) == origin:
                return
        if len(record.request_id) <= MAX_ID_LENGTH:
            self._add(record)

    def _add(self, record: Origin) -> None:
        self._remove(record.request_id)
        self._records[record.request_id] = record
        self._drop_ended()
        while len(self._records) > self._max_records:
            self._remove(next(iter(self._records)))
            self.dropped += 1

    def _drop_ended(self) -> None:
        while self._records:
            record = next(iter(self._records.values()))
            if not self._is_over(record.at):
                break
            self._remove(record.request_id)

    def _remove(self, request_id: str) -> None:
        self._records.pop(request_id, None)
        self._unsent.pop(request_id, None)


def make_batch(records: Iterable[Origin]) -> Batch:
    """Return the request ids of records, by version and by service."""
    rows = sorted(
        (record.service, record.version, record.request_id) for record in records
    )
    return {
        service: {
            version: [request_id for _, _, request_id in group]
            for version, group in groupby(of_service, key=lambda row: row[1])
        }
        for service, of_service in groupby(rows, key=lambda row: row[0])
    }
