"""Streams whose service has targets of several software versions."""

import asyncio

import msgspec
import pytest

from lagoontide.http1.client import InvalidResponse, TargetConn
from lagoontide.http1.messages import RequestHead, field_value
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.fields import AUTHORIZATION, DEADLINE, LAST_EVENT, REQUEST_ID
from lagoontide.platform.standins.deployment import start_deployment
from lagoontide.platform.standins.ports import HOST
from lagoontide.platform.standins.runs import TargetFault
from lagoontide.platform.standins.store import StoreFault
from tests.support.waiting import wait_for

RESUMES = b"Resumes"
EVENTS = 6
STREAMS = 8
# An entry that has not heard from the store for so long may lack changes.
SILENCE_LIMIT_S = 2.0
BORN = 2


class Versions:
    """Gives engines versions, and tells which versions ran a request."""

    def __init__(self, small, versions):
        self.small = small
        self.engines = small.targets_of("engine")
        self.of = dict(zip((item.id for item in self.engines), versions, strict=True))

    async def register(self):
        for target in self.engines:
            value = msgspec.json.decode(target.entry("z1", BORN))
            value["version"] = self.of[target.id]
            key = TARGETS_PREFIX + target.id
            self.small.store.put(key, msgspec.json.encode(value))
        await wait_for(self._is_known)

    def _is_known(self):
        return all(
            (known := gateway.state.directory.get(target.id)) is not None
            and known.born == BORN
            for gateway in self.small.gateways
            for target in self.engines
        )

    async def remove(self, version):
        gone = {name for name, other in self.of.items() if other == version}
        for name in gone:
            self.small.store.delete(TARGETS_PREFIX + name)
        await wait_for(
            lambda: (
                not any(
                    target.id in gone
                    for gateway in self.small.gateways
                    for target in gateway.state.directory.ready("engine")
                )
            )
        )

    def that_ran(self, *request_ids):
        return {
            self.of[target.id]
            for target in self.engines
            for name in request_ids
            if target.runs[name]
        }

    def break_off(self, times):
        """Let engines break off each stream after two events, so many times in all."""
        for target in self.engines:
            target.fault, target.faults_left = TargetFault.RUNS_AND_CUTS, times


class Answer:
    """What a caller gets; ``is_whole`` unless its connection broke off."""

    def __init__(self):
        self.status = None
        self.retry_after = 0.0
        self.body = b""
        self.is_whole = False

    @property
    def events(self):
        lines = self.body.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


async def ask(port, request_id, extra=()):
    answer = Answer()
    conn = TargetConn(await connect_tcp(HOST, port, 1.0))
    fields = [
        (b"Host", b"a.example"),
        (REQUEST_ID, request_id.encode()),
        (DEADLINE, b"2000"),
        (AUTHORIZATION, b"Bearer key-one"),
        *extra,
    ]
    try:
        await conn.send(RequestHead(b"POST", b"/events/a", fields), b"x")
        head = await conn.read_head()
        answer.status = head.status
        answer.retry_after = float(field_value(head.fields, b"retry-after") or 0.0)
        async for data in conn.read_body():
            answer.body += data
        answer.is_whole = True
    except (OSError, InvalidResponse):
        pass
    finally:
        conn.close()
    return answer


async def take_up(port, request_id, first_id, last_event, resumes=None):
    """Take a stream up again, as a caller does whose stream broke off."""
    names = [first_id] if resumes is None else resumes
    fields = [(RESUMES, name.encode()) for name in names]
    return await ask(port, request_id, [(LAST_EVENT, b"%d" % last_event), *fields])


async def begin_streams(versions, port, prefix="r"):
    """Begin streams that break off; return the last event of each, by request id."""
    versions.break_off(times=1000)
    names = [f"{prefix}{number}" for number in range(STREAMS)]
    answers = {name: await ask(port, name) for name in names}
    versions.break_off(times=0)
    for answer in answers.values():
        assert answer.events and not answer.is_whole
    return {name: answer.events[-1] for name, answer in answers.items()}


async def take_up_all(versions, port, begun):
    """Take all streams up; return the answers by request id."""
    answers = {}
    for name, last_event in begun.items():
        answer = await take_up(port, f"{name}-again", name, last_event)
        assert len(versions.that_ran(name, f"{name}-again")) == 1, name
        answers[name] = answer
    return answers


def check_continued(answers, begun):
    for name, answer in answers.items():
        assert (answer.status, answer.is_whole) == (200, True), name
        assert answer.events == list(range(begun[name] + 1, EVENTS + 1))


def run(scenario, versions, entries=1):
    async def main():
        async with start_deployment(entries, scale=len(versions) // 2) as small:
            served = Versions(small, versions)
            await served.register()
            await scenario(small, served)

    asyncio.run(main())


TWO = ("v1", "v1", "v2", "v2")
THREE = ("v1", "v1", "v2", "v2", "v3", "v3")


# Guards against a broken stream that goes on, within one answer, at another version.
@pytest.mark.parametrize("versions", [TWO, THREE])
def test_broken_stream_goes_on_at_its_version(versions):
    async def scenario(small, served):
        for number in range(STREAMS):
            served.break_off(times=0)
            first = served.engines[number % len(versions)]
            first.fault, first.faults_left = TargetFault.RUNS_AND_CUTS, 1
            answer = await ask(small.ports[0], f"r{number}")
            assert answer.is_whole
            assert answer.events == list(range(1, EVENTS + 1))
            assert len(served.that_ran(f"r{number}")) == 1

    run(scenario, versions)


# Guards against a resumed stream that makes its second target seem to answer before it
# was asked.
def test_resumed_streams_leave_no_negative_response_times():
    async def scenario(small, served):
        health = small.gateways[0].state.health
        directory = small.gateways[0].state.directory
        begun = await begin_streams(served, small.ports[0])
        await take_up_all(served, small.ports[0], begun)
        for target in served.engines:
            target.fault, target.faults_left = TargetFault.RUNS_AND_CUTS, 1
            await ask(small.ports[0], f"{target.id}-resumed")
        for target in served.engines:
            assert health.record_of(directory.get(target.id)).mean_seconds >= 0.0

    run(scenario, TWO)


# Guards against a broken stream that goes on at another version as its own has no other
# target: its caller sees that it is cut.
def test_broken_stream_ends_visibly_without_another_target_of_its_version():
    async def scenario(small, served):
        served.break_off(times=1000)
        for number in range(STREAMS):
            answer = await ask(small.ports[0], f"r{number}")
            assert not answer.is_whole
            assert len(served.that_ran(f"r{number}")) == 1

    run(scenario, ("v1", "v2"))


# Guards against a stream that its caller takes up at another version than the one that
# began it, through the same entry or another one.
@pytest.mark.parametrize("versions", [TWO, THREE])
@pytest.mark.parametrize("place", [0, 1])
def test_stream_is_taken_up_at_its_version(versions, place):
    async def scenario(small, served):
        begun = await begin_streams(served, small.ports[0])
        answers = await take_up_all(served, small.ports[place], begun)
        check_continued(answers, begun)

    run(scenario, versions, entries=2)


# Guards against streams joined from two versions after all entries were killed at once.
def test_stream_is_taken_up_at_its_version_after_a_kill_of_all_entries():
    async def scenario(small, served):
        begun = await begin_streams(served, small.ports[0])
        await asyncio.sleep(0.3)
        await small.kill_entries()
        await small.start_entries()
        answers = await take_up_all(served, small.ports[1], begun)
        check_continued(answers, begun)

    run(scenario, TWO, entries=2)


# Guards against a take-up at another version once its own has left: it is refused.
@pytest.mark.parametrize("is_killed", [False, True])
def test_take_up_is_refused_once_its_version_has_left(is_killed):
    async def scenario(small, served):
        begun = await begin_streams(served, small.ports[0])
        began_at_v1 = {name for name in begun if served.that_ran(name) == {"v1"}}
        await asyncio.sleep(0.3)
        await served.remove("v1")
        if is_killed:
            await small.kill_entries()
            small.targets[:] = [
                item for item in small.targets if served.of.get(item.id) != "v1"
            ]
            await small.start_entries()
        answers = await take_up_all(served, small.ports[0], begun)
        assert began_at_v1
        for name, answer in answers.items():
            assert answer.status == (503 if name in began_at_v1 else 200), name

    run(scenario, TWO)


# Guards against a take-up of which nobody knows the version: it is never joined.
@pytest.mark.parametrize(
    "resumes", [[], ["unknown"], ["r0", "r0"], ["x" * 300], ["r0,r1"], [""]]
)
def test_take_up_of_an_unknown_stream_is_refused_beside_several_versions(resumes):
    async def scenario(small, served):
        begun = await begin_streams(served, small.ports[0])
        answer = await take_up(small.ports[0], "again", "r0", begun["r0"], resumes)
        assert (answer.status, served.that_ran("again")) == (503, set())

    run(scenario, TWO)


# Guards against refusals of take-ups where only one version can have begun the stream.
def test_take_up_of_an_unknown_stream_goes_on_beside_one_version():
    async def scenario(small, served):
        answer = await take_up(small.ports[0], "again", "unknown", 2)
        assert answer.events == list(range(3, EVENTS + 1))

    run(scenario, ("v1", "v1"))


# Guards against streams joined from two versions by an entry that is cut off, and takes
# the only version that it knows for the only one there is.
@pytest.mark.parametrize("hears_a_peer", [False, True])
def test_take_up_is_refused_by_an_entry_that_may_lack_versions(hears_a_peer):
    async def scenario(small, served):
        small.store_endpoints[1].trouble = StoreFault.SILENT
        small.store_endpoints[1].silence_connections()
        gateway = small.gateways[0]
        for target in served.engines:
            if served.of[target.id] == "v2":
                target.version = "v2"
                target.register(small.store, born=BORN + 1)
        await wait_for(lambda: len(gateway.state.directory.ready("engine")) == 4)
        begun = await begin_streams(served, small.ports[0])
        began_at_v2 = {name for name in begun if served.that_ran(name) == {"v2"}}
        assert len(began_at_v2) > 2
        if hears_a_peer:
            origins = small.gateways[2].state.origins
            await wait_for(lambda: all(origins.find(name, "engine") for name in begun))
        await small.kill_entry(0)
        heard = 2 if hears_a_peer else 1
        await wait_for(lambda: len(small.gateways[1].mesh.live()) == heard)
        await asyncio.sleep(SILENCE_LIMIT_S)
        answers = {}
        for name, last_event in begun.items():
            answers[name] = await take_up(
                small.ports[1], f"{name}-again", name, last_event
            )
        joined = [
            name for name in begun if len(served.that_ran(name, f"{name}-again")) > 1
        ]
        assert joined == []
        # A peer in touch tells of the versions and targets.
        status = 200 if hears_a_peer else 503
        assert {answers[name].status for name in began_at_v2} == {status}

    async def main():
        async with start_deployment(2 + hears_a_peer, scale=2) as small:
            served = Versions(small, TWO)
            await served.remove("v2")
            await scenario(small, served)

    asyncio.run(main())


# Guards against streams joined from two versions at a target that has started again
# under its id with another version, and has not registered since.
def test_stream_is_not_taken_up_at_a_target_that_started_again():
    async def scenario(small, served):
        begun = {}
        for batch in range(3):
            streams = await begin_streams(served, small.ports[0], f"b{batch}-")
            begun |= streams
        began_at_v1 = {name for name in begun if served.that_ran(name) == {"v1"}}
        target, other = (item for item in served.engines if served.of[item.id] == "v1")
        small.store.delete(TARGETS_PREFIX + other.id)
        ready = small.gateways[0].state.directory.ready
        await wait_for(lambda: len(ready("engine")) == len(TWO) - 1)
        host, _, port = target.address.rpartition(":")
        await target.close()
        target.version = "v2"
        target.runs.clear()
        await target.listen(host, int(port))
        for name, last_event in begun.items():
            await take_up(small.ports[0], f"{name}-again", name, last_event)
        joined = {name for name in began_at_v1 if target.runs[f"{name}-again"]}
        assert joined == set()

    run(scenario, TWO)
