"""Sound targets that fall silent, for every kind of request and beside every change.

A cell of the matrix is one request with targets of its own. All cells beside one change
run at once, in one deployment with an event loop of its own, as a loop that is shared
by several is late by itself; the tests check what became of them.
"""

import asyncio
import contextlib
import functools
import itertools
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from lagoontide.gateway.stop import drain_times, stop_gracefully
from lagoontide.http1.client import InvalidResponse, TargetConn
from lagoontide.http1.messages import RequestHead
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.configuration import CONFIGURATION_KEY
from lagoontide.platform.fields import AUTHORIZATION, DEADLINE, REQUEST_ID
from lagoontide.platform.standins.deployment import StandinDeployment
from lagoontide.platform.standins.ports import HOST
from lagoontide.platform.standins.store import StoreEndpoint, StoreStandin
from lagoontide.platform.standins.targets import TargetStandin
from tests.gateway.silence_cells import (
    CELLS,
    DEADLINE_S,
    EVENTS,
    FOREVER,
    KEYS,
    MAX_ATTEMPTS,
    REPEATABLE,
    STAGED,
    STREAMS,
    Answer,
    Cell,
    Kind,
    make_configuration,
    make_route,
    make_targets,
)
from tests.support.waiting import wait_for

SHORTENED_TIMEOUT_S = 4.5
# The first is longer than any request takes, the second shorter than some do.
GRACE_S = 12.0
SHORT_GRACE_S = 4.2
# Interval between requests, as connections are made within a time limit.
SEND_INTERVAL_S = 0.006


async def change_configuration(small: StandinDeployment, **changes: Any) -> None:
    """Write a configuration, and wait until it is in force."""
    config = make_configuration(2, **changes)
    small.store.put(CONFIGURATION_KEY, msgspec.json.encode(config))
    state = small.gateways[0].state
    await wait_for(lambda: state.route_table.version == 2)


def change_routes(**changes: Any) -> "Act":
    """Return a change of all routes."""
    routes = [make_route(cell) | changes for cell in CELLS]
    return lambda small: change_configuration(small, routes=routes)


async def reload_settings(small: StandinDeployment) -> None:
    """Apply changed settings, as SIGHUP does."""
    gateway = small.gateways[0]
    bounds = replace(gateway.cfg.bounds, retry_slack=19.0, apply_within=1.0)
    gateway.reload(replace(gateway.cfg, bounds=bounds, cpu_share=2.0))


async def do_nothing(small: StandinDeployment) -> None:
    """Leave the deployment as it is."""


Act = Callable[[StandinDeployment], Coroutine[Any, Any, Any]]
ALL_KEYS = [
    {"name": "first", "api_keys": KEYS[:1]},
    {"name": "x", "api_keys": KEYS[1:]},
]
SHORT_LIMITS = {"header_timeout_ms": 200, "idle_timeout_ms": 200, "max_body_bytes": 0}

# What happens while the targets are silent.
BESIDE: dict[str, Act] = {
    "nothing": do_nothing,
    "routes moved": change_routes(service="elsewhere"),
    "routes removed": lambda small: change_configuration(small, routes=[]),
    "timeouts shortened": change_routes(timeout_ms=SHORTENED_TIMEOUT_S * 1000),
    "retries forbidden": change_routes(max_attempts=1, resume_streams=False),
    "key added": lambda small: change_configuration(small, tenants=ALL_KEYS),
    "key removed": lambda small: change_configuration(small, tenants=ALL_KEYS[:1]),
    "limits lowered": lambda small: change_configuration(small, limits=SHORT_LIMITS),
    "connections limited": lambda small: change_configuration(small, max_conns=1),
    "settings reload": reload_settings,
    "SIGTERM": lambda small: stop_gracefully(small.gateways[0], GRACE_S),
    "SIGTERM, short grace": lambda small: stop_gracefully(
        small.gateways[0], SHORT_GRACE_S
    ),
}
# When a request may end at the earliest because its time is up, if not at its deadline.
ENDS_AT = {
    "timeouts shortened": SHORTENED_TIMEOUT_S,
    "SIGTERM, short grace": drain_times(SHORT_GRACE_S)[0],
}


async def ask(small: StandinDeployment, cell: Cell) -> Answer:
    """Send the request of a cell."""
    loop = asyncio.get_running_loop()
    since = loop.time()
    conn = TargetConn(await connect_tcp(HOST, small.ports[0], DEADLINE_S))
    fields = [
        (b"Host", b"a.example"),
        (REQUEST_ID, cell.service.encode()),
        (DEADLINE, b"%d" % (DEADLINE_S * 1000)),
        (AUTHORIZATION, b"Bearer " + KEYS[0].encode()),
    ]
    if cell.kind in STAGED:
        fields += [
            (b"X-Lagoontide-Token-Counts", b"1200,%d" % EVENTS),
            (b"X-Lagoontide-Pieces", b"2"),
            (b"X-Lagoontide-Piece-Key", cell.service.encode()),
        ]
    status, body, is_whole = None, bytearray(), False
    try:
        async with asyncio.timeout(2 * DEADLINE_S):
            await conn.send(
                RequestHead(b"POST", f"/{cell.service}/a".encode(), fields), b"x"
            )
            status = (await conn.read_head()).status
            async for data in conn.read_body():
                body += data
            is_whole = True
    except (OSError, InvalidResponse):
        pass
    finally:
        conn.close()
    seconds = loop.time() - since
    runs = sum(target.runs[cell.service] for target in small.targets_of(cell.engine))
    return Answer(status, bytes(body), is_whole, seconds, runs)


@contextlib.asynccontextmanager
async def start_deployment():
    """Run an entry and the targets of all cells."""
    store = StoreStandin()
    targets = [target for cell in CELLS for target in make_targets(cell)]
    targets.append(TargetStandin("elsewhere", "elsewhere", events=EVENTS))
    small = StandinDeployment(store, [StoreEndpoint(store)], targets)
    config = make_configuration(1)
    store.put(CONFIGURATION_KEY, msgspec.json.encode(config))
    try:
        for item in (*targets, *small.store_endpoints):
            await item.start(*([store] if isinstance(item, TargetStandin) else []))
        await small.start_entries()
        yield small
    finally:
        await small.kill_entries()
        for item in (*targets, *small.store_endpoints):
            await item.close()


async def run_cells(small: StandinDeployment, act: Act) -> dict[Cell, Answer]:
    """Send the requests of all cells; act once the targets are silent."""
    budget = small.gateways[0].state.budget
    for cell in CELLS:
        while not cell.has_budget and budget.take(cell.engine):
            pass
    asked = []
    for cell in CELLS:
        asked.append(asyncio.ensure_future(ask(small, cell)))
        await asyncio.sleep(SEND_INTERVAL_S)
    await wait_for(lambda: all(map(has_arrived, itertools.repeat(small), CELLS, asked)))
    acting = asyncio.ensure_future(act(small))
    answers = await asyncio.gather(*asked)
    await acting
    return dict(zip(CELLS, answers, strict=True))


def has_arrived(
    small: StandinDeployment, cell: Cell, asked: asyncio.Future[Answer]
) -> bool:
    """Return whether a request has reached a target, or has ended."""
    targets = small.targets_of(cell.service)
    return asked.done() or any(target.arrived_at for target in targets)


async def run_beside(beside: str) -> dict[Cell, Answer]:
    """Run all cells beside a change."""
    async with start_deployment() as small:
        return await run_cells(small, BESIDE[beside])


@functools.cache
def answers_beside(beside: str) -> dict[Cell, Answer]:
    """Return the answers of all cells beside a change."""
    return asyncio.run(run_beside(beside))


def answers_of(kind: Kind, beside: str) -> list[tuple[Cell, Answer]]:
    return [pair for pair in answers_beside(beside).items() if pair[0].kind is kind]


def unexpected_ends(pairs: list[tuple[Cell, Answer]], beside: str) -> list[str]:
    """Return the cells whose requests did not end as expected."""
    earliest = ENDS_AT.get(beside, DEADLINE_S)
    return [
        f"{cell}: {answer}"
        for cell, answer in pairs
        if answer.end(cell, earliest) not in cell.expected
    ]


each_kind = pytest.mark.parametrize("kind", Kind)
each_change = pytest.mark.parametrize("beside", BESIDE)


# Guards against answers that end early, or not at all, as a target is silent for up to
# two seconds (LOST).
@each_kind
@each_change
def test_answer_is_whole_if_its_target_goes_on(kind, beside):
    pairs = answers_of(kind, beside)
    finite = [pair for pair in pairs if pair[0].silence < FOREVER]
    problems = unexpected_ends(finite, beside)
    assert not problems, "\n".join(problems)


# Guards against requests that end before their deadline, or hang, as a target is silent
# for ever, and against those that don't move to a target that could answer (LOST).
@each_kind
@each_change
def test_request_moves_or_ends_at_its_deadline_if_its_target_hangs(kind, beside):
    pairs = answers_of(kind, beside)
    endless = [pair for pair in pairs if pair[0].silence == FOREVER]
    problems = unexpected_ends(endless, beside)
    assert not problems, "\n".join(problems)


# Guards against events that are lost, repeated or out of order as a stream moves.
@each_change
def test_events_arrive_once_and_in_order(beside):
    for cell, answer in answers_beside(beside).items():
        if cell.kind in STREAMS + STAGED and answer.status == 200:
            lines = answer.body.split(b"\n")
            ids = [line for line in lines if line.startswith(b"id:")]
            numbers = range(1, len(ids) + 1)
            assert ids == [b"id: %d" % number for number in numbers], str(cell)


# Guards against requests that run more often than their kind, their route and the retry
# budget allow.
@each_change
def test_requests_run_no_more_than_they_may(beside):
    too_many = []
    for cell, answer in answers_beside(beside).items():
        may_repeat = cell.kind in REPEATABLE and cell.has_budget
        if answer.runs > (MAX_ATTEMPTS if may_repeat else 1):
            too_many.append(f"{cell}: {answer}")
    assert not too_many, "\n".join(too_many)
