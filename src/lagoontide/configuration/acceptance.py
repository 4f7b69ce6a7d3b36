"""How a change is accepted: by compare-and-swap on the version the operator saw.

Every form and every command ends in ``Acceptance.accept``. The history always
has all documents but the newest, whose entry rides in the document itself: its
successor adds it before it takes its place. So one write is the acceptance, and
nothing is forgotten if the process dies after any step.
"""

import asyncio
import secrets
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from lagoontide.configuration.diff import diff_documents
from lagoontide.configuration.document import Document
from lagoontide.configuration.history import History
from lagoontide.configuration.record import (
    HistoryEntry,
    Record,
    decode_record,
    encode_record,
    make_record,
)
from lagoontide.configuration.source import CONFIGURATION_KEY
from lagoontide.errors import (
    LagoontideError,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)
from lagoontide.store.kv import KeyValueStore

__all__ = [
    "Acceptance",
    "AcceptanceUnknown",
    "Accepted",
    "Current",
    "Proposal",
    "VersionConflict",
    "make_writer",
]

ATTEMPTS = 5
PAUSE_S = 0.2
OWN_DEPTH = 512
SHOWN_CHANGES = 50

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class Current:
    """The newest accepted document; none before the first."""

    version: int
    record: Record | None


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change that an operator wants.

    Attributes
    ----------
    expected : int
        The version that the operator saw; 0 if there was none.
    writer : str
        Its id: sent again, it is accepted only once.
    """

    expected: int
    document: Document
    operator: str
    writer: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """A change that took effect, or one that was no change.

    Attributes
    ----------
    is_settled : bool
        Whether that is known from reading back, not from the write's answer.
    """

    version: int
    is_settled: bool = False


class VersionConflict(LagoontideError):
    """The document changed since the operator saw it.

    Parameters
    ----------
    current : Current
        What is accepted now.
    since : tuple of HistoryEntry
        What others changed, newest first.
    """

    def __init__(
        self, expected: int, current: Current, since: tuple[HistoryEntry, ...]
    ) -> None:
        super().__init__(
            f"the document is at version {current.version}, not {expected}",
            step="accept",
        )
        self.current = current
        self.since = since


class AcceptanceUnknown(LagoontideError):
    """The store gave no answer, so the change may have taken effect or may yet.

    Sending the same proposal again settles it.
    """


class Acceptance:
    """Reads the newest document and accepts changes to it.

    Parameters
    ----------
    now : callable
        Returns seconds since the epoch, for the history.
    """

    def __init__(
        self, store: KeyValueStore, now: Callable[[], float] = time.time
    ) -> None:
        self._store = store
        self._history = History(store)
        self._now = now

    async def read(self) -> Current:
        """Return the newest accepted document; raises StoreError."""
        entry = await self._store.get(CONFIGURATION_KEY)
        if entry is None:
            return Current(0, None)
        try:
            return Current(entry.version, decode_record(entry.value))
        except msgspec.DecodeError as exc:
            raise StoreError(
                f"version {entry.version} is no document: {exc}", step="read"
            ) from exc

    async def read_history(self, limit: int) -> list[HistoryEntry]:
        """Return the newest entries, newest first; raises StoreError."""
        current = await self.read()
        return await self._list(current, limit)

    async def accept(self, proposal: Proposal) -> Accepted:
        """Accept a valid document over the version that the operator saw.

        Raises
        ------
        VersionConflict
            If another version is there; the proposal was not accepted.
        DocumentError
            If the document is too large for the store.
        StoreUnavailable
            If the store failed before anything was written.
        AcceptanceUnknown
            If it failed afterwards and kept failing.
        """
        current = await self.read()
        if current.version != proposal.expected:
            return await self._settle(proposal, current)
        changes = diff_documents(current.record, proposal.document)
        if not changes:
            return Accepted(current.version)
        entry = HistoryEntry(
            0,
            proposal.expected,
            self._now(),
            proposal.operator,
            proposal.writer,
            changes,
            len(changes),
        )
        number = current.record.number + 1 if current.record else 0
        data = encode_record(make_record(proposal.document, entry, number))
        await self._keep(current)
        return await self._write(proposal, data)

    async def _keep(self, current: Current) -> None:
        """Put the entry of the document that is to be replaced into the history."""
        record = current.record
        if record is None:
            return
        entry = record.to_entry(current.version)
        await _insist(lambda: self._history.add(record.number, entry))

    async def _write(self, proposal: Proposal, data: bytes) -> Accepted:
        """Write until there is an answer; the version keeps it from happening twice."""
        try:
            entry = await _insist(
                lambda: self._store.swap(CONFIGURATION_KEY, proposal.expected, data)
            )
            return Accepted(entry.version)
        except StoreConflict:
            pass
        except StoreUnavailable as exc:
            raise _make_unknown(exc) from exc
        try:
            return await self._settle(proposal, await _insist(self.read))
        except StoreUnavailable as exc:
            raise _make_unknown(exc) from exc

    async def _settle(self, proposal: Proposal, current: Current) -> Accepted:
        """Find out from the writer's id whether the proposal took effect."""
        record = current.record
        if record is not None and record.writer == proposal.writer:
            return Accepted(current.version, is_settled=True)
        past = await _insist(lambda: self._list(current, OWN_DEPTH))
        for entry in past:
            if entry.writer == proposal.writer:
                return Accepted(entry.version, is_settled=True)
        since = tuple(x for x in past if x.version > proposal.expected)
        raise VersionConflict(proposal.expected, current, since[:SHOWN_CHANGES])

    async def _list(self, current: Current, limit: int) -> list[HistoryEntry]:
        record = current.record
        if record is None:
            return []
        newest = record.to_entry(current.version)
        past = await self._history.read(record.number, limit)
        older = [entry for entry in past if entry.version < current.version]
        return [newest, *older][:limit]


def make_writer() -> str:
    """Return a new id of a proposal."""
    return secrets.token_hex(8)


async def _insist(call: Callable[[], Awaitable[Result]]) -> Result:
    """Call until the store answers, a bounded number of times."""
    for attempt in range(1, ATTEMPTS):
        try:
            return await call()
        except StoreUnavailable:
            await asyncio.sleep(attempt * PAUSE_S)
    return await call()


def _make_unknown(exc: StoreUnavailable) -> AcceptanceUnknown:
    return AcceptanceUnknown(
        f"the store gave no answer ({exc.message}), so the change may have been "
        "accepted or not; send the same change again to settle it",
        step="accept",
    )
