"""The configuration's API: what it refuses and what it says then."""

import msgspec
import pytest

from lagoontide.console.api import mount_api
from tests.console.test_console import Bench
from tests.support.browser import Browser
from tests.support.documents import make_data

API = "/api/configuration"


@pytest.fixture
def api():
    bench = Bench()
    mount_api(bench.app, bench.acceptance, bench, lambda version: bench.force(version))
    yield Api(bench)
    bench.loop.close()


class Api:
    def __init__(self, bench):
        self.bench = bench
        self._browser = Browser(bench.app)

    def ask(self, path="", body=None, token="token-a"):
        headers = {
            "HTTP_AUTHORIZATION": f"Bearer {token}",
            "HTTP_ACCEPT": "application/json",
            "CONTENT_TYPE": "application/json",
        }
        if body is None:
            page = self._browser.get(f"{API}{path}", headers)
        else:
            page = self._browser.send(f"{API}{path}", body, headers)
        return page.status, msgspec.json.decode(page.body)

    def apply(self, expected, writer="", **changes):
        order = {"document": make_data(**changes), "expected": expected}
        return self.ask("/apply", msgspec.json.encode(order | {"writer": writer}))


def test_the_document_comes_with_its_version_and_can_be_sent_back(api):
    status, answer = api.ask()
    assert (status, answer["version"]) == (200, api.bench.version)
    body = msgspec.json.encode({"document": answer["document"]})
    assert api.ask("/diff", body) == (200, {"version": api.bench.version})


def test_a_change_is_accepted_and_in_the_history(api):
    status, answer = api.apply(api.bench.version, routes__notice__deadline=3.0)
    assert (status, answer["is_accepted"]) == (200, True)
    _, (entry, _) = api.ask("/history?limit=5")
    assert (entry["version"], entry["operator"]) == (answer["version"], "ada")
    _, force = api.ask(f"/force?version={answer['version']}")
    assert force["failure_domains"][0]["reached"] == 0


def test_a_stale_version_gets_what_others_changed(api):
    version = api.bench.accept(accounts__schools__weight=2.0)
    status, answer = api.apply(api.bench.version, routes__notice__deadline=3.0)
    assert (status, answer["version"]) == (409, version)
    (entry,) = answer["since"]
    assert entry["operator"] == "bo"
    places = {change["place"] for change in answer["changes"]}
    assert places == {"routes.notice.deadline", "accounts.schools.weight"}


def test_an_invalid_document_gets_all_its_problems(api):
    changes = {"routes__notice__deadline": -1, "accounts__schools__weight": 0}
    status, answer = api.apply(api.bench.version, **changes)
    assert status == 422
    assert [x.partition(":")[0] for x in answer["problems"]] == [
        "routes.notice.deadline",
        "accounts.schools.weight",
    ]


def test_a_store_that_is_down_is_said(api):
    api.bench.store.faults.down = True
    assert api.ask()[0] == 503
    assert api.apply(api.bench.version, routes__notice__deadline=3.0)[0] == 503


def test_what_is_no_order_is_refused(api):
    for body in (b"", b"[]", b'{"document": 3}', b"\xff", b"[" * 5000):
        assert api.ask("/apply", body)[0] == 400
    assert api.ask("/history?limit=many")[0] == 400
    assert api.ask("/nothing")[0] == 404
    assert api.ask(token="wrong")[0] == 401
