"""Steps about requests and their answers."""

import msgspec
from behave import given, then, when

from tests.support.running import Running


@given('the deployment "{name}" is running')
def start(context, name):
    context.running = Running(name)
    context.asked = []


@given('target "{name}" is down')
def take_down(context, name):
    context.running.local.targets[name].faults.down = True


@when("every account asks for each of its routes")
def ask_all(context):
    running = context.running
    for account in running.document.accounts.values():
        for route in account.routes:
            sample = running.make_sample_request(
                account.name, route, len(context.asked)
            )
            context.asked.append((sample, running.ask(sample)))


@when('account "{account}" asks for route "{route}" {times:d} times')
def ask_often(context, account, route, times):
    running = context.running
    for number in range(times):
        sample = running.make_sample_request(account, route, f"{route} {number}")
        context.asked.append((sample, running.ask(sample, entry=number % 2)))


@when('account "{account}" asks for route "{route}" as a stream')
def ask_stream(context, account, route):
    running = context.running
    sample = running.make_sample_request(account, route, "stream")
    response = running.ask(sample, Accept="application/x-ndjson")
    context.lines = [msgspec.json.decode(line) for line in response.data.splitlines()]


@then("every answer is whole and belongs to its request")
def check_answers(context):
    assert context.asked
    for sample, response in context.asked:
        assert response.status == 200, response.data
        assert msgspec.json.decode(response.data) == context.running.wanted(sample)


@then('service "{name}" executed {times:d} operations')
def check_executions(context, name, times):
    done = [
        item.request
        for target, standin in context.running.local.targets.items()
        if target.rpartition("-")[0] == name
        for item in standin.ledger.executions
    ]
    assert len(done) == len(set(done)) == times, done


@then('the streamed tokens are the words of "{field}"')
def check_stream(context, field):
    *parts, last = context.lines
    tokens = [token for part in parts for token in part["tokens"]]
    offsets = [part["offset"] for part in parts]
    assert offsets == sorted(set(offsets))
    assert " ".join(tokens) == last["answer"][field]
