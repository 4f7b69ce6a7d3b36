"""The share of the streams taken up again that go on, beside that of new streams."""

import asyncio
import itertools
from dataclasses import dataclass, field

import msgspec
import pytest

from lagoontide.http1.messages import Response, field_value
from lagoontide.platform.configuration import CONFIGURATION_KEY
from lagoontide.platform.fields import NOT_RUN, REQUEST_ID
from lagoontide.platform.standins import deployment
from lagoontide.platform.standins.deployment import (
    make_configuration,
    start_deployment,
)
from lagoontide.platform.standins.store import StoreFault
from lagoontide.platform.standins.targets import TargetStandin
from tests.gateway.test_stream_versions import Versions, ask, take_up
from tests.support.waiting import wait_for

ENTRIES = 3
TAKE_UPS = 24
MAX_STREAMS = 200
SENDS_PER_S = 40.0
MIN_RATIO = 0.5
# Of a caller, over all of its attempts.
DEADLINE_S = 2.0
MAX_ATTEMPTS = 4
TWO = ("v1", "v1", "v2", "v2")
THREE = ("v1", "v1", "v2", "v2", "v3", "v3")
OTHER = "other"


@dataclass
class PausingTarget(TargetStandin):
    """A target that answers 503 with Retry-After for a time, from its next request."""

    pause: float = 0.0
    pauses_until: float = field(default=0.0)

    async def _handle(self, req, reply):
        now = asyncio.get_running_loop().time()
        if self.pause and not self.pauses_until:
            self.pauses_until = now + self.pause
        left = self.pauses_until - now
        if left <= 0.0:
            await super()._handle(req, reply)
            return
        request_id = field_value(req.head.fields, REQUEST_ID.lower()) or b""
        fields = [(REQUEST_ID, request_id), (NOT_RUN, b"1")]
        fields.append((b"Retry-After", f"{left:.3f}".encode()))
        await reply.send(Response(503, fields))


@pytest.fixture(autouse=True)
def pausing_targets(monkeypatch):
    monkeypatch.setattr(deployment, "TargetStandin", PausingTarget)


def split_config(version, weights):
    """Return a configuration whose resumable route is split between two services."""
    config = msgspec.json.decode(make_configuration(version))
    for route in config["routes"]:
        if route["name"] == "events":
            route["traffic_split"] = [
                {"service": service, "weight": weight}
                for service, weight in zip(("engine", OTHER), weights, strict=True)
            ]
    engine = next(item for item in config["services"] if item["name"] == "engine")
    config["services"].append(engine | {"name": OTHER})
    return msgspec.json.encode(config)


async def put_config(small, value):
    small.store.put(CONFIGURATION_KEY, value)
    version = msgspec.json.decode(value)["version"]
    await wait_for(
        lambda: all(
            gateway.state.route_table.version == version for gateway in small.gateways
        )
    )


async def begin_streams(small, served, versions=frozenset(TWO + THREE)):
    """Begin streams that break off, at all entries; return the last event of each.

    Only those that began at some versions are returned.
    """
    served.break_off(times=1000)
    begun = {}
    for number in range(MAX_STREAMS):
        answer = await ask(small.ports[number % ENTRIES], f"r{number}")
        if answer.events and served.that_ran(f"r{number}") <= set(versions):
            begun[f"r{number}"] = answer.events[-1]
        if len(begun) == TAKE_UPS:
            break
    served.break_off(times=0)
    assert len(begun) == TAKE_UPS
    return begun


async def insist(send, attempts):
    """Send attempts, as a caller does that honours Retry-After; return the last."""
    loop = asyncio.get_running_loop()
    until = loop.time() + DEADLINE_S
    for attempt in range(attempts):
        answer = await send(attempt)
        left = until - loop.time()
        if answer.status != 503 or left <= 0.0:
            break
        await asyncio.sleep(min(answer.retry_after, left / 3))
    return answer


async def go_on(small, served, begun, attempts=MAX_ATTEMPTS, new_each=1):
    """Take streams up and begin others meanwhile; return the shares that succeed."""

    async def again(place, name, last_event):
        async def send(attempt):
            port = small.ports[(place + attempt) % ENTRIES]
            return await take_up(port, f"{name}-again-{attempt}", name, last_event)

        answer = await insist(send, attempts)
        ids = [f"{name}-again-{attempt}" for attempt in range(attempts)]
        assert len(served.that_ran(name, *ids)) == 1, name
        return answer.is_whole and answer.status == 200

    async def begin(place, name):
        async def send(attempt):
            return await ask(
                small.ports[(place + attempt) % ENTRIES], f"{name}-{attempt}"
            )

        return bool((await insist(send, attempts)).events)

    taken_up, new = [], []
    for number, (name, last_event) in enumerate(begun.items()):
        # Callers come back to any entry.
        place = number * 2 % ENTRIES
        taken_up.append(asyncio.ensure_future(again(place, name, last_event)))
        new += [
            asyncio.ensure_future(begin(place, f"new-{number}-{other}"))
            for other in range(new_each)
        ]
        await asyncio.sleep(1.0 / SENDS_PER_S)
    return tuple(
        [sum(await asyncio.gather(*tasks)) / len(tasks) for tasks in (taken_up, new)]
    )


def check(shares):
    print("shares of take-ups, new streams:", *shares)
    of_take_ups, of_new = shares
    assert of_new > 0.0
    assert of_take_ups >= MIN_RATIO * of_new


def run(scenario, versions=TWO):
    async def main():
        scale = len(versions) // 2
        async with start_deployment(ENTRIES, scale=scale) as small:
            served = Versions(small, versions)
            await served.register()
            return await scenario(small, served)

    check(asyncio.run(main()))


# Guards against streams that go on less often than others begin, without faults.
@pytest.mark.parametrize("versions", [TWO, THREE])
def test_streams_taken_up_go_on_as_often_as_new_ones_begin(versions):
    async def scenario(small, served):
        begun = await begin_streams(small, served)
        return await go_on(small, served, begun)

    run(scenario, versions)


# Guards against the same after all entries were killed.
def test_streams_go_on_after_a_kill_of_all_entries():
    async def scenario(small, served):
        begun = await begin_streams(small, served)
        await asyncio.sleep(0.3)
        await small.kill_entries()
        await small.start_entries()
        return await go_on(small, served, begun)

    run(scenario)


# Guards against the same while the store does not answer.
@pytest.mark.parametrize(
    "fault", [StoreFault.BUSY, StoreFault.SILENT, StoreFault.RESET]
)
def test_streams_go_on_while_the_store_is_away(fault):
    async def scenario(small, served):
        for endpoint in small.store_endpoints:
            endpoint.trouble = fault
        begun = await begin_streams(small, served)
        return await go_on(small, served, begun)

    run(scenario)


# Guards against streams that are refused while all targets of their version pause.
@pytest.mark.parametrize("pause", [0.3, 0.6])
def test_streams_go_on_at_versions_whose_targets_pause(pause):
    async def scenario(small, served):
        begun = await begin_streams(small, served, {"v1"})
        for target in served.engines:
            if served.of[target.id] == "v1":
                target.pause = pause
        return await go_on(small, served, begun)

    run(scenario)


# Guards against take-ups that are sent to another service of a split route than the one
# that began them, as they have ids of their own.
@pytest.mark.parametrize("later", [(1, 1), (9, 1), (1, 9)])
def test_streams_go_on_at_their_service_of_a_split_route(later):
    async def scenario(small, served):
        await put_config(small, split_config(2, (1, 1)))
        begun = await begin_streams(small, served)
        await put_config(small, split_config(3, later))
        return await go_on(small, served, begun, attempts=1)

    async def main():
        async with start_deployment(ENTRIES, scale=4) as small:
            for target in small.targets_of("engine")[4:]:
                target.service = OTHER
            served = Versions(small, TWO)
            served.engines += small.targets_of(OTHER)
            names = (target.id for target in served.engines)
            served.of = dict(zip(names, TWO + TWO, strict=True))
            await served.register()
            return await scenario(small, served)

    assert asyncio.run(main()) == (1.0, 1.0)


# Guards against streams that are refused beside new configurations.
def test_streams_go_on_beside_changes_of_the_configuration():
    async def scenario(small, served):
        begun = await begin_streams(small, served)

        async def change():
            for version in itertools.count(2):
                small.configure(version)
                await asyncio.sleep(0.1)

        changes = asyncio.ensure_future(change())
        shares = await go_on(small, served, begun)
        changes.cancel()
        return shares

    run(scenario)


# Guards against new streams that use up the rate limit of a version whose own streams
# come back, though other versions have no limit.
@pytest.mark.parametrize("limited", [("v1",), ("v1", "v2")])
@pytest.mark.parametrize("rate", ["3", "4"])
def test_streams_go_on_at_versions_whose_targets_name_rate_limits(limited, rate):
    async def scenario(small, served):
        begun = await begin_streams(small, served, limited)
        for target in served.engines:
            if served.of[target.id] in limited:
                target.rate_limit = rate
        return await go_on(small, served, begun, new_each=4)

    run(scenario, THREE)
