"""What the report costs an entry, and what merging many entries' data costs."""

import asyncio
import itertools
import os
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lagoontide.bench.fleet import start_fleet
from lagoontide.bench.path import load_callers
from lagoontide.bench.processes import Fleet, Process
from lagoontide.configuration.document import Priority
from lagoontide.configuration.holder import Holder
from lagoontide.dispatch.messages import Done
from lagoontide.dispatch.outcomes import Attempt, AttemptOutcome, Outcome
from lagoontide.pipeline.story import Story
from lagoontide.pipeline.walk import StageReport
from lagoontide.report.burn import WINDOWS_S
from lagoontide.report.messages import EntryReport
from lagoontide.report.reporter import Reporter
from lagoontide.report.summary import summarize
from lagoontide.scheduling.load import Load

__all__ = ["run_report"]

ROUTES = 14
ACCOUNTS = 3300
STAGES = 4
TARGETS_OF_STAGE = 12
REQUESTS_PER_S = 20.0
FILL_S = 7200.0
MISSED = 0.02
BUDGET_S = 3.0
MERGED_ENTRIES = 50
SKEW = 1.2
CALLERS = 8
ROUNDS = 6
WARM_UP_S = 2.0
MB = 1 << 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class MemoryFigures(msgspec.Struct):
    """An entry at the scale after ``FILL_S`` seconds.

    Attributes
    ----------
    take_us : float
        Microseconds a request, on average and at most.
    """

    take_us: float
    longest_take_ms: float
    memory_mb: float
    report_bytes: int
    snapshot_bytes: int
    snapshot_s: float


class MergeFigures(msgspec.Struct):
    """Merging of reports, as a reporter does it; seconds."""

    entries: int
    bytes: int
    decode_s: float
    merge_s: float


class EntryFigures(msgspec.Struct):
    """An entry under load; CPU in microseconds of its process a request."""

    requests_per_s: float
    cpu_us: float
    resident_mb: float


class ReportFigures(msgspec.Struct):
    """What the bench prints."""

    skewed: MemoryFigures
    uniform: MemoryFigures
    merge: MergeFigures
    without: EntryFigures
    with_report: EntryFigures
    cpu_ratio: float
    cpu_ratios: tuple[float, ...]
    throughput_ratio: float
    wrong: int


def run_report(
    deployment: str, seed: int, seconds: float, as_json: bool, first_port: int
) -> int:
    """Measure and print; return 1 if an answer was wrong."""
    base = _resident_bytes(os.getpid())
    skewed, _ = asyncio.run(_fill(seed, SKEW, base))
    uniform, report = asyncio.run(_fill(seed, 0.0, base))
    merge = _merge(report)
    quiet, told, ratios = _compare(deployment, seed, seconds, first_port)
    without, with_report = quiet.to_figures(), told.to_figures()
    wrong = quiet.wrong + told.wrong
    figures = ReportFigures(
        skewed=skewed,
        uniform=uniform,
        merge=merge,
        without=without,
        with_report=with_report,
        cpu_ratio=with_report.cpu_us / without.cpu_us,
        cpu_ratios=ratios,
        throughput_ratio=with_report.requests_per_s / without.requests_per_s,
        wrong=wrong,
    )
    data = msgspec.json.encode(figures)
    print((data if as_json else msgspec.json.format(data)).decode())
    return 1 if wrong else 0


@dataclass(slots=True)
class _Clock:
    now: float = 0.0

    def __call__(self) -> float:
        return self.now


async def _fill(seed: int, skew: float, base: int) -> tuple[MemoryFigures, EntryReport]:
    """Tell a reporter two hours of stories at the scale's rate."""
    rng = random.Random(seed)
    clock = _Clock()
    reporter = Reporter("bench", "domain-1", Holder(), lambda target: "domain-1", clock)
    accounts = _pick_accounts(rng, skew)
    spent, longest = 0.0, 0.0
    for number in range(int(FILL_S * REQUESTS_PER_S)):
        clock.now = number / REQUESTS_PER_S
        story = _make_story(rng, next(accounts), clock.now)
        started = time.perf_counter()
        reporter.take(story)
        elapsed = time.perf_counter() - started
        spent += elapsed
        longest = max(longest, elapsed)
    memory = _resident_bytes(os.getpid()) - base
    started = time.perf_counter()
    snapshot = await reporter.snapshot()
    snapshot_s = time.perf_counter() - started
    report = await reporter.report(WINDOWS_S)
    figures = MemoryFigures(
        take_us=1e6 * spent / (number + 1),
        longest_take_ms=1e3 * longest,
        memory_mb=memory / MB,
        report_bytes=len(msgspec.json.encode(report)),
        snapshot_bytes=len(snapshot),
        snapshot_s=snapshot_s,
    )
    return figures, report


def _pick_accounts(rng: random.Random, skew: float) -> Iterator[str]:
    names = [f"account-{number}" for number in range(ACCOUNTS)]
    weights = [(number + 1) ** -skew for number in range(ACCOUNTS)]
    while True:
        yield from rng.choices(names, weights, k=1000)


def _make_story(rng: random.Random, account: str, now: float) -> Story:
    route = f"route-{rng.randrange(ROUTES)}"
    elapsed = rng.lognormvariate(-1.0, 0.5)
    start = now - elapsed
    stages = tuple(
        _make_stage(rng, route, number, start + elapsed * number / STAGES, elapsed)
        for number in range(STAGES)
    )
    return Story(
        request=f"{rng.getrandbits(64):016x}",
        route=route,
        account=account,
        priority=Priority.NORMAL,
        outcome="failed" if rng.random() < MISSED else "done",
        started=start,
        ended=now,
        budget=BUDGET_S,
        stages=stages,
    )


def _make_stage(
    rng: random.Random, route: str, number: int, start: float, elapsed: float
) -> StageReport:
    target = f"service-{number}-{rng.randrange(TARGETS_OF_STAGE)}"
    end = start + elapsed / STAGES
    attempt = Attempt(f"{start}", target, AttemptOutcome.DONE, start, end)
    result = Done(attempt.id, b"", 0, Load())
    outcome = Outcome(result, target, (attempt,))
    return StageReport(f"s{number}", "service", True, outcome, start, end, BUDGET_S)


def _merge(report: EntryReport) -> MergeFigures:
    data = msgspec.json.encode(report)
    started = time.perf_counter()
    reports = [
        msgspec.json.decode(data, type=EntryReport) for _ in range(MERGED_ENTRIES)
    ]
    decoded = time.perf_counter()
    summarize(reports, (), max(WINDOWS_S))
    ended = time.perf_counter()
    return MergeFigures(
        MERGED_ENTRIES, MERGED_ENTRIES * len(data), decoded - started, ended - decoded
    )


@dataclass(slots=True)
class _Arm:
    """Sums over all turns of the entries without or with the report."""

    requests: int = 0
    seconds: float = 0.0
    cpu: float = 0.0
    wrong: int = 0
    resident: int = 0

    def to_figures(self) -> EntryFigures:
        return EntryFigures(
            self.requests / self.seconds,
            1e6 * self.cpu / self.requests,
            self.resident / MB,
        )


def _compare(
    deployment: str, seed: int, seconds: float, first_port: int
) -> tuple[_Arm, _Arm, tuple[float, ...]]:
    """Load entries without and with the report in turns; also CPU ratios by turn.

    The two entries of a fleet change places in a second fleet, so that what
    differs between them otherwise favours neither.
    """
    without, with_report = _Arm(), _Arm()
    ratios: list[float] = []
    for quiet in (1, 2):
        with start_fleet(
            deployment,
            seed,
            instant=True,
            limited=False,
            unreported=(quiet,),
            first_port=first_port,
        ) as fleet:
            first, second = fleet.entries.values()
            pair = (first, second) if quiet == 1 else (second, first)
            for process in pair:
                load_callers(fleet, [process.address], CALLERS, WARM_UP_S, seed)
            for number in range(ROUNDS):
                turn = [
                    (without, pair[0], number),
                    (with_report, pair[1], number),
                ]
                # The order turns round as well, so that a drift favours neither.
                costs = {
                    id(arm): _load_once(fleet, arm, process, seconds / ROUNDS / 2, n)
                    for arm, process, n in (turn if number % 2 else turn[::-1])
                }
                ratios.append(costs[id(with_report)] / costs[id(without)])
            for arm, process in zip((without, with_report), pair, strict=True):
                arm.resident = process.resident_bytes
    return without, with_report, tuple(sorted(ratios))


def _load_once(
    fleet: Fleet, arm: _Arm, process: Process, seconds: float, seed: int
) -> float:
    """Load one entry for a turn; return its CPU seconds a request."""
    cpu, started = _cpu_seconds(process), time.monotonic()
    tally = load_callers(fleet, [process.address], CALLERS, seconds, seed)
    used = _cpu_seconds(process) - cpu
    arm.seconds += time.monotonic() - started
    arm.cpu += used
    arm.requests += len(tally.times)
    arm.wrong += tally.wrong
    return used / max(1, len(tally.times))


def _cpu_seconds(process: Process) -> float:
    assert process.child is not None
    text = Path(f"/proc/{process.child.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    user, system = itertools.islice(fields, 11, 13)
    return (int(user) + int(system)) / TICKS_PER_S


def _resident_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
