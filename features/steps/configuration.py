"""Steps about the configuration, its console and its commands."""

import contextlib
import io
import os
import tempfile
import time
from pathlib import Path
from unittest import mock
from urllib.parse import urlencode

import msgspec
from behave import given, then, when

from lagoontide.configuration.commands import ConfigCommands
from lagoontide.configuration.model import dump_document
from lagoontide.configuration.toml import render_toml
from lagoontide.deployments import DEMO_OPERATOR_TOKEN
from tests.support.browser import read_fields

BOUND_S = 20.0
POLL_S = 0.02
ROUTE = "reseller-query"


class Console:
    """A browser of one operator that may go to any entry."""

    def __init__(self, running):
        self._running = running
        page = self.post("/sign-in", 1, {"token": DEMO_OPERATOR_TOKEN})
        self._cookie = page.headers["Set-Cookie"].partition(";")[0]

    _cookie = ""

    def get(self, path, entry):
        return self._ask("GET", path, entry)

    def post(self, path, entry, fields):
        body = urlencode(fields, doseq=True).encode()
        return self._ask("POST", path, entry, body)

    def change(self, path, entry, fields):
        """Go from a filled form over the difference to its acceptance."""
        review = self.post(path, entry, fields | {"step": "review"})
        assert review.status == 200, review.data.decode()
        self.review = read_fields(review.data.decode())
        return self.accept(path, entry)

    def accept(self, path, entry):
        return self.post(path, entry, self.review | {"step": "accept"})

    def _ask(self, method, path, entry, body=None):
        parts = self._running.local.entries[entry - 1]
        headers = {
            "Accept": "text/html",
            "Cookie": self._cookie,
            "Content-Type": "application/x-www-form-urlencoded",
        }
        url = f"http://{parts.operators_http.address}{path}"
        return self._running.http.request(
            method, url, body=body, headers=headers, redirect=False
        )


def open_form(console, path, entry=1):
    return read_fields(console.get(path, entry).data.decode())


def wait_until(check):
    end = time.monotonic() + BOUND_S
    while not check():
        assert time.monotonic() < end, "it did not come about"
        time.sleep(POLL_S)


def read_history(context):
    page = context.running.local.entries[0].operators_http.address
    response = context.running.http.request(
        "GET",
        f"http://{page}/api/configuration/history",
        headers={"Authorization": f"Bearer {DEMO_OPERATOR_TOKEN}"},
    )
    return [x for x in msgspec.json.decode(response.data) if x["operator"]]


@given('the operators "{first}" and "{second}" opened the form of "{route}"')
def open_forms(context, first, second, route):
    context.consoles = {name: Console(context.running) for name in (first, second)}
    context.forms = {
        name: open_form(console, f"/routes/{route}")
        for name, console in context.consoles.items()
    }


@given("the store loses the next {number:d} answers")
def lose_answers(context, number):
    context.running.local.store.faults.drop_answers = number


@when(
    'operator "{name}" changes the deadline of "{route}" to {value} at entry {entry:d}'
)
def change_deadline(context, name, route, value, entry):
    open_forms(context, name, "other", route)
    accept_deadline(context, name, value, entry)


@when('"{name}" accepts the deadline {value} at entry {entry:d}')
def accept_deadline(context, name, value, entry):
    console, path = context.consoles[name], f"/routes/{ROUTE}"
    fields = context.forms[name] | {"deadline": value}
    review = console.post(path, entry, fields | {"step": "review"})
    console.review = read_fields(review.data.decode())
    context.page = review
    if review.status == 200:
        context.page = console.accept(path, entry)


@when('"{name}" sends the same form again at entry {entry:d}')
def send_again(context, name, entry):
    context.page = context.consoles[name].accept(f"/routes/{ROUTE}", entry)


@when('"{name}" goes on with what was typed at entry {entry:d}')
def go_on(context, name, entry):
    fields = read_fields(context.page.data.decode())
    context.page = context.consoles[name].change(f"/routes/{ROUTE}", entry, fields)
    check_accepted(context)


@when('operator "{name}" drains target "{target}" of "{service}" at entry {entry:d}')
def drain(context, name, target, service, entry):
    console, path = Console(context.running), f"/services/{service}"
    fields = open_form(console, path, entry) | {"draining": target}
    context.page = console.change(path, entry, fields)


@then("it is accepted")
def check_accepted(context):
    assert context.page.status == 303, context.page.data.decode()
    context.accepted = context.page.headers["Location"]


@then('the deadline of "{route}" is {value:f} at every entry')
def check_deadline(context, route, value):
    def is_everywhere():
        holders = [parts.holder for parts in context.running.local.entries]
        return all(x.document.routes[route].deadline == value for x in holders)

    wait_until(is_everywhere)


@then("the page of the accepted version shows it in force in every failure domain")
def check_force(context):
    console, local = Console(context.running), context.running.local

    def is_everywhere():
        page = console.get(context.accepted, 2).data.decode()
        assert all(name in page for name in local.document.failure_domains)
        return "unknown" not in page and "http-equiv" not in page

    wait_until(is_everywhere)


@then('the history tells that "{name}" changed "{place}"')
def check_history(context, name, place):
    (entry,) = read_history(context)
    assert entry["operator"] == name
    assert [change["place"] for change in entry["changes"]] == [place]


@then("the history holds {number:d} change")
def check_history_length(context, number):
    assert len(read_history(context)) == number


@then('"{name}" is shown the accepted deadline {accepted} beside the typed {typed}')
def check_conflict(context, name, accepted, typed):
    text = context.page.data.decode()
    assert context.page.status == 409
    assert f"accepted now: {accepted}" in text
    assert read_fields(text)["deadline"] == [typed]


@then('target "{target}" is given no work by "{account}" on "{route}"')
def check_no_work(context, target, account, route):
    running = context.running
    version = int(context.accepted.partition("=")[2])
    wait_until(lambda: all(x.holder.version >= version for x in running.local.entries))
    ledger = running.local.targets[target].ledger
    before = len(ledger.executions)
    for number in range(12):
        sample = running.make_sample_request(account, route, f"drain {number}")
        assert running.ask(sample, entry=number % 2).status == 200
    assert len(ledger.executions) == before


def run_command(context, name, **options):
    address = context.running.local.entries[0].operators_http.address
    out, err = io.StringIO(), io.StringIO()
    context.exit = 0
    variables = {
        "LAGOONTIDE_OPERATORS": address,
        "LAGOONTIDE_TOKEN": DEMO_OPERATOR_TOKEN,
    }
    with (
        mock.patch.dict(os.environ, variables),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            getattr(ConfigCommands(), name)(**options)
        except SystemExit as exc:
            context.exit = exc.code
    context.printed = out.getvalue() + err.getvalue()
    return out.getvalue()


def apply_data(context, data):
    if not hasattr(context, "expected"):
        head = run_command(context, "show").partition("\n")[0]
        context.expected = int(head.removeprefix("# version "))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "document.toml"
        path.write_text(render_toml(data))
        run_command(context, "apply", file=str(path), expected=context.expected)


@when("the command line applies the document with a deadline of {value:f}")
def apply_deadline(context, value):
    data = dump_document(context.running.document)
    data["routes"][ROUTE]["deadline"] = value
    apply_data(context, data)


@when("the command line applies a document with two problems")
def apply_problems(context):
    data = dump_document(context.running.document)
    data["routes"][ROUTE]["deadline"] = -1.0
    data["accounts"]["school-bursars"]["routes"] = ["nowhere"]
    data["accounts"]["school-bursars"]["weight"] = 0.5
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "document.toml"
        path.write_text(render_toml(data))
        context.exit = 0
        run_checked(context, path)


def run_checked(context, path):
    from lagoontide.errors import DocumentError

    try:
        run_command(context, "apply", file=str(path), expected=context.expected)
    except DocumentError as exc:
        context.exit = 2
        context.printed = "\n".join(map(str, exc.problems))


@then("it exits with {code:d}")
def check_exit(context, code):
    assert context.exit == code, context.printed


@then("it names the version and the change of others")
def check_printed(context):
    assert f"not {context.expected}" in context.printed
    assert "~ routes.reseller-query.deadline: 2.0 -> 1.75" in context.printed
    assert "~ routes.reseller-query.deadline: 1.75 -> 1.25" in context.printed


@then("it names both places")
def check_places(context):
    assert "routes.reseller-query.deadline" in context.printed
    assert "accounts.school-bursars.routes.0" in context.printed


@when('operator "{name}" sets the policy "{field}" to "{value}" at entry {entry:d}')
def set_policy(context, name, field, value, entry):
    console = Console(context.running)
    fields = open_form(console, "/policies", entry) | {field: value}
    context.page = console.change("/policies", entry, fields)


@when("entry {entry:d} has had no word of the store for {age:d} seconds")
def cut_off(context, entry, age):
    parts = context.running.local.entries[entry - 1]
    wait_until(lambda: parts.holder.document.policies.cut_off == "repeatable")
    parts.entry.door.confirmed_age = lambda: float(age)


@then("every entry has word of the store")
def check_word(context):
    for parts in context.running.local.entries:
        wait_until(lambda parts=parts: parts.entry.door.confirmed_age() < BOUND_S)


@then('"{account}" gets {status:d} for "{route}" at entry {entry:d}')
def check_served(context, account, status, route, entry):
    sample = context.running.make_sample_request(account, route, f"{route} {entry}")
    response = context.running.ask(sample, entry=entry - 1)
    assert response.status == status, response.data
    if status == 503:
        assert msgspec.json.decode(response.data)["outcome"] == "not_run"
