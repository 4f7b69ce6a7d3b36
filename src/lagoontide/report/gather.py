"""Asks entries and merges what they say; knows which of them did not answer."""

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Generic, TypeVar

import msgspec

from lagoontide.errors import LagoontideError, PeerError, RequestRejected
from lagoontide.operators.client import OperatorsClient
from lagoontide.report.burn import WINDOWS_S
from lagoontide.report.messages import EntryReport
from lagoontide.report.status import Status
from lagoontide.report.summary import BurnReport, Source, SourceState, summarize
from lagoontide.report.trace import Trace

__all__ = ["Answered", "ask_all", "gather_burn", "gather_status", "gather_traces"]

THREADS = 32
NOT_FOUND = 404

Value = TypeVar("Value")
Ask = Callable[[OperatorsClient], Value]


@dataclass(frozen=True, slots=True)
class Answered(Generic[Value]):
    """What came back from entries, and the errors of the others by address."""

    values: tuple[Value, ...]
    errors: dict[str, LagoontideError]


def ask_all(addresses: Sequence[str], token: str, ask: Ask[Value]) -> Answered[Value]:
    """Ask all entries side by side.

    Raises
    ------
    LagoontideError
        The first one's error if none answered.
    """

    def ask_one(address: str) -> Value | LagoontideError:
        try:
            return ask(OperatorsClient(address, token))
        except LagoontideError as exc:
            return exc

    with ThreadPoolExecutor(min(THREADS, len(addresses))) as threads:
        results = list(threads.map(ask_one, addresses))
    pairs = list(zip(addresses, results, strict=True))
    errors = {name: x for name, x in pairs if isinstance(x, LagoontideError)}
    values = tuple(x for x in results if not isinstance(x, LagoontideError))
    if not values:
        raise errors[addresses[0]]
    return Answered(values, errors)


def _fetch(client: OperatorsClient, path: str, kind: type[Value]) -> Value:
    try:
        return msgspec.convert(client.ask("GET", path), kind)
    except msgspec.ValidationError as exc:
        raise PeerError(f"an entry's answer cannot be read: {exc}", step=path) from exc


def gather_burn(
    addresses: Sequence[str], token: str, window: float, *, snapshots: bool = True
) -> BurnReport:
    """Return the report over entries and over snapshots of entries that are gone."""
    seconds = sorted({*WINDOWS_S, window})
    query = "seconds=" + ",".join(f"{second:g}" for second in seconds)
    path = f"/report/v1/windows?{query}"
    answered = ask_all(addresses, token, lambda x: _fetch(x, path, EntryReport))
    missing = [
        Source(address, SourceState.MISSING, detail=exc.message)
        for address, exc in answered.errors.items()
    ]
    left: Iterable[EntryReport] = ()
    if snapshots:
        try:
            left = _fetch_snapshots(addresses, token, query, answered.errors)
        except LagoontideError as exc:
            missing.append(Source("snapshots", SourceState.MISSING, detail=exc.message))
    live = {report.incarnation for report in answered.values}
    gone = [report for report in left if report.incarnation not in live]
    return summarize((*answered.values, *gone), missing, window)


def _fetch_snapshots(
    addresses: Sequence[str], token: str, query: str, errors: dict[str, LagoontideError]
) -> tuple[EntryReport, ...]:
    """Ask one of the entries that answer; each reads the same store."""
    address = next(x for x in addresses if x not in errors)
    client = OperatorsClient(address, token)
    path = f"/report/v1/snapshots?{query}"
    return _fetch(client, path, tuple[EntryReport, ...])


def gather_status(addresses: Sequence[str], token: str) -> Answered[Status]:
    """Return the status of entries."""
    return ask_all(addresses, token, lambda x: _fetch(x, "/report/v1/status", Status))


def gather_traces(
    addresses: Sequence[str], token: str, request: str
) -> Answered[Trace | None]:
    """Return a request's trace from each entry, None where it is not kept."""

    def ask(client: OperatorsClient) -> Trace | None:
        try:
            return _fetch(client, f"/report/v1/traces/{request}", Trace)
        except RequestRejected as exc:
            if exc.status == NOT_FOUND:
                return None
            raise

    return ask_all(addresses, token, ask)
