"""Bursts of many entries at a target whose 503 asks for no requests for a while."""

import asyncio
import contextlib
import re
from collections import Counter
from dataclasses import dataclass, field

import msgspec
import pytest

from lagoontide.http1.messages import Response, field_value
from lagoontide.platform.fields import NOT_RUN, REQUEST_ID
from lagoontide.platform.standins import deployment
from lagoontide.platform.standins.deployment import (
    StandinDeployment,
    make_configuration,
    make_targets,
    send,
)
from lagoontide.platform.standins.store import StoreEndpoint, StoreStandin
from lagoontide.platform.standins.targets import TargetStandin

# BUDGET: more than two requests of an entry, from this time after the answer to it.
ON_ITS_WAY_S = 0.5
MAX_REQUESTS = 2
# Longer than the test takes while the machine is busy, as are the times of callers: 40
# entries share one processor core here.
PAUSE_S = 90.0
TIMEOUT_MS = 60000
OBJECTIVE_MS = 20000
ENTRIES = 40
BURST_OF_ENTRY = 4
# Without pauses each target gets more than two of these requests of an entry.
TURNS = 3
ENTRY = re.compile(rb"e(\d+)\.")
PATHS = [("/safe/a", "plain"), ("/events/a", "engine"), ("/staged/a", "stage")]


@dataclass
class PausingTarget(TargetStandin):
    """A target that answers all requests with 503 and Retry-After while it pauses.

    Attributes
    ----------
    is_pausing : bool
        Whether it answers so.
    told : list of tuple
        Place of the entry in each request that was answered so, and the event loop
        time; None for a call that names no request.
    got : list of tuple
        The same of all requests.
    """

    is_pausing: bool = False
    told: list[tuple[int | None, float]] = field(default_factory=list)
    got: list[tuple[int | None, float]] = field(default_factory=list)

    async def _handle(self, req, reply):
        request_id = field_value(req.head.fields, REQUEST_ID.lower()) or b""
        found = ENTRY.search(request_id or req.body)
        place = int(found[1]) if found else None
        now = asyncio.get_running_loop().time()
        self.got.append((place, now))
        if not self.is_pausing:
            await super()._handle(req, reply)
            return
        self.told.append((place, now))
        fields = [(REQUEST_ID, request_id), (NOT_RUN, b"1")]
        fields.append((b"Retry-After", b"%g" % PAUSE_S))
        await reply.send(Response(503, fields))


def slow_routes():
    """Return the usual routes with more time."""
    routes = msgspec.json.decode(make_configuration(1))["routes"]
    times = {"timeout_ms": TIMEOUT_MS, "target_latency_ms": OBJECTIVE_MS}
    return [route | times for route in routes]


@contextlib.asynccontextmanager
async def start_lone_entries(number):
    """Run entries that share the targets and nothing else; yield ports and targets."""
    targets = make_targets()
    ports = []
    async with contextlib.AsyncExitStack() as stack:
        for target in targets:
            await target.listen()
            stack.push_async_callback(target.close)
        for _ in range(number):
            store = StoreStandin()
            for target in targets:
                target.register(store)
            endpoint = StoreEndpoint(store)
            lone = StandinDeployment(store, [endpoint], targets)
            lone.configure(1, routes=slow_routes())
            await endpoint.start()
            stack.push_async_callback(endpoint.close)
            stack.push_async_callback(lone.kill_entries)
            await lone.start_entries()
            ports += lone.ports
        yield ports, targets


async def send_from(ports, place, path, number):
    name = f"e{place}.{number}"
    extra = [
        (b"X-Lagoontide-Token-Counts", b"1200,6"),
        (b"X-Lagoontide-Pieces", b"2,3"),
        (b"X-Lagoontide-Piece-Key", name.encode()),
    ]
    return await send(ports[place], path, name, extra=extra, deadline_ms=TIMEOUT_MS)


async def send_burst(ports, places, path, name):
    sent = [
        send_from(ports, place, path, f"{name}{number}")
        for number in range(BURST_OF_ENTRY)
        for place in places
    ]
    return await asyncio.gather(*sent)


# Guards against requests of some of many entries to a target that has asked each of
# them for none (BUDGET), and against callers that fail for it.
@pytest.mark.parametrize(("path", "service"), PATHS)
def test_a_burst_from_40_entries_ends_with_the_answers(monkeypatch, path, service):
    monkeypatch.setattr(deployment, "TargetStandin", PausingTarget)

    async def main():
        loop = asyncio.get_running_loop()
        async with start_lone_entries(ENTRIES) as (ports, targets):
            pausing = next(item for item in targets if item.service == service)
            everywhere = places = range(ENTRIES)
            # Stage targets are first asked for their free memory.
            await send_burst(ports, everywhere, path, "first")
            pausing.is_pausing = True
            async with asyncio.timeout(PAUSE_S / 2):
                while places:
                    await send_burst(ports, places, path, f"burst{loop.time()}-")
                    told = {place for place, _ in pausing.told}
                    places = [place for place in places if place not in told]
            pausing.is_pausing = False
            await asyncio.sleep(ON_ITS_WAY_S)
            for turn in range(TURNS):
                answers = await send_burst(ports, everywhere, path, f"later{turn}")
                assert {answer.status for answer in answers} == {200}

            first_told = {}
            for place, at in pausing.told:
                first_told.setdefault(place, at)
            # All that follows was sent before the first pause was over.
            assert loop.time() < min(first_told.values()) + PAUSE_S
            # Calls that name no request may be of any entry.
            first_told[None] = max(first_told.values())
            late = Counter(
                place
                for place, at in pausing.got
                if at > first_told[place] + ON_ITS_WAY_S
            )
            assert max(late.values(), default=0) <= MAX_REQUESTS

    asyncio.run(main())
