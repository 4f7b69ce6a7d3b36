"""The report's paths on the operators' port of an entry."""

import time
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any

import msgspec

from lagoontide.errors import RequestRejected, StoreError
from lagoontide.operators.app import (
    OperatorRequest,
    OperatorResponse,
    OperatorsApp,
    send_json,
)
from lagoontide.report.burn import WINDOWS_S
from lagoontide.report.messages import EntryReport
from lagoontide.report.reporter import Reporter
from lagoontide.report.snapshots import read_snapshots, to_report
from lagoontide.report.status import StatusMaker
from lagoontide.report.summary import BurnReport, Source, SourceState, summarize
from lagoontide.store.kv import KeyValueStore

__all__ = ["ReportPages"]

MAX_WINDOW_S = max(WINDOWS_S)
REFRESH_S = 30
SNAPSHOTS_KEPT_S = 60.0
TEXT_HTML = "text/html; charset=utf-8"

Call = Callable[[Coroutine[Any, Any, Any]], Any]


class ReportPages:
    """Answers reporters; handlers run in threads and call the entry's loop.

    Parameters
    ----------
    call : callable
        Runs a coroutine on the loop and returns its result.
    """

    def __init__(
        self, reporter: Reporter, status: StatusMaker, store: KeyValueStore, call: Call
    ) -> None:
        self._reporter = reporter
        self._status = status
        self._store = store
        self._call = call
        self._read_at = float("-inf")
        self._others: tuple[EntryReport, ...] = ()
        self._problem = ""

    def mount(self, app: OperatorsApp) -> None:
        """Put the pages on the operators' port."""
        app.mount("/report/v1/windows", self._send_windows)
        app.mount("/report/v1/snapshots", self._send_snapshots)
        app.mount("/report/v1/traces/", self._send_trace)
        app.mount("/report/v1/status", self._send_status)
        app.mount("/report/burn", self._send_page)

    def _send_windows(self, request: OperatorRequest) -> OperatorResponse:
        return send_json(self._call(self._reporter.report(_parse_seconds(request))))

    def _send_snapshots(self, request: OperatorRequest) -> OperatorResponse:
        seconds = _parse_seconds(request)
        return send_json(self._call(self._read_snapshots(seconds)))

    def _send_trace(self, request: OperatorRequest) -> OperatorResponse:
        trace = self._call(self._find_trace(request.path))
        if trace is None:
            raise RequestRejected(
                HTTPStatus.NOT_FOUND,
                f"no trace of request {request.path!r} is kept here",
                step="trace",
                peer=self._reporter.entry,
            )
        return send_json(trace)

    def _send_status(self, request: OperatorRequest) -> OperatorResponse:
        return send_json(self._call(self._status.make()))

    def _send_page(self, request: OperatorRequest) -> OperatorResponse:
        # Entries that nobody looks at are spared the template engine's memory.
        from lagoontide.report.html import render

        report = self._call(self.make_burn())
        body = render(report, refresh=REFRESH_S).encode()
        return OperatorResponse(HTTPStatus.OK, TEXT_HTML, body)

    async def make_burn(self) -> BurnReport:
        """Return the report of this entry and of the snapshots of all others."""
        own = await self._reporter.report(WINDOWS_S)
        now = time.monotonic()
        if now - self._read_at >= SNAPSHOTS_KEPT_S:
            self._read_at = now
            try:
                self._others = tuple(await self._read_snapshots(WINDOWS_S))
                self._problem = ""
            except StoreError as exc:
                self._problem = str(exc)
        missing = []
        if self._problem:
            missing.append(
                Source("snapshots", SourceState.MISSING, detail=self._problem)
            )
        return summarize((own, *self._others), missing, MAX_WINDOW_S)

    async def _find_trace(self, request: str) -> Any:
        return self._reporter.find_trace(request)

    async def _read_snapshots(self, seconds: tuple[float, ...]) -> list[EntryReport]:
        """Return the snapshots of all entries but this process."""
        now = time.time()
        return [
            to_report(snapshot, seconds, now)
            for snapshot in await read_snapshots(self._store)
            if snapshot.incarnation != self._reporter.incarnation
        ]


def _parse_seconds(request: OperatorRequest) -> tuple[float, ...]:
    """Return the windows that are asked for; all of them if none is named."""
    text = request.query.get("seconds", [""])[0]
    if not text:
        return WINDOWS_S
    try:
        seconds = msgspec.convert(text.split(","), tuple[float, ...], strict=False)
    except msgspec.ValidationError:
        seconds = ()
    if not seconds or not all(0 < x <= MAX_WINDOW_S for x in seconds):
        raise RequestRejected(
            HTTPStatus.BAD_REQUEST,
            f"seconds is {text!r}; allowed are numbers up to {MAX_WINDOW_S:.0f}",
        )
    return seconds
