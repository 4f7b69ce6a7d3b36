"""Overhead of the whole path with instant targets, as processes."""

import asyncio
import itertools
import statistics
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec
import urllib3

from lagoontide.bench.fleet import start_fleet
from lagoontide.bench.processes import Fleet
from lagoontide.configuration.document import Document, ServiceKind, Stage
from lagoontide.deployments import (
    SampleRequest,
    generate_sample_requests,
    make_account_token,
)
from lagoontide.standins.compute import Values, compute_answer, compute_stages
from lagoontide.targets.http import HttpTargetClient, TargetRequest

__all__ = ["PathFigures", "load_callers", "run_path"]

STAGES = 4
WARM_UP_S = 2.0
LOAD_CALLERS = 16
STATUS_OK = 200
MB = 1 << 20


class PathFigures(msgspec.Struct):
    """What the bench prints; times in seconds, memory in MB.

    Attributes
    ----------
    p50_direct : float
        The same four calls made straight at the targets, one after the other.
    p50_overhead : float
        What the system adds to that.
    """

    p50_one_caller: float
    p99_one_caller: float
    p50_direct: float
    p50_overhead: float
    requests_per_s_entry: float
    wrong: int
    agent_idle_mb: float
    entry_idle_mb: float


@dataclass(slots=True)
class Tally:
    """Times of right answers and the number of wrong ones."""

    times: list[float] = field(default_factory=list)
    wrong: int = 0


def run_path(
    deployment: str, seed: int, seconds: float, as_json: bool, first_port: int
) -> int:
    """Measure and print; return 1 if an answer was wrong."""
    with start_fleet(
        deployment, seed, instant=True, limited=False, first_port=first_port
    ) as fleet:
        agent_mb = max(item.resident_bytes for item in fleet.agents.values()) / MB
        entry_mb = max(item.resident_bytes for item in fleet.entries.values()) / MB
        addresses = [entry.address for entry in fleet.entries.values()]
        load_callers(fleet, addresses[:1], 1, WARM_UP_S, seed)
        direct = asyncio.run(_measure_direct(fleet, seconds, seed))
        one = load_callers(fleet, addresses[:1], 1, seconds, seed + 1)
        many = load_callers(
            fleet, addresses, LOAD_CALLERS * len(addresses), seconds, seed + 2
        )
    p50 = statistics.median(one.times)
    p50_direct = statistics.median(direct)
    figures = PathFigures(
        p50_one_caller=p50,
        p99_one_caller=statistics.quantiles(one.times, n=100)[-1],
        p50_direct=p50_direct,
        p50_overhead=p50 - p50_direct,
        requests_per_s_entry=len(many.times) / seconds / len(addresses),
        wrong=one.wrong + many.wrong,
        agent_idle_mb=agent_mb,
        entry_idle_mb=entry_mb,
    )
    _print(figures, as_json)
    return 1 if figures.wrong else 0


def _print(figures: PathFigures, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(figures).decode())
        return
    for name in figures.__struct_fields__:
        print(f"{name:24} {getattr(figures, name):.4f}")


async def _measure_direct(fleet: Fleet, seconds: float, seed: int) -> list[float]:
    """Return the times of a four-stage request made without the system."""
    targets = {
        service: HttpTargetClient(
            f"http://{fleet.targets[f'target-{service}-1'].address}", 1
        )
        for service in fleet.document.services
    }
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    times: list[float] = []
    for sample in _four_stage_samples(fleet.document, f"direct-{seed}"):
        values = compute_stages(fleet.document, sample.route, sample.body)
        started = loop.time()
        if started >= end:
            return times
        for stage in sample.route.stages:
            work = _make_work(stage, sample, values[stage.name].inputs)
            target = targets[stage.service]
            if fleet.document.services[stage.service].kind is ServiceKind.ENGINE:
                await target.stream(work, lambda offset, tokens: None)
            else:
                await target.run(work)
        times.append(loop.time() - started)
    return times


def _make_work(stage: Stage, sample: SampleRequest, inputs: Values) -> TargetRequest:
    return TargetRequest(
        attempt="direct",
        request="direct",
        operation=stage.operation,
        body=msgspec.json.encode(inputs),
        budget=sample.route.deadline,
        priority=sample.priority.value,
    )


def _four_stage_samples(document: Document, run: str) -> Iterator[SampleRequest]:
    return (
        sample
        for sample in generate_sample_requests(document, run)
        if len(sample.route.stages) == STAGES
    )


def load_callers(
    fleet: Fleet, addresses: list[str], callers: int, seconds: float, seed: int
) -> Tally:
    """Let callers ask for four-stage routes, each one request after the other."""
    tallies = [Tally() for _ in range(callers)]
    end = time.monotonic() + seconds
    threads = [
        threading.Thread(
            target=_call_until,
            args=(end, fleet.document, address, f"{seed}-{number}", tally),
        )
        for number, (address, tally) in enumerate(
            zip(itertools.cycle(addresses), tallies, strict=False)
        )
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return Tally(
        list(itertools.chain.from_iterable(tally.times for tally in tallies)),
        sum(tally.wrong for tally in tallies),
    )


def _call_until(
    end: float, document: Document, address: str, run: str, tally: Tally
) -> None:
    http = urllib3.PoolManager(maxsize=1, retries=False)
    samples = _four_stage_samples(document, run)
    while time.monotonic() < end:
        sample = next(samples)
        started = time.monotonic()
        response = http.request(
            "POST",
            f"http://{address}/v1/routes/{sample.route.name}",
            headers={
                "Authorization": f"Bearer {make_account_token(sample.account.name)}",
                "Priority": sample.priority.value,
            },
            body=msgspec.json.encode(sample.body),
        )
        elapsed = time.monotonic() - started
        if _is_right(document, sample, response):
            tally.times.append(elapsed)
        else:
            tally.wrong += 1


def _is_right(
    document: Document, sample: SampleRequest, response: urllib3.BaseHTTPResponse
) -> bool:
    if response.status != STATUS_OK:
        return False
    wanted = compute_answer(document, sample.route, sample.body)
    return response.data == msgspec.json.encode(wanted)
