"""Sends requests through entries to stand-ins of the platform, in one process."""

import asyncio
from collections import Counter
from statistics import median

from lagoontide.http1.client import InvalidResponse
from lagoontide.http1.messages import Fields
from lagoontide.platform.fields import PIECE_KEY, PIECES, PROMPT_PREFIX, TOKEN_COUNTS
from lagoontide.platform.standins.deployment import (
    StandinDeployment,
    send,
    start_deployment,
)

__all__ = ["run_platform_locally"]

ENTRIES = 2
MAX_CONCURRENT = 8
DEADLINE_MS = 5000
SAMPLES = 200
MS_PER_S = 1000.0
STREAM_FIELDS: Fields = [
    (TOKEN_COUNTS, b"1200,6"),
    (PROMPT_PREFIX, b"a1:500,b2:400,c3:300"),
]
STAGED_FIELDS: Fields = [(PIECES, b"2,3"), (PIECE_KEY, b"k")]
REQUEST_KINDS: tuple[tuple[str, Fields], ...] = (
    ("/safe/a", []),
    ("/once/a", []),
    ("/events/a", STREAM_FIELDS),
    ("/staged/a", STREAM_FIELDS + STAGED_FIELDS),
)


async def _measure_overhead(deployment: StandinDeployment) -> tuple[float, float]:
    """Return the median latency in ms to a target directly and through an entry."""
    target = deployment.targets_of("plain")[0]
    target_port = int(target.address.rpartition(":")[2])
    loop = asyncio.get_running_loop()
    times: tuple[list[float], list[float]] = ([], [])
    for number in range(2 * SAMPLES):
        # Alternates, so that both paths see the same load on the machine.
        is_via_entry = number % 2
        port = deployment.ports[0] if is_via_entry else target_port
        started_at = loop.time()
        await send(port, "/safe/a", f"m{number}")
        times[is_via_entry].append((loop.time() - started_at) * MS_PER_S)
    return median(times[0]), median(times[1])


async def run_platform_locally(requests: int) -> int:
    """Send requests of every kind; return 0 if all got status 200, else 1."""
    outcomes: Counter[str] = Counter()
    semaphore = asyncio.Semaphore(MAX_CONCURRENT)

    async def ask(number: int, port: int) -> None:
        path, extra = REQUEST_KINDS[number % len(REQUEST_KINDS)]
        async with semaphore:
            try:
                answer = await send(
                    port, path, f"r{number}", extra=extra, deadline_ms=DEADLINE_MS
                )
                outcomes[str(answer.status)] += 1
            except (InvalidResponse, OSError) as exc:
                outcomes[repr(exc)] += 1

    async with start_deployment(ENTRIES) as deployment:
        ports = deployment.ports
        direct, via_entry = await _measure_overhead(deployment)
        await asyncio.gather(
            *(ask(number, ports[number % ENTRIES]) for number in range(requests))
        )
        runs = sum(target.runs.total() for target in deployment.targets)
    print(
        f"p50 of {SAMPLES} requests: {direct:.2f} ms direct, "
        f"{via_entry:.2f} ms through an entry"
    )
    print(
        f"{requests} requests, {runs} executions at targets, pieces included, "
        f"responses: {dict(outcomes)}"
    )
    return 0 if outcomes["200"] == requests else 1
