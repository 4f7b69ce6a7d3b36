"""The report on service-level burn, merged from what entries handed over."""

import time
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum

import msgspec

from lagoontide.report.burn import Alert, Burn, burn_by, find_alert
from lagoontide.report.messages import EntryReport, Objectives, Point
from lagoontide.report.tally import AttemptTally, Tally
from lagoontide.report.window import (
    AttemptKey,
    DurationKey,
    RequestKey,
    Window,
    make_window,
)

__all__ = [
    "BurnLine",
    "BurnReport",
    "DurationLine",
    "Source",
    "SourceState",
    "SpendLine",
    "summarize",
]

MAX_LINES = 50


class SourceState(StrEnum):
    """Where the counts of an entry come from."""

    ANSWERED = "answered"
    SNAPSHOT = "snapshot"
    MISSING = "missing"


class Source(msgspec.Struct, frozen=True):
    """An entry that was asked or left a snapshot.

    Attributes
    ----------
    covered : float
        Seconds that its counts reach back, from when they were taken.
    age : float
        Seconds since they were taken.
    """

    entry: str
    state: SourceState
    covered: float = 0.0
    age: float = 0.0
    detail: str = ""


class BurnLine(msgspec.Struct, frozen=True):
    """Burn of a route, an account or both; None where there is no data.

    Attributes
    ----------
    rates : dict of str to float or None
        Burn rate by window in seconds.
    """

    name: str
    tally: Tally
    budget_left: float | None
    rates: dict[str, float | None]
    alert: Alert


class SpendLine(msgspec.Struct, frozen=True):
    """A stage, target or failure domain and what requests lost there.

    Attributes
    ----------
    share : float
        Part of all missed requests that are put down to it.
    """

    name: str
    tally: AttemptTally
    share: float


class DurationLine(msgspec.Struct, frozen=True):
    """Quantiles in seconds."""

    name: str
    count: int
    p50: float
    p99: float


class BurnReport(msgspec.Struct, frozen=True):
    """All that the report shows.

    Attributes
    ----------
    generated : str
        Time of the report, UTC.
    window : float
        Seconds that budgets, tallies and spending are of.
    empty : bool
        Whether no request ended in the window.
    partial : bool
        Whether an entry is missing or none reaches back over the window.
    stale : bool
        Whether some counts come from snapshots.
    """

    generated: str
    window: float
    objective_window: float
    sources: tuple[Source, ...]
    total: BurnLine
    routes: tuple[BurnLine, ...]
    accounts: tuple[BurnLine, ...]
    pairs: tuple[BurnLine, ...]
    stages: tuple[SpendLine, ...]
    targets: tuple[SpendLine, ...]
    failure_domains: tuple[SpendLine, ...]
    durations: tuple[DurationLine, ...]
    points: tuple[Point, ...]
    empty: bool
    partial: bool
    stale: bool


def summarize(
    reports: Sequence[EntryReport], missing: Iterable[Source], window: float
) -> BurnReport:
    """Return the merged report; budgets and spending are those of ``window``."""
    objectives = max(
        (report.objectives for report in reports),
        key=lambda x: x.version,
        default=Objectives(),
    )
    seconds = sorted({span.seconds for report in reports for span in report.spans})
    merged = {
        second: make_window(
            span.data
            for report in reports
            for span in report.spans
            if span.seconds == second
        )
        for second in seconds
    }
    lines = _Lines(merged, objectives, window)
    total = lines.make_total()
    sources = (*map(_to_source, reports), *missing)
    shown = merged.get(window, Window())
    return BurnReport(
        generated=time.strftime("%Y-%m-%d %H:%M:%S UTC", time.gmtime()),
        window=window,
        objective_window=objectives.window,
        sources=sources,
        total=total,
        routes=lines.make(lambda key: key.route),
        accounts=lines.make(lambda key: key.account or "(not accepted)"),
        pairs=lines.make(lambda key: f"{key.route} / {key.account}", MAX_LINES),
        stages=_spend(shown, lambda key: f"{key.route} / {key.stage}"),
        targets=_spend(shown, lambda key: f"{key.target} ({key.failure_domain})"),
        failure_domains=_spend(shown, lambda key: key.failure_domain or "(none)"),
        durations=tuple(_make_durations(shown)),
        points=_merge_points(reports),
        empty=not total.tally.total and not total.tally.refused,
        partial=_is_partial(sources, window),
        stale=any(source.state is SourceState.SNAPSHOT for source in sources),
    )


def _is_partial(sources: Sequence[Source], window: float) -> bool:
    if any(source.state is SourceState.MISSING for source in sources):
        return True
    return all(source.covered + source.age < window for source in sources)


def _to_source(report: EntryReport) -> Source:
    state = SourceState.SNAPSHOT if report.age else SourceState.ANSWERED
    return Source(report.entry, state, report.covered, report.age)


class _Lines:
    """Makes lines of burn from the windows, each grouped in the same way."""

    def __init__(
        self, merged: dict[float, Window], objectives: Objectives, window: float
    ) -> None:
        self._merged = merged
        self._objectives = objectives
        self._window = window

    def make(
        self, group: Callable[[RequestKey], str], most: int | None = None
    ) -> tuple[BurnLine, ...]:
        """Return a line for each group, the one with the least budget first."""
        burns = {
            seconds: burn_by(window, self._objectives, group)
            for seconds, window in self._merged.items()
        }
        names = burns.get(self._window, {})
        lines = [_make_line(name, burns, self._window) for name in names]
        lines.sort(key=lambda line: (_budget(line), line.name))
        return tuple(lines[:most])

    def make_total(self) -> BurnLine:
        """Return the line of all requests."""
        lines = self.make(lambda key: "all")
        empty: dict[str, float | None] = {str(int(x)): None for x in self._merged}
        return lines[0] if lines else BurnLine("all", Tally(), None, empty, Alert.NONE)


def _budget(line: BurnLine) -> float:
    return 2.0 if line.budget_left is None else line.budget_left


def _make_line(
    name: str, burns: dict[float, dict[str, Burn]], window: float
) -> BurnLine:
    empty = Burn(Tally(), 0.0)

    def rate(seconds: float) -> float | None:
        return burns.get(seconds, {}).get(name, empty).rate

    shown = burns[window][name]
    return BurnLine(
        name,
        shown.tally,
        shown.budget_left,
        {str(int(seconds)): rate(seconds) for seconds in burns},
        find_alert(rate),
    )


def _spend(window: Window, group: Callable[[AttemptKey], str]) -> tuple[SpendLine, ...]:
    tallies: dict[str, AttemptTally] = {}
    for key, part in window.attempts.items():
        tallies.setdefault(group(key), AttemptTally()).merge(part)
    spent = sum(tally.spent for tally in tallies.values())
    lines = [
        SpendLine(name, tally, tally.spent / spent if spent else 0.0)
        for name, tally in tallies.items()
    ]
    lines.sort(key=lambda x: (-x.tally.spent, -x.tally.waste_ms, x.name))
    return tuple(lines[:MAX_LINES])


def _make_durations(window: Window) -> Iterable[DurationLine]:
    for key, sketch in sorted(window.durations.items()):
        p50, p99 = sketch.quantile(0.5), sketch.quantile(0.99)
        if p50 is not None and p99 is not None:
            yield DurationLine(_name_durations(key), sketch.count, p50, p99)


def _name_durations(key: DurationKey) -> str:
    if key.target:
        return f"target {key.target}"
    return f"{key.route} / {key.stage}" if key.stage else key.route


def _merge_points(reports: Iterable[EntryReport]) -> tuple[Point, ...]:
    """Add up points of the same route and the same minute, ten minutes or hour."""
    merged: dict[tuple[str, float, float], Tally] = {}
    for point in (point for report in reports for point in report.points):
        age = point.age // point.length * point.length
        merged.setdefault((point.route, age, point.length), Tally()).merge(point.tally)
    return tuple(Point(*key, tally) for key, tally in sorted(merged.items()))
