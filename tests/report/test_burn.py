"""Known inputs give known burn, and the right one is blamed."""

import pytest

from lagoontide.report.blame import Typical, find_blame
from lagoontide.report.burn import Alert, Burn, burn_by, find_alert
from lagoontide.report.messages import EntryReport, Objectives, Point, Span
from lagoontide.report.recorder import NO_ROUTE, Recorder
from lagoontide.report.summary import Source, SourceState, summarize
from lagoontide.report.tally import Tally
from lagoontide.report.window import AttemptKey, RequestKey, Window
from tests.report.stories import make_stage, make_story


def make_report(good=0, bad=0, seconds=(300.0, 3600.0), covered=1e6, age=0.0):
    window = Window()
    window.tally(RequestKey("query", "metro")).merge(Tally(good=good, failed=bad))
    data = window.to_data()
    objectives = Objectives(1, {"query": 0.99})
    spans = tuple(Span(second, data) for second in seconds)
    points = (Point("query", 30.0, 60.0, Tally(good=good, failed=bad)),)
    return EntryReport("e", "i", "malaga", covered, objectives, spans, points, age)


def test_known_counts_give_known_burn():
    window = Window()
    window.tally(RequestKey("query", "metro")).merge(
        Tally(good=960, late=10, failed=10, unknown=10, not_run=10, refused=500)
    )
    window.tally(RequestKey("credit", "metro")).merge(Tally(good=1000))
    objectives = Objectives(1, {"query": 0.98, "credit": 0.99}, {})
    routes = burn_by(window, objectives, lambda key: key.route)
    assert routes["query"].rate == pytest.approx(2.0)
    assert routes["query"].budget_left == pytest.approx(-1.0)
    assert routes["credit"].budget_left == 1.0
    accounts = burn_by(window, objectives, lambda key: key.account)
    assert accounts["metro"].rate == pytest.approx(40 / 30)


def test_an_account_may_have_an_objective_of_its_own():
    window = Window()
    window.tally(RequestKey("query", "metro")).merge(Tally(good=90, late=10))
    objectives = Objectives(1, {"query": 0.99}, {"metro": 0.8})
    (burn,) = burn_by(window, objectives, lambda key: key.account).values()
    assert burn.rate == pytest.approx(0.5)


def test_no_data_is_no_burn_of_zero():
    assert Burn(Tally(refused=5), 0.0).rate is None
    assert find_alert(lambda seconds: None) is Alert.NONE


@pytest.mark.parametrize(
    ("rates", "wanted"),
    [
        ({300: 20, 3600: 15, 1800: 15, 21600: 15}, Alert.FAST),
        ({300: 20, 3600: 10, 1800: 10, 21600: 5}, Alert.NONE),
        ({300: 0, 3600: 15, 1800: 7, 21600: 7}, Alert.SLOW),
        ({300: 0, 3600: 15, 1800: 0, 21600: 7}, Alert.NONE),
    ],
)
def test_an_alert_needs_its_short_and_its_long_window(rates, wanted):
    assert find_alert(lambda seconds: rates[int(seconds)]) is wanted


def test_reports_add_up_and_say_who_did_not_answer():
    missing = [Source("10.0.0.3:80", SourceState.MISSING, detail="refused")]
    report = summarize([make_report(95, 5), make_report(99, 1)], missing, 3600.0)
    assert report.total.tally.total == 200
    assert report.total.rates["300"] == pytest.approx(3.0)
    assert report.partial and not report.stale and not report.empty
    assert report.sources[-1].state is SourceState.MISSING


def test_stale_and_empty_reports_say_so():
    report = summarize([make_report(age=90.0)], [], 3600.0)
    assert report.stale and report.empty and not report.partial
    assert report.total.budget_left is None
    assert summarize([make_report(1, covered=60.0)], [], 3600.0).partial
    assert summarize([], [], 3600.0).empty


def test_time_is_put_down_to_the_stage_that_took_more_than_it_does():
    typical = Typical()
    for _ in range(5):
        usual = (
            make_stage("embed", 0.0, ("encoder-1", "Done", 0.02)),
            make_stage("draft", 0.02, ("model-1", "Done", 1.5)),
        )
        typical.observe(make_story(stages=usual))
    stalled = (
        make_stage(
            "embed", 0.0, ("encoder-2", "Unknown", 1.2), ("encoder-1", "Done", 0.1)
        ),
        make_stage("draft", 1.3, ("model-1", "Unknown", 1.7)),
    )
    story = make_story("failed", elapsed=3.0, stages=stalled)
    assert find_blame(story, typical).target == "encoder-2"


def test_an_end_with_time_in_hand_is_put_down_to_its_last_attempt():
    stages = (
        make_stage("embed", 0.0, ("encoder-1", "Done", 0.9)),
        make_stage("draft", 0.9, ("model-1", "Failed", 0.01)),
    )
    story = make_story("failed", elapsed=0.91, stages=stages)
    assert find_blame(story, Typical()).target == "model-1"


def test_a_recorder_counts_refusals_apart_and_keeps_no_made_up_routes():
    recorder = Recorder(lambda target: "malaga", {"query"}.__contains__, 0.0)
    for number in range(50):
        recorder.take(make_story("refused", 0.0, route=f"x{number}", account=""))
    recorder.take(make_story("refused", 0.0, account=""))
    recorder.take(make_story(elapsed=4.0))
    recorder.take(
        make_story(
            "unknown", 3.0, stages=(make_stage("a", 0.0, ("t-1", "Unknown", 3.0)),)
        )
    )
    window = recorder.slots.current(100.0)
    assert window.requests[RequestKey(NO_ROUTE, "")].refused == 50
    assert window.requests[RequestKey("query", "")].refused == 1
    tally = window.requests[RequestKey("query", "metro")]
    assert (tally.late, tally.unknown, tally.bad) == (1, 1, 2)
    spent = window.attempts[AttemptKey("query", "a", "t-1", "malaga")]
    assert (spent.spent, spent.lost, spent.waste_ms) == (1, 1, 3000)
