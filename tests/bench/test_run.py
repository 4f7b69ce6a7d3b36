"""The load tool: same seed, same run; answers checked; tails cut."""

import pytest

from lagoontide.bench.arrivals import find_capacity, make_arrivals
from lagoontide.bench.run import Experiment, run_experiment
from lagoontide.bench.scenarios import SCENARIOS, find_scenario
from lagoontide.deployments import load_deployment
from lagoontide.errors import SettingsError

SECONDS = 5.0


def run(scenario, policies=("default",), seconds=SECONDS):
    return run_experiment(Experiment("bandiera", scenario, policies, 1, seconds))


def test_same_seed_gives_same_arrivals_in_order():
    document = load_deployment("swanreach")
    for scenario in SCENARIOS.values():
        if scenario.drafts:
            continue
        first = make_arrivals(document, scenario, SECONDS, 7)
        assert first == make_arrivals(document, scenario, SECONDS, 7)
        assert first != make_arrivals(document, scenario, SECONDS, 8)
        times = [item.at for item in first]
        assert times == sorted(times) and times[0] >= 0 and times[-1] < SECONDS + 1


def test_offered_load_is_the_share_of_capacity_that_was_asked():
    document = load_deployment("swanreach")
    pairs = [
        (account, document.routes[name])
        for account in document.accounts.values()
        for name in account.routes
    ]
    arrivals = make_arrivals(document, find_scenario("steady"), 60.0, 1)
    wanted = 60.0 * 0.6 * find_capacity(document, pairs)
    assert abs(len(arrivals) - wanted) < 0.05 * wanted


def test_every_answer_of_a_healthy_run_is_right_and_used_once():
    arm = run("healthy").arms["default"]
    assert arm.wrong == arm.doubles == 0
    assert arm.attainment == 1.0
    assert arm.refused == {}


def test_arms_do_not_disturb_each_other():
    together = run("healthy", ("default", "random"), 4.0).arms["random"]
    assert together == run("healthy", ("random",), 4.0).arms["random"]


def test_stalled_targets_cost_less_with_tail_cutting():
    arms = run("stalled", ("default", "without-tail"), 9.0).arms
    assert arms["default"].wrong == arms["default"].doubles == 0
    assert arms["default"].attainment > arms["without-tail"].attainment


def test_unknown_names_are_errors():
    with pytest.raises(SettingsError, match="no scenario 'calm'"):
        run("calm")
    with pytest.raises(SettingsError, match="no policy 'best'"):
        run("healthy", ("best",))
