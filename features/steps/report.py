"""Steps about what operators see."""

import os
import subprocess
import sys

import msgspec
from behave import step, then, when

from lagoontide.deployments import DEMO_OPERATOR_TOKEN, make_account_token
from lagoontide.report.gather import gather_burn

WINDOW_S = 300.0
COMMAND_BOUND_S = 30
CLOSED = "127.0.0.1:9"


def operators(context):
    return [parts.operators_http.address for parts in context.running.local.entries]


def run(*arguments, token=DEMO_OPERATOR_TOKEN):
    return subprocess.run(
        [sys.executable, "-m", "lagoontide", *arguments],
        capture_output=True,
        text=True,
        timeout=COMMAND_BOUND_S,
        env=os.environ | {"LAGOONTIDE_TOKEN": token},
    )


def run_on_entries(context, text):
    return run(*text.split(), f"--entries={','.join(operators(context))}")


def check(done, code, text=""):
    assert done.returncode == code, (done.returncode, done.stdout, done.stderr)
    assert text in done.stdout + done.stderr, (done.stdout, done.stderr)


@when('every target of service "{service}" stalls')
def stall(context, service):
    for name, target in context.running.local.targets.items():
        if name.rpartition("-")[0] == service:
            target.faults.stalled = True


@when('account "{account}" asks for route "{route}" with {seconds:g} s to spare, twice')
def ask_in_a_hurry(context, account, route, seconds):
    running = context.running
    for number in range(2):
        sample = running.make_sample_request(account, route, f"hurry {number}")
        headers = {"Request-Timeout": str(seconds)}
        context.last = running.ask(sample, entry=number, **headers)
        assert context.last.status != 200, context.last.data


@when('account "{account}" is refused route "{route}"')
def ask_refused(context, account, route):
    running = context.running
    response = running.ask(running.make_sample_request(account, route, "refused"))
    assert response.status == 403, response.data


@then('the burn report has {count:d} refusal of "{account}" and no missed request')
def check_refusals(context, count, account):
    report = gather_burn(operators(context), DEMO_OPERATOR_TOKEN, WINDOW_S)
    lines = {line.name: line.tally for line in report.accounts}
    assert lines[account].refused == count, lines
    assert (lines[account].total, report.total.tally.bad) == (0, 0), lines
    assert report.total.tally.refused == count


@when("entry 1 leaves its snapshot and is gone")
def leave_snapshot(context):
    parts = context.running.local.entries[0]
    assert context.running.bridge.call(parts.snapshots.write())


@then('the burn report puts {count:d} missed requests down to service "{service}"')
def check_spending(context, count, service):
    report = gather_burn(operators(context), DEMO_OPERATOR_TOKEN, WINDOW_S)
    spent = {x.name: x.tally.spent for x in report.targets if x.tally.spent}
    assert sum(spent.values()) == count, spent
    assert all(name.startswith(f"{service}-") for name in spent), spent
    domains = {x.name for x in report.failure_domains if x.tally.spent}
    assert domains <= set(context.running.document.failure_domains)
    assert report.total.tally.bad == count


@step('"{text}" exits with {code:d} and names route "{route}" in alert "{alert}"')
def check_alert(context, text, code, route, alert):
    done = run_on_entries(context, text)
    check(done, code)
    lines = {x["name"]: x for x in msgspec.json.decode(done.stdout)["routes"]}
    assert lines[route]["alert"] == alert, lines[route]


@step('"{text}" exits with {code:d} and shows "{shown}"')
def check_command(context, text, code, shown):
    check(run_on_entries(context, text), code, shown)


@step('"{text}" with an entry that is gone exits with {code:d} and shows "{shown}"')
def check_missing(context, text, code, shown):
    entries = ",".join([*operators(context), CLOSED])
    done = run(*text.split(), f"--entries={entries}", "--window=5m")
    check(done, code, shown)
    assert f"entry {CLOSED}: missing" in done.stdout


@step(
    'the trace of the last request shows a lost attempt at "{service}"'
    " and its time left"
)
def check_trace(context, service):
    request = context.last.headers["X-Request-Id"]
    done = run_on_entries(context, f"trace {request} --json")
    check(done, 0)
    trace = msgspec.json.decode(done.stdout)
    problem = msgspec.json.decode(context.last.data)
    assert (trace["step"], trace["peer"]) == (problem["step"], problem["peer"])
    last = trace["stages"][-1]
    assert 0 < last["left"] <= trace["budget"]
    assert last["attempts"][-1]["target"].startswith(f"{service}-")
    assert last["attempts"][-1]["outcome"] != "Done"


@then("the burn report of entry 2 counts {count:d} requests, some of them stale")
def check_snapshot(context, count):
    report = gather_burn(operators(context)[1:], DEMO_OPERATOR_TOKEN, WINDOW_S)
    assert report.total.tally.total == count, report.total
    assert report.stale


@step(
    'a request for "{route}" as "{account}" from the command line exits with {code:d}'
)
def check_request(context, route, account, code):
    entry = context.running.local.entries[0].http.address
    body = '--body={"question": "where is it"}'
    done = run(
        "request", route, f"--entry={entry}", body, token=make_account_token(account)
    )
    check(done, code)
