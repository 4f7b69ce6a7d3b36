"""Rogue targets: answers that are malformed, duplicated or endless.

Each row of ROWS is a fault of the target, a kind of request and the expected statuses;
docs/PROOFS.md has them as a table.
"""

import asyncio
import contextlib
import gc
import tracemalloc

import pytest

from lagoontide.http1.client import InvalidResponse
from lagoontide.http1.messages import field_value
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.rogue import RogueResponse, RogueTarget
from tests.support.processor import processor_wait
from tests.support.waiting import wait_for

# Memory that one rogue target may cost an entry.
MAX_HELD_BYTES = 8 << 20
# Limit on what one rogue target can send before it is cut off, including kernel buffers
# on both sides. Without a limit in the entry it sends hundreds of megabytes.
MAX_SENT_BYTES = 12 << 20
DEADLINE_MS = 1500
# Latency limit of a concurrent request of another caller, which must not slow down. The
# time in which other processes had the processor is not counted.
OTHER_LATENCY_LIMIT_S = 0.25

PATHS = {
    "safe": ("/safe/a", "plain"),
    "once": ("/once/a", "plain"),
    "stream": ("/events/a", "engine"),
}
# Path and request id of another caller's request, to another service.
OTHER_REQUESTS = {"plain": ("/events/a", "r2"), "engine": ("/safe/a", "r2")}
# Safe requests are retried on a healthy target, well before the deadline.
SERVED = {200}
# Unsafe requests that have been sent end with an unknown outcome.
UNKNOWN = {502, 504}
# Faults in which the target sends endlessly.
ENDLESS = (
    RogueResponse.HEAD,
    RogueResponse.INTERIM,
    RogueResponse.CHUNK_SIZE,
    RogueResponse.TRAILERS,
    RogueResponse.FAILURE,
    RogueResponse.STRAY,
)
ROWS = [
    *((trouble, kind, SERVED) for trouble in ENDLESS for kind in ("safe", "stream")),
    *((trouble, "once", UNKNOWN) for trouble in ENDLESS),
    # A refused request did not run, so another target is asked, whatever the kind.
    *((RogueResponse.REFUSAL, kind, SERVED) for kind in PATHS),
    (RogueResponse.TRICKLE, "safe", SERVED),
    (RogueResponse.TRICKLE, "stream", SERVED),
    (RogueResponse.COMMENTS, "stream", SERVED),
    (RogueResponse.STALL_COMMENTS, "stream", SERVED),
    (RogueResponse.EVENT, "stream", SERVED),
    (RogueResponse.SHORT, "safe", SERVED),
    (RogueResponse.SHORT, "once", UNKNOWN),
    (RogueResponse.LONG, "safe", SERVED),
    (RogueResponse.LONG, "once", SERVED),
    (RogueResponse.SECOND_COPY, "safe", SERVED),
    (RogueResponse.SECOND_COPY, "once", SERVED),
    (RogueResponse.LATE_COPY, "safe", SERVED),
    (RogueResponse.LATE_COPY, "once", SERVED),
]


async def measure_latency(small, request):
    """Send a request; return its latency in seconds without waits for a processor."""
    loop = asyncio.get_running_loop()
    began, waited = loop.time(), processor_wait()
    path, request_id = request
    answer = await send(small.ports[0], path, request_id)
    assert answer.status == 200
    return loop.time() - began - (processor_wait() - waited)


@contextlib.asynccontextmanager
async def run_with_rogue(service, trouble):
    """Run a small deployment in which one target of a service is rogue."""
    async with start_deployment() as small:
        rogue = RogueTarget("rogue", service, trouble)
        await rogue.start(small.store)
        directory = small.gateways[0].state.directory
        await wait_for(lambda: directory.get("rogue") is not None)
        try:
            yield small, rogue
        finally:
            await rogue.close()


async def prefer_rogue(small, rogue):
    """Make the rogue target the first choice, by adding load to all others."""
    state = small.gateways[0].state
    for target in state.directory.ready(rogue.service):
        if target.id != rogue.id:
            state.loads.begin(target, 500.0)
            if rogue.service == "engine":
                state.streams.begin(target, 500.0)


@pytest.mark.parametrize(
    ("trouble", "kind", "expected"),
    ROWS,
    ids=[f"{trouble.name.lower()}-{kind}" for trouble, kind, _ in ROWS],
)
def test_rogue_target_costs_only_its_connection(trouble, kind, expected):
    path, service = PATHS[kind]

    async def scenario():
        async with run_with_rogue(service, trouble) as (small, rogue):
            await prefer_rogue(small, rogue)
            loop = asyncio.get_running_loop()
            gc.collect()
            tracemalloc.start()
            before, _ = tracemalloc.get_traced_memory()
            pending = asyncio.ensure_future(
                send(small.ports[0], path, "r1", deadline_ms=DEADLINE_MS)
            )
            began, waited = loop.time(), processor_wait()
            other = await measure_latency(small, OTHER_REQUESTS[service])
            assert other < OTHER_LATENCY_LIMIT_S
            answer = await pending
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            assert rogue.request_counts["r1"] == 1
            assert answer.status in expected
            waited = processor_wait() - waited
            assert loop.time() - began - waited < DEADLINE_MS / 1000.0 + 0.3
            assert peak - before < MAX_HELD_BYTES
            assert rogue.sent < MAX_SENT_BYTES
            runs = sum(target.runs["r1"] for target in small.targets)
            assert runs == (expected is SERVED and not has_whole_answer(trouble))

    asyncio.run(scenario())


def has_whole_answer(trouble):
    """Return whether the rogue target also sends a whole answer to the request."""
    return trouble in (
        RogueResponse.LONG,
        RogueResponse.SECOND_COPY,
        RogueResponse.LATE_COPY,
    )


def test_endless_answer_is_streamed_to_its_caller_only():
    async def scenario():
        async with run_with_rogue("plain", RogueResponse.BODY) as (small, rogue):
            await prefer_rogue(small, rogue)
            gc.collect()
            tracemalloc.start()
            with pytest.raises((InvalidResponse, OSError)):
                await send(small.ports[0], "/safe/a", "r1", deadline_ms=800)
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            # The test's HTTP client stops reading after a megabyte.
            assert peak < MAX_HELD_BYTES
            assert rogue.request_counts["r1"] == 1
            # No retry on a second target once bytes have been sent to the caller.
            assert not any(target.runs["r1"] for target in small.targets)

    asyncio.run(scenario())


def test_duplicate_answer_never_reaches_the_next_caller():
    async def scenario():
        async with run_with_rogue("plain", RogueResponse.LATE_COPY) as (small, rogue):
            await prefer_rogue(small, rogue)
            for number in range(8):
                answer = await send(small.ports[0], "/once/a", f"r{number}")
                assert answer.status == 200
                request_id = field_value(answer.fields, b"x-lagoontide-request-id")
                assert request_id == f"r{number}".encode()

    asyncio.run(scenario())
