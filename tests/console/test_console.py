"""The console's forms through HTTP as a browser without script sends them."""

import html

import pytest

from lagoontide.configuration.acceptance import Acceptance, Proposal, make_writer
from lagoontide.configuration.force import DomainForce, ForceView
from lagoontide.configuration.holder import Holder
from lagoontide.configuration.source import publish
from lagoontide.console.app import mount_console
from lagoontide.deployments import hash_token
from lagoontide.operators.app import OperatorsApp
from lagoontide.operators.signin import mount_sign_in
from lagoontide.standins.store import MemoryStore
from tests.support.browser import Browser, read_fields
from tests.support.documents import make_small
from tests.support.virtual import VirtualLoop

TOKENS = {hash_token("token-a"): "ada", hash_token("token-b"): "bo"}
HOSTILE = '"><script>alert(1)</script>'


class Bench:
    """A store and a console on a virtual clock."""

    def __init__(self):
        self.loop = VirtualLoop()
        self.store = self.call(self._make_store())
        self.acceptance = Acceptance(self.store, lambda: 1e9)
        self.version = self.call(publish(self.store, make_small(), 0))
        self.holder = Holder()
        self.holder.adopt(self.version, make_small())
        self.view = self.call(self._make_view())
        self.force = self.view.read
        self.app = OperatorsApp(TOKENS, "k" * 32)
        mount_sign_in(self.app)
        mount_console(
            self.app,
            self.acceptance,
            self.holder,
            self,
            lambda version: self.force(version),
            lambda service: (f"{service}-1", f"{service}-2"),
        )

    async def _make_store(self):
        return MemoryStore()

    async def _make_view(self):
        return ForceView(self.holder, "entry-1", "palermo")

    def call(self, coro):
        return self.loop.run_until_complete(coro)

    def sign_in(self, token="token-a"):
        browser = Browser(self.app)
        browser.sign_in(token)
        return browser

    @property
    def current(self):
        return self.call(self.acceptance.read())

    def accept(self, **changes):
        proposal = Proposal(
            self.current.version, make_small(**changes), "bo", make_writer()
        )
        return self.call(self.acceptance.accept(proposal)).version


@pytest.fixture
def bench():
    bench = Bench()
    yield bench
    bench.loop.close()


def fill(browser, url, **changes):
    """Open a form, type into it and ask for the difference."""
    fields = read_fields(browser.get(url).text) | changes
    return browser.post(url, **fields, step="review")


def go_on(browser, url, page, step="accept", **changes):
    return browser.post(url, **(read_fields(page.text) | changes), step=step)


def test_pages_need_a_sign_in(bench):
    for url in ("/", "/routes", "/routes/notice", "/history", "/policies"):
        assert Browser(bench.app).get(url).status == 303


@pytest.mark.parametrize(
    "url",
    ["/", "/routes", "/services", "/accounts", "/history", "/policies", "/routes/+"],
)
def test_pages_are_there_for_phones_and_without_script(bench, url):
    page = bench.sign_in().get(url)
    assert page.status == 200
    assert 'name="viewport"' in page.text
    assert "<script" not in page.text


def test_a_change_goes_by_its_difference_to_in_force(bench):
    browser = bench.sign_in()
    review = fill(browser, "/routes/notice", deadline="3.5", priority="high")
    assert review.status == 200
    assert "routes.notice.deadline" in review.text
    assert "<del>2.5</del>" in review.text and "<ins>3.5</ins>" in review.text
    assert bench.current.version == bench.version
    answer = go_on(browser, "/routes/notice", review)
    assert answer.status == 303
    route = bench.current.record.routes["notice"]
    assert (route.deadline, route.priority) == (3.5, "high")
    assert bench.current.record.operator == "ada"
    page = browser.get(answer.headers["Location"])
    assert "0 of 1 heard from" in page.text and "unknown" in page.text
    assert "http-equiv" in page.text
    assert "ada" in browser.get("/history").text


def test_the_page_of_force_rests_when_all_have_it(bench):
    async def all_have_it(version):
        return (DomainForce("palermo", 3, 3, 3), DomainForce("catania", 2, 2, 5))

    bench.force = all_have_it
    page = bench.sign_in().get(f"/force?version={bench.version}")
    assert "3 of 3 heard from" in page.text
    assert "http-equiv" not in page.text


def test_a_form_left_as_it_is_changes_nothing(bench):
    browser = bench.sign_in()
    for url in ("/routes/notice", "/services/engine", "/accounts/schools", "/policies"):
        assert "Nothing changes" in fill(browser, url).text
    assert "Nothing changes" in fill(browser, "/failure-domains").text


def test_every_section_has_a_form_that_takes_effect(bench):
    browser = bench.sign_in()
    edits = {
        "/services/engine": {"draining": ["engine-2", "engine-9"], "slots": "12"},
        "/accounts/schools": {"weight": "2.5", "objective": "0.95"},
        "/policies": {"cut_off": "repeatable"},
        "/failure-domains": {"failure_domains": "palermo\r\ncatania\r\nmessina"},
    }
    for url, changes in edits.items():
        assert go_on(browser, url, fill(browser, url, **changes)).status == 303
    record = bench.current.record
    assert record.services["engine"].draining == ("engine-2", "engine-9")
    assert record.services["engine"].slots == 12
    assert record.accounts["schools"].objective == 0.95
    assert record.policies.cut_off == "repeatable"
    assert record.failure_domains == ("palermo", "catania", "messina")


def test_a_route_is_made_and_removed(bench):
    browser = bench.sign_in()
    fields = read_fields(browser.get("/routes/notice").text) | {"item_name": "order"}
    fields["stages.2.once"] = "on"
    review = browser.post("/routes/+", **fields, step="review")
    assert go_on(browser, "/routes/+", review).status == 303
    assert not bench.current.record.routes["order"].is_repeatable
    again = fill(browser, "/routes/+", **(fields | {"version": bench.current.version}))
    assert again.status == 422 and "there already" in again.text
    review = fill(browser, "/routes/order", remove="1")
    assert go_on(browser, "/routes/order", review).status == 303
    assert set(bench.current.record.routes) == {"notice"}


def test_problems_stand_beside_their_field_and_typing_stays(bench):
    browser = bench.sign_in()
    typed = {"deadline": "soon", "answer": "text : draft.text", "objective": "0.97"}
    page = fill(browser, "/routes/notice", **typed)
    assert page.status == 422
    fields = read_fields(page.text)
    assert {name: fields[name][0] for name in typed} == typed
    beside = page.text.partition('name="deadline"')[2].partition("<label")[0]
    assert 'class="problem"' in beside and "valid number" in beside
    assert "write NAME = VALUE" in page.text
    page = fill(
        browser, "/routes/notice", **{"stages.2.service": "", "deadline": "0.1"}
    )
    beside = page.text.partition('name="stages.2.service"')[2].partition("<label")[0]
    assert 'class="problem"' in beside


def test_a_problem_elsewhere_is_shown_above(bench):
    page = fill(bench.sign_in(), "/routes/notice", remove="1")
    assert page.status == 422
    assert "accounts.schools.routes.0" in page.text


def test_a_stage_between_two_gaps_keeps_its_problem(bench):
    changes = {"stages.5.name": "late", "stages.5.service": "engine"}
    page = fill(bench.sign_in(), "/routes/notice", **changes)
    assert page.status == 422
    fields = read_fields(page.text)
    assert fields["stages.3.name"] == ["late"]
    beside = page.text.partition('name="stages.3.operation"')[2].partition("<label")[0]
    assert 'class="problem"' in beside


def test_a_racing_operator_gets_the_difference_and_keeps_typing(bench):
    ada, bo = bench.sign_in(), bench.sign_in("token-b")
    url = "/routes/notice"
    mine = fill(ada, url, deadline="4.0", objective="0.97")
    theirs = fill(bo, url, deadline="3.0", priority="low")
    assert go_on(bo, url, theirs).status == 303
    page = go_on(ada, url, mine)
    assert page.status == 409
    fields = read_fields(page.text)
    assert fields["deadline"] == ["4.0"] and fields["objective"] == ["0.97"]
    assert fields["priority"] == ["low"]
    assert "accepted now: 3.0" in page.text
    assert "<td>bo</td>" in page.text
    review = go_on(ada, url, page, step="review")
    assert "<del>3.0</del>" in review.text
    assert go_on(ada, url, review).status == 303
    route = bench.current.record.routes["notice"]
    assert (route.deadline, route.priority, route.objective) == (4.0, "low", 0.97)


def test_a_stale_page_never_turns_back_what_others_changed(bench):
    browser = bench.sign_in()
    fields = read_fields(browser.get("/routes/notice").text) | {"objective": "0.97"}
    bench.accept(routes__notice__deadline=3.0, accounts__schools__weight=2.0)
    page = browser.post("/routes/notice", **fields, step="review")
    assert page.status == 409
    review = go_on(browser, "/routes/notice", page, step="review")
    assert go_on(browser, "/routes/notice", review).status == 303
    record = bench.current.record
    assert record.routes["notice"].deadline == 3.0
    assert record.routes["notice"].objective == 0.97
    assert record.accounts["schools"].weight == 2.0


def test_a_form_sent_twice_is_accepted_once(bench):
    browser = bench.sign_in()
    review = fill(browser, "/routes/notice", deadline="3.5")
    first = go_on(browser, "/routes/notice", review)
    swaps = bench.store.calls["swap"]
    second = go_on(browser, "/routes/notice", review)
    assert second.headers["Location"] == first.headers["Location"]
    assert bench.store.calls["swap"] == swaps


def test_a_new_item_sent_twice_is_accepted_once(bench):
    browser = bench.sign_in()
    fields = read_fields(browser.get("/routes/notice").text) | {"item_name": "order"}
    review = browser.post("/routes/+", **fields, step="review")
    first = go_on(browser, "/routes/+", review)
    second = go_on(browser, "/routes/+", review)
    assert second.headers["Location"] == first.headers["Location"]


def test_an_outage_loses_no_typing_and_shows_what_is_in_force(bench):
    browser = bench.sign_in()
    review = fill(browser, "/routes/notice", deadline="3.5")
    bench.store.faults.down = True
    page = browser.get("/routes/notice")
    assert page.status == 200 and "store does not answer" in page.text
    page = go_on(browser, "/routes/notice", review)
    assert page.status == 503
    assert read_fields(page.text)["deadline"] == ["3.5"]
    bench.store.faults.down = False
    assert go_on(browser, "/routes/notice", page).status == 303
    assert bench.current.record.routes["notice"].deadline == 3.5


def test_hostile_texts_are_escaped(bench):
    browser = bench.sign_in()
    bench.accept(routes__notice__stages__2__constants={"motto": HOSTILE})
    typed = {"deadline": HOSTILE, "answer": HOSTILE, "stages.0.service": HOSTILE}
    pages = [
        browser.get("/routes/notice"),
        browser.get("/history"),
        browser.get(f"/routes?q={html.escape(HOSTILE)}"),
        fill(browser, "/routes/notice", **typed),
        fill(browser, "/routes/+", item_name=HOSTILE),
        browser.get("/routes/%3Cscript%3E"),
        browser.get(f"/{HOSTILE}"),
        browser.get(f"/force?version={HOSTILE}"),
    ]
    assert all("<script" not in page.text for page in pages)
    fields = read_fields(pages[3].text)
    assert fields["deadline"] == [HOSTILE]
    motto = read_fields(pages[0].text)["stages.2.constants"][0]
    assert HOSTILE in motto.replace('\\"', '"')
    assert "Nothing changes" in fill(browser, "/routes/notice").text


def test_a_form_without_its_mark_is_refused(bench):
    browser = bench.sign_in()
    review = fill(browser, "/routes/notice", deadline="3.5")
    assert go_on(browser, "/routes/notice", review, csrf="0" * 64).status == 403
    assert bench.current.version == bench.version


def test_wild_forms_are_refused_not_crashes(bench):
    browser = bench.sign_in()
    csrf = read_fields(browser.get("/routes/notice").text)["csrf"][0]
    for fields in ({}, {"version": "x"}, {"version": "9" * 30}, {"step": "dance"}):
        page = browser.post("/routes/notice", csrf=csrf, **fields)
        assert page.status in (409, 422)
    assert browser.get("/nowhere/at/all").status == 404
    assert browser.get("/routes/nothing").status == 404
