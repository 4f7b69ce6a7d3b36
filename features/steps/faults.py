"""Steps about faults and what callers are told."""

import threading
import time
import uuid

import msgspec
from behave import given, then, when

from lagoontide.standins.faults import FaultOrder

POLL_S = 0.01
BOUND_S = 10.0


def _targets(context, service):
    targets = context.running.local.targets
    return [x for name, x in targets.items() if name.rpartition("-")[0] == service]


def _put(context, targets, **faults):
    def change():
        for target in targets:
            target.faults.apply(FaultOrder(**faults))

    context.running.call(change)


def _wait(condition):
    end = time.monotonic() + BOUND_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(POLL_S)


@given('every target of "{service}" loses its next answer')
def lose_answers(context, service):
    _put(context, _targets(context, service), drop_answers=1)


@given('every target of "{service}" stalls')
def stall(context, service):
    _put(context, _targets(context, service), stalled=True)


@given('targets "{names}" cut their next stream after {tokens:d} tokens')
def cut_streams(context, names, tokens):
    found = [context.running.local.targets[name] for name in names.split()]
    _put(context, found, cut_after=tokens)


@given("the store is down")
def store_down(context):
    context.running.local.store.faults.down = True


@when(
    'account "{account}" asks for route "{route}" with key "{key}" at entry {entry:d}'
)
def ask_with_key(context, account, route, key, entry):
    sample = context.running.make_sample_request(account, route, "keyed")
    context.key = {"Idempotency-Key": key}
    response = context.running.ask(sample, entry - 1, **context.key)
    context.asked.append((sample, response))


@when("the same request is repeated at entry {entry:d}")
def repeat(context, entry):
    sample = context.asked[-1][0]
    response = context.running.ask(sample, entry - 1, **context.key)
    context.asked.append((sample, response))


@when('another request uses the key "{key}" at entry {entry:d}')
def reuse_key(context, key, entry):
    first = context.asked[-1][0]
    sample = context.running.make_sample_request(
        first.account.name, first.route.name, "other"
    )
    response = context.running.ask(sample, entry - 1, **{"Idempotency-Key": key})
    context.asked.append((sample, response))


@when('the agent of "{name}" leaves')
def leave(context, name):
    running = context.running
    running.bridge.call(running.local.agents[name].drain(BOUND_S))
    links = [
        link
        for parts in running.local.entries
        for link in parts.directory.links
        if link.name == name
    ]
    _wait(lambda: not any(link.is_usable for link in links))


@when('the agents of "{service}" are replaced')
def replace_agents(context, service):
    def replace():
        for agent in context.running.local.agents.values():
            if agent.service == service:
                agent.incarnation = uuid.uuid4().hex
                agent._log._records.clear()
                agent._log._ended.clear()

    context.running.call(replace)


@when('account "{account}" begins to ask for route "{route}" at entry {entry:d}')
def begin(context, account, route, entry):
    running = context.running
    sample = running.make_sample_request(account, route, "begun")

    def ask():
        context.asked.append((sample, running.ask(sample, entry - 1)))

    context.asking = threading.Thread(target=ask)
    context.asking.start()
    _wait(lambda: any(target._running for target in _targets(context, "credits")))


@when('entry {entry:d} stops gracefully while the targets of "{service}" go on')
def stop_entry(context, entry, service):
    parts = context.running.local.entries[entry - 1]
    stopping = context.running.bridge.submit(parts.drain(BOUND_S))
    _wait(lambda: parts.entry.is_leaving)
    assert not parts.entry.is_ready
    _put(context, _targets(context, service), stalled=False)
    assert stopping.result(BOUND_S)
    context.asking.join(BOUND_S)
    second = context.running.ask(context.asked[-1][0], entry - 1)
    context.asked.append((context.asked[-1][0], second))


@then('the answer is a problem with outcome "{outcome}"')
def check_outcome(context, outcome):
    response = context.asked[-1][1]
    assert msgspec.json.decode(response.data)["outcome"] == outcome, response.data


@then("the last answer has status {status:d}")
def check_status(context, status):
    assert context.asked[-1][1].status == status


@then("the last answer closes its connection")
def check_closes(context):
    assert context.asked[-1][1].headers["Connection"] == "close"


@then('target "{name}" executed {times:d} operations')
def check_target(context, name, times):
    assert len(context.running.local.targets[name].ledger.executions) == times


@then('no operation of "{service}" ran twice for a request')
def check_once(context, service):
    done = [
        (item.request, item.operation)
        for target in _targets(context, service)
        for item in target.ledger.executions
    ]
    assert len(done) == len(set(done))
    right = [response for _, response in context.asked if response.status == 200]
    assert len(done) >= len(right)
