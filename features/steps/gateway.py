"""Steps about entries on stand-ins of the platform."""

import asyncio

from behave import given, then, when

from lagoontide.platform.fields import PIECE_KEY, PIECES
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.runs import TargetFault
from lagoontide.platform.standins.store import StoreFault
from tests.support.waiting import wait_for


class Platform:
    """A small deployment on a loop of its own, until ``stop``."""

    def __init__(self, entries):
        self._loop = asyncio.new_event_loop()
        self._small = start_deployment(entries)
        self.small = self.run(self._small.__aenter__())
        self.answers = []

    def run(self, work):
        return self._loop.run_until_complete(work)

    def ask(self, path, number=0, **options):
        port = self.small.ports[number % len(self.small.ports)]
        return send(port, path, f"r{number}", deadline_ms=6000, **options)

    def stop(self):
        self.run(self._small.__aexit__(None, None, None))
        self._loop.close()


@given("a platform with {entries:d} entries")
def start(context, entries):
    context.running = Platform(entries)


@given('every target of "{service}" runs the next request and loses its answer')
def lose_answers(context, service):
    for target in context.running.small.targets_of(service):
        target.fault, target.faults_left = TargetFault.RUNS_AND_CUTS, 1


@given('every target of "{service}" is full')
def fill(context, service):
    for target in context.running.small.targets_of(service):
        target.fault, target.faults_left = TargetFault.FULL, 100


@given('target "{name}" breaks off its next {times:d} streams')
def break_off(context, name, times):
    target = next(item for item in context.running.small.targets if item.id == name)
    target.fault, target.faults_left = TargetFault.RUNS_AND_CUTS, times


@given("the store turns entry {number:d} away")
def turn_away(context, number):
    context.running.small.store_endpoints[number].trouble = StoreFault.BUSY


@when('a caller asks for "{path}"')
def ask_once(context, path):
    running = context.running
    running.answers.append(running.run(running.ask(path)))


@when('a caller asks for "{path}" {times:d} times')
def ask_often(context, path, times):
    running = context.running
    for number in range(times):
        running.answers.append(running.run(running.ask(path, number)))


@when(
    '{callers:d} callers ask for "{path}" with {first:d} and {second:d} pieces at once'
)
def ask_together(context, callers, path, first, second):
    running = context.running
    extra = [(PIECES, b"%d,%d" % (first, second)), (PIECE_KEY, b"k")]

    async def ask_all():
        return await asyncio.gather(
            *(running.ask(path, number, extra=extra) for number in range(callers))
        )

    running.answers += running.run(ask_all())


@when("the operators take the callers' key away")
def revoke(context):
    context.running.small.configure(2, tenants=[{"name": "x", "api_keys": ["other"]}])


@then("the caller is told that the outcome is unknown")
def check_unknown(context):
    assert context.running.answers[-1].status == 502


@then("the caller is told that it has not run and when to come back")
def check_not_run(context):
    answer = context.running.answers[-1]
    fields = {key.lower(): value for key, value in answer.fields}
    assert answer.status == 503
    assert float(fields[b"retry-after"]) > 0


@then("the request ran {times:d} times")
def check_runs(context, times):
    ran = sum(target.runs["r0"] for target in context.running.small.targets)
    assert ran == times, ran


@then("every stream has each event once, in order")
def check_events(context):
    for answer in context.running.answers:
        found = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
        assert found == [b"id: %d" % number for number in range(1, 7)], found


@then("entry {number:d} refuses the key within {seconds:d} seconds")
def check_refused(context, number, seconds):
    running = context.running

    async def is_refused():
        state = running.small.gateways[number].state
        await wait_for(lambda: state.route_table.version == 2, seconds)
        return (await running.ask("/safe/a", number)).status

    assert running.run(is_refused()) == 401


@then("stage calls held more than one piece on average")
def check_batches(context):
    calls = [
        size
        for target in context.running.small.targets_of("stage")
        for size in target.calls
    ]
    assert sum(calls) / len(calls) > 1.0, calls


@then("no result is left")
def check_room(context):
    stages = context.running.small.targets_of("stage")
    context.running.run(
        wait_for(lambda: not any(item.result_handles for item in stages))
    )
