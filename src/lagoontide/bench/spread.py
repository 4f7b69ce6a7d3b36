"""How soon a change is in force everywhere, and what spreading costs."""

import asyncio
import shlex
import statistics
from dataclasses import dataclass
from pathlib import Path

import msgspec
from loguru import logger

from lagoontide.bench.spreadfleet import measure_processes
from lagoontide.bench.spreadnodes import Arm, measure_nodes
from lagoontide.bench.synthetic import grow_document
from lagoontide.configuration.document import Document
from lagoontide.deployments import load_deployment

__all__ = ["SpreadFigures", "SpreadPlan", "run_spread"]


@dataclass(frozen=True, slots=True)
class SpreadPlan:
    """What to measure.

    Attributes
    ----------
    nodes, processes : str
        Numbers of nodes in this process and of real processes, with commas.
    routes, accounts : int
        Size of the document; 0 takes the deployment's own.
    """

    deployment: str
    seed: int
    nodes: str
    processes: str
    routes: int
    accounts: int
    first_port: int


class SpreadFigures(msgspec.Struct, omit_defaults=True):
    """One row; times in seconds, sizes in bytes, CPU as a share of a core.

    Attributes
    ----------
    arm : str
        ``spread``, or ``watch`` for the baseline in which all watch the store.
    p50, worst : float
        Seconds from sending a change until it was in force: the median
        over processes, and the last one, each the median over the changes.
    """

    arm: str
    where: str
    count: int
    changes: int
    p50: float
    worst: float
    reads_per_change: float | None = None
    idle_reads_per_s: float | None = None
    idle_bytes_per_s: float | None = None
    idle_messages_per_s: float | None = None
    change_bytes: float | None = None
    cpu: float | None = None
    memory: float | None = None


class SpreadReport(msgspec.Struct):
    """All rows and the command that made them."""

    command: str
    routes: int
    accounts: int
    rows: list[SpreadFigures]


def run_spread(plan: SpreadPlan, as_json: bool, out: str) -> int:
    """Measure and print; raises TimeoutError if a change is not in force in 60 s."""
    logger.remove()
    document = _make_document(plan)
    rows = [
        _to_row(item, "one process", count)
        for count in _numbers(plan.nodes)
        for item in asyncio.run(_measure_arms(document, count))
    ]
    rows += [
        _to_row(measure_processes(document, count, plan.first_port), "processes", count)
        for count in _numbers(plan.processes)
    ]
    report = SpreadReport(
        _describe(plan), len(document.routes), len(document.accounts), rows
    )
    data = msgspec.json.encode(report)
    if out:
        Path(out).write_bytes(msgspec.json.format(data, indent=2) + b"\n")
    print(data.decode() if as_json else _render(rows))
    return 0


async def _measure_arms(document: Document, count: int) -> list[Arm]:
    return [await measure_nodes(document, count, arm) for arm in ("spread", "watch")]


def _make_document(plan: SpreadPlan) -> Document:
    base = load_deployment(plan.deployment)
    routes = plan.routes or len(base.routes)
    return grow_document(base, routes, plan.accounts or len(base.accounts))


def _numbers(text: str) -> list[int]:
    return [int(part) for part in text.strip("()[] ").split(",") if part.strip()]


def _to_row(arm: Arm, where: str, count: int) -> SpreadFigures:
    return SpreadFigures(
        arm.name,
        where,
        count,
        len(arm.delays),
        statistics.median(statistics.median(delays) for delays in arm.delays),
        statistics.median(max(delays) for delays in arm.delays),
        arm.reads_per_change,
        arm.idle_reads_per_s,
        arm.idle_bytes_per_s,
        arm.idle_messages_per_s,
        arm.change_bytes,
        arm.cpu,
        arm.memory,
    )


def _describe(plan: SpreadPlan) -> str:
    options = {
        "deployment": plan.deployment,
        "seed": plan.seed,
        "nodes": plan.nodes,
        "processes": plan.processes,
        "routes": plan.routes,
        "accounts": plan.accounts,
    }
    given = [f"--{name}={value}" for name, value in options.items()]
    return shlex.join(["lagoontide", "bench", "spread", *given])


def _render(rows: list[SpreadFigures]) -> str:
    names = SpreadFigures.__struct_fields__
    lines = ["  ".join(f"{name:>12.12}" for name in names)]
    for row in rows:
        values = (getattr(row, name) for name in names)
        lines.append("  ".join(f"{_show(value):>12}" for value in values))
    return "\n".join(lines)


def _show(value: str | float | None) -> str:
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else str(value)
