"""Requests to targets that fall silent, and what may become of each."""

import asyncio
import itertools
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from lagoontide.platform.pieces import REPORT_PATH
from lagoontide.platform.standins.runs import SilentAt, TargetFault
from lagoontide.platform.standins.targets import TargetStandin

FOREVER = 3600.0
SILENCES = (FOREVER, 2.0, 1.0, 0.3)
DEADLINE_S = 5.0
ROUTE_TIMEOUT_S = 6.0
# The final answer may precede its deadline by as much, to arrive in time.
MARGIN_S = 0.25
# How much later than its deadline the rules accept a final answer.
LATENESS_S = 0.5
EVENTS = 6
MAX_ATTEMPTS = 2
KEYS = ("key-one", "key-two", "key-three")


class Kind(StrEnum):
    """The kind of a request, and what falls silent."""

    RESUMABLE = "resumable stream"
    STREAM = "stream"
    SAFE = "safe request"
    UNSAFE = "unsafe request"
    STAGE = "stage call"
    STAGE_AND_REPORTS = "stage call and reports"


STREAMS = (Kind.RESUMABLE, Kind.STREAM)
STAGED = (Kind.STAGE, Kind.STAGE_AND_REPORTS)
REPEATABLE = (Kind.RESUMABLE, Kind.SAFE)


class End(StrEnum):
    """What may become of a request."""

    WHOLE = "answered whole"
    REFUSED = "refused"
    TIME_UP = "ended as its time was up"
    CUT = "ended early"


@dataclass(frozen=True, slots=True)
class Cell:
    """A request to two targets, of which the first asked or both fall silent."""

    number: int
    kind: Kind
    silent_at: SilentAt
    silence: float
    has_budget: bool
    silent_targets: int

    @property
    def service(self) -> str:
        """The service of its targets."""
        return f"c{self.number}"

    @property
    def engine(self) -> str:
        """The service that runs the request."""
        return self.service + "-engine" if self.kind in STAGED else self.service

    @property
    def expected(self) -> set[End]:
        """What may become of the request.

        Stage calls may be repeated, and take nothing from the retry budget.
        """
        may_move = self.has_budget and self.kind in REPEATABLE or self.kind in STAGED
        if self.silence < FOREVER or (may_move and self.silent_targets == 1):
            return {End.WHOLE}
        if self.kind in STAGED:
            return {End.REFUSED, End.TIME_UP}
        return {End.TIME_UP}

    def __str__(self) -> str:
        time = "for ever" if self.silence == FOREVER else f"{self.silence} s"
        budget = "budget" if self.has_budget else "no budget"
        return (
            f"{self.kind}, {self.silent_targets} silent {self.silent_at} {time}, "
            + (budget)
        )


def make_cells() -> tuple[Cell, ...]:
    """Return all cells, those of the longest silences first."""
    points = [(kind, at) for kind in STREAMS for at in SilentAt]
    points += [(kind, SilentAt.HEAD) for kind in Kind if kind not in STREAMS]
    rows = itertools.product(SILENCES, points, (True, False), (1, 2))
    return tuple(
        Cell(number, kind, at, silence, has_budget, silent)
        for number, (silence, (kind, at), has_budget, silent) in enumerate(rows)
    )


CELLS = make_cells()


@dataclass
class SilentTarget(TargetStandin):
    """A target that falls silent if others of its service have not done so before.

    Attributes
    ----------
    silences_left : list of int
        How many targets of the service are still to fall silent, shared by them.
    hides_reports : bool
        Whether a stage target that is silent doesn't report either.
    """

    silences_left: list[int] = field(default_factory=lambda: [0])
    hides_reports: bool = False
    silent_until: float = 0.0

    def _next_fault(self) -> TargetFault:
        if self.silences_left[0] <= 0:
            return TargetFault.NONE
        self.silences_left[0] -= 1
        return TargetFault.SILENT

    async def _run_pieces(self, req: Any, reply: Any) -> None:
        now = asyncio.get_running_loop().time()
        if now >= self.silent_until and self._next_fault() is TargetFault.SILENT:
            self.silent_until = now + self.silence
        self._active_calls += 1
        try:
            await asyncio.sleep(self.silent_until - now)
        finally:
            self._active_calls -= 1
        await TargetStandin._run_pieces(self, req, reply)

    async def _handle(self, req: Any, reply: Any) -> None:
        if self.hides_reports and req.head.path == REPORT_PATH:
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(self.silent_until - now)
        await TargetStandin._handle(self, req, reply)


def make_targets(cell: Cell) -> list[TargetStandin]:
    """Return the two targets of a cell and, beside stages, the engine."""
    left = [cell.silent_targets]
    targets: list[TargetStandin] = [
        SilentTarget(
            f"{cell.service}-{number}",
            cell.service,
            events=EVENTS if cell.kind in STREAMS else 0,
            silence=cell.silence,
            silent_at=cell.silent_at,
            silences_left=left,
            hides_reports=cell.kind is Kind.STAGE_AND_REPORTS,
        )
        for number in range(2)
    ]
    if cell.kind in STAGED:
        targets.append(TargetStandin(cell.engine, cell.engine, events=EVENTS))
    return targets


def make_route(cell: Cell) -> dict[str, Any]:
    """Return the configured route of a cell."""
    route = {
        "name": cell.service,
        "host": "a.example",
        "prefix": f"/{cell.service}/",
        "service": cell.engine,
        "kind": "stream",
        "timeout_ms": ROUTE_TIMEOUT_S * 1000,
        "target_latency_ms": 300,
        "gap_target_ms": 100,
    }
    match cell.kind:
        case Kind.RESUMABLE:
            return route | {"resume_streams": True, "max_attempts": MAX_ATTEMPTS}
        case Kind.SAFE:
            return route | {"kind": "safe", "max_attempts": MAX_ATTEMPTS}
        case Kind.UNSAFE:
            return route | {"kind": "unsafe"}
        case Kind.STREAM:
            return route
    return route | {"stages": [{"service": cell.service, "bytes": 1000}]}


def make_configuration(
    version: int, max_conns: int = 50, **changes: Any
) -> dict[str, Any]:
    """Return a configuration with a route for each cell."""
    pieces = {"slots": 4, "batch": 4, "call_ms": 10, "item_ms": 1}
    pieces |= {"headroom_mb": 1, "handle_s": 4}
    services: list[dict[str, Any]] = [{"name": "elsewhere"}]
    for cell in CELLS:
        staged = {"pieces": pieces} if cell.kind in STAGED else {}
        services.append({"name": cell.service, "max_conns": max_conns} | staged)
    config = {
        "version": version,
        "routes": list(map(make_route, CELLS)),
        "services": services,
        "tenants": [
            {"name": "first", "api_keys": [KEYS[0]]},
            {"name": "second", "api_keys": [KEYS[1]]},
        ],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536},
    }
    return config | changes


@dataclass(frozen=True, slots=True)
class Answer:
    """What a client has got, after some seconds."""

    status: int | None
    body: bytes
    is_whole: bool
    seconds: float
    runs: int

    def end(self, cell: Cell, earliest: float) -> End:
        """Return what became of the request."""
        is_stream = cell.kind in STREAMS + STAGED
        if self.status == 200 and self.is_whole:
            last = b"id: %d\n" % EVENTS
            has_all = last in self.body if is_stream else self.body == b"done:x"
            return End.WHOLE if has_all else End.CUT
        if self.status == 503 and self.is_whole and self.runs == 0:
            return End.REFUSED
        is_due = earliest - MARGIN_S <= self.seconds <= DEADLINE_S + LATENESS_S
        # A stream that has begun can only be broken off.
        is_visible = self.status == 504 or (self.status == 200 and not self.is_whole)
        return End.TIME_UP if is_due and is_visible else End.CUT

    def __str__(self) -> str:
        whole = "whole" if self.is_whole else "broken off"
        ends = f"{whole} after {self.seconds:.2f} s, {self.runs} runs"
        return f"{self.status} {ends}, body ends {self.body[-80:]!r}"
