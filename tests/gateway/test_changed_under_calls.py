"""Calls whose route, service or account goes, or whose caller closes one direction."""

import asyncio

import msgspec
import pytest

from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.standins.deployment import (
    make_configuration,
    send,
    start_deployment,
)
from lagoontide.platform.standins.runs import SilentAt, TargetFault
from tests.support.waiting import wait_for

EVENTS = 6
FIELDS = [
    (b"X-Lagoontide-Token-Counts", b"1200,%d" % EVENTS),
    (b"X-Lagoontide-Pieces", b"2,2"),
    (b"X-Lagoontide-Piece-Key", b"key"),
]
DEADLINE_MS = 3000


def without(name):
    """Return what a configuration names under something else than it did before."""
    body = msgspec.json.decode(make_configuration(2))
    match name:
        case "routes":
            return {"routes": []}
        case "services":
            other = body["routes"][0] | {"service": "other"}
            return {"routes": [other], "services": [{"name": "other"}]}
        case "accounts":
            return {"tenants": [{"name": "other", "api_keys": ["other-key"]}]}
        case "moved routes":
            for route in body["routes"]:
                route["service"] = "other"
            return {"routes": body["routes"], "services": [{"name": "other"}]}


REMOVED = ("routes", "services", "accounts", "moved routes")


def run(scenario):
    async def main():
        async with start_deployment() as small:
            await scenario(small)

    asyncio.run(main())


async def remove(small, name):
    small.configure(2, **without(name))
    state = small.gateways[0].state
    await wait_for(lambda: state.route_table.version == 2)


def work_slowly(small, service, seconds):
    for target in small.targets_of(service):
        target.work = seconds


def check_whole_stream(answer):
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
    assert answer.status == 200
    assert ids == [b"id: %d" % number for number in range(1, EVENTS + 1)]


# Guards against requests that end without an answer, or fail, as a configuration no
# longer names what they depend on (LOST).
@pytest.mark.parametrize("removed", REMOVED)
@pytest.mark.parametrize("path", ["/safe/a", "/once/a"])
def test_request_goes_on_without_its_route_service_or_account(path, removed):
    async def scenario(small):
        work_slowly(small, "plain", 0.5)
        plain = small.targets_of("plain")
        asked = asyncio.ensure_future(send(small.ports[0], path, "r1"))
        await wait_for(lambda: any(item.log for item in plain))
        await remove(small, removed)
        assert not asked.done()
        answer = await asked
        assert (answer.status, answer.body) == (200, b"done:x")

    run(scenario)


# The same for a request that moves to another target.
@pytest.mark.parametrize("removed", REMOVED)
def test_request_is_retried_without_its_route_service_or_account(removed):
    async def scenario(small):
        work_slowly(small, "plain", 0.5)
        plain = small.targets_of("plain")
        asked = asyncio.ensure_future(
            send(small.ports[0], "/safe/a", "r1", deadline_ms=DEADLINE_MS)
        )
        await wait_for(lambda: any(item.log for item in plain))
        await remove(small, removed)
        await next(item for item in plain if item.log).close()
        answer = await asked
        assert (answer.status, answer.body) == (200, b"done:x")

    run(scenario)


# The same for streams; their engine falls silent, so that they go on at another one.
@pytest.mark.parametrize("removed", REMOVED)
def test_stream_goes_on_elsewhere_without_its_route_service_or_account(removed):
    async def scenario(small):
        engines = small.targets_of("engine")
        for target in engines:
            target.fault, target.faults_left = TargetFault.SILENT, 1
            target.silence, target.silent_at = 3600.0, SilentAt.BETWEEN
        asked = asyncio.ensure_future(
            send(
                small.ports[0],
                "/events/a",
                "r1",
                extra=FIELDS[:1],
                deadline_ms=DEADLINE_MS,
            )
        )
        await wait_for(lambda: any(item.log for item in engines))
        for target in engines:
            target.faults_left = 0
        await remove(small, removed)
        check_whole_stream(await asked)
        assert sum(item.runs["r1"] for item in engines) == 2

    run(scenario)


# The same for stages that are made, or wait to be made.
@pytest.mark.parametrize("removed", REMOVED)
def test_stages_are_made_without_their_route_service_or_account(removed):
    async def scenario(small):
        work_slowly(small, "stage", 0.3)
        stages = small.targets_of("stage")
        asked = asyncio.ensure_future(
            send(
                small.ports[0],
                "/staged/a",
                "r1",
                extra=FIELDS,
                deadline_ms=DEADLINE_MS,
            )
        )
        await wait_for(lambda: any(item.calls for item in stages))
        await remove(small, removed)
        check_whole_stream(await asked)

    run(scenario)


# A FIN may be the end of one direction or of both, and callers that leave must cost
# nothing more (RULES, GONE). So it counts as leaving, and ends in a reset, which no
# caller takes for an answer.
@pytest.mark.parametrize("path", ["/safe/a", "/once/a", "/events/a"])
def test_caller_that_closes_its_direction_has_left(path):
    async def scenario(small):
        service = "engine" if path == "/events/a" else "plain"
        targets = small.targets_of(service)
        for target in targets:
            target.fault, target.faults_left = TargetFault.STALLS, 9
        tcp = await connect_tcp("127.0.0.1", small.ports[0], 1.0)
        await tcp.write(
            b"POST %b HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n"
            b"X-Lagoontide-Request-Id: r1\r\nAuthorization: Bearer key-one\r\n"
            b"X-Lagoontide-Token-Counts: 10,6\r\n\r\n" % path.encode()
        )
        await wait_for(lambda: any(item.log for item in targets))
        tcp.transport.write_eof()
        with pytest.raises(ConnectionResetError):
            while await asyncio.wait_for(tcp.read(), 1.0):
                pass
        tcp.close()
        await wait_for(lambda: any(item.cancelled_requests for item in targets), 0.5)
        assert sum(item.runs["r1"] for item in targets) == 1

    run(scenario)
