"""Reports as plain text for a terminal."""

from collections.abc import Iterable, Iterator, Sequence

from lagoontide.report.status import Status
from lagoontide.report.summary import BurnLine, BurnReport, Source, SpendLine
from lagoontide.report.trace import StageTrace, Trace

__all__ = [
    "format_age",
    "format_burn",
    "format_rate",
    "format_share",
    "format_status",
    "format_trace",
]

NO_DATA = "no data"


def format_rate(rate: float | None) -> str:
    """Return a burn rate."""
    return NO_DATA if rate is None else f"{rate:.1f}"


def format_share(share: float | None) -> str:
    """Return a share as a percentage."""
    return NO_DATA if share is None else f"{100 * share:.1f}%"


def format_age(seconds: float) -> str:
    """Return a length of time in a unit that fits."""
    for unit, size in (("h", 3600.0), ("min", 60.0)):
        if seconds >= size:
            return f"{seconds / size:.1f} {unit}"
    return f"{seconds:.1f} s"


def clean(text: str) -> str:
    """Return a name without control characters, which would steer a terminal."""
    return "".join(x if x.isprintable() else "?" for x in text)


def _table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> Iterator[str]:
    cells = [tuple(head), *(tuple(clean(str(x)) for x in row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        first, *others = zip(row, widths, strict=True)
        rest = "  ".join(cell.rjust(width) for cell, width in others)
        yield f"  {first[0].ljust(first[1])}  {rest}".rstrip()


def format_burn(report: BurnReport) -> str:
    """Return the report as text."""
    return "\n".join(_list_burn(report))


def _list_burn(report: BurnReport) -> Iterator[str]:
    yield f"service-level burn, {report.generated}, last {format_age(report.window)}"
    yield from map(_describe_source, report.sources)
    if report.partial:
        yield "PARTIAL: an entry is missing or none reaches back over the window"
    if report.stale:
        yield "STALE: counts of some entries come from snapshots in the store"
    if report.empty:
        yield "EMPTY: no request ended in this window"
        return
    yield from _list_lines("all requests", (report.total,))
    yield from _list_lines("by route", report.routes)
    yield from _list_lines("by account", report.accounts)
    yield from _list_lines("by route and account, worst first", report.pairs)
    yield from _list_spending("by stage", report.stages)
    yield from _list_spending("by target", report.targets)
    yield from _list_spending("by failure domain", report.failure_domains)
    yield "\ndurations in seconds"
    yield from _table(
        ("of", "count", "p50", "p99"),
        ((x.name, x.count, f"{x.p50:.3f}", f"{x.p99:.3f}") for x in report.durations),
    )


def _describe_source(source: Source) -> str:
    line = f"  entry {clean(source.entry)}: {source.state}"
    if source.covered:
        line += f", covers {format_age(source.covered)}"
    if source.age:
        line += f", {format_age(source.age)} old"
    return f"{line}, {clean(source.detail)}" if source.detail else line


def _list_lines(title: str, lines: Sequence[BurnLine]) -> Iterator[str]:
    yield f"\n{title}"
    windows = sorted({x for line in lines for x in line.rates}, key=int)
    head = ["", "alert", "left", *(f"burn {format_age(int(x))}" for x in windows)]
    yield from _table(
        [*head, "accepted", "late", "failed", "unknown", "not run", "refused"],
        (
            [
                line.name,
                line.alert.value,
                format_share(line.budget_left),
                *(format_rate(line.rates.get(x)) for x in windows),
                line.tally.total,
                line.tally.late,
                line.tally.failed,
                line.tally.unknown,
                line.tally.not_run,
                line.tally.refused,
            ]
            for line in lines
        ),
    )


def _list_spending(title: str, lines: Sequence[SpendLine]) -> Iterator[str]:
    told = [x for x in lines if x.tally.spent or x.tally.waste_ms]
    yield f"\nwho spent it, {title}{'' if told else ': nobody'}"
    if not told:
        return
    yield from _table(
        ("", "spent", "share", "attempts", "lost", "overtaken", "not run", "wasted"),
        (
            (
                line.name,
                line.tally.spent,
                format_share(line.share),
                line.tally.total,
                line.tally.lost,
                line.tally.overtaken,
                line.tally.not_run,
                format_age(line.tally.waste_ms / 1000),
            )
            for line in told
        ),
    )


def format_trace(trace: Trace) -> str:
    """Return the story of a request as text."""
    return "\n".join(map(clean, _list_trace(trace)))


def _list_trace(trace: Trace) -> Iterator[str]:
    yield f"request {trace.request} at {trace.entry}: {trace.result}"
    yield (
        f"  route {trace.route}, account {trace.account or '(none)'}, "
        f"priority {trace.priority or '(none)'}"
    )
    yield f"  took {trace.elapsed:.3f} s of a budget of {trace.budget:.3f} s"
    if trace.reason:
        place = f"step {trace.step or '(none)'}, peer {trace.peer or '(none)'}"
        yield f"  ended: {trace.reason} [{place}]"
    for stage in trace.stages:
        yield from _list_stage(stage)


def _list_stage(stage: StageTrace) -> Iterator[str]:
    times = f"at {stage.started:.3f} s for {stage.elapsed:.3f} s"
    line = f"  stage {stage.stage} ({stage.service}) {times}"
    line += f", {stage.left:.3f} s left at its start"
    if stage.waited is not None and stage.ran is not None:
        line += f", queued {stage.waited:.3f} s, ran {stage.ran:.3f} s"
    yield line
    for attempt in stage.attempts:
        hedge = " beside the one before" if attempt.beside else ""
        reason = f": {attempt.reason}" if attempt.reason else ""
        yield (
            f"    {attempt.target}: {attempt.outcome} at {attempt.started:.3f} s "
            f"for {attempt.elapsed:.3f} s{hedge}{reason}"
        )


def format_status(statuses: Sequence[Status]) -> str:
    """Return the status of entries as text."""
    return "\n".join(
        line for status in statuses for line in (*_list_status(status), "")
    )


def _list_status(status: Status) -> Iterator[str]:
    state = "ready" if status.ready else "leaving" if status.leaving else "NOT READY"
    store = (
        f"store answers in {1000 * status.store.elapsed:.0f} ms"
        if status.store.answers
        else f"STORE DOWN ({clean(status.store.detail)})"
    )
    yield (
        f"entry {status.entry} ({status.failure_domain}): {state}, configuration "
        f"version {status.version}, up {format_age(status.uptime)}, {store}"
    )
    for pool in status.pools:
        yield f"  pool {pool.service}: {pool.usable} usable of {pool.wanted} wanted"
    yield from _table(
        (
            "target",
            "domain",
            "state",
            "queued",
            "running",
            "sent",
            "ms",
            "slow",
            "heard",
        ),
        (
            (
                target.name,
                target.failure_domain,
                _name_state(target.usable, target.leaving, target.suspect),
                target.queued,
                f"{target.running}/{target.limit}",
                target.sent,
                f"{1000 * target.service_time:.0f}",
                f"{target.slowness:.1f}x",
                format_age(target.load_age),
            )
            for pool in status.pools
            for target in pool.targets
        ),
    )
    yield from (f"  ! {clean(problem)}" for problem in status.problems())


def _name_state(usable: bool, leaving: bool, suspect: bool) -> str:
    if leaving:
        return "leaving"
    if not usable:
        return "UNUSABLE"
    return "SUSPECT" if suspect else "usable"
