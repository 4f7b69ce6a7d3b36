"""The measurement of what the choice of a target costs, for its own soundness."""

import pytest

from lagoontide.bench import choice


# Guards against a comparison of sources with themselves, or with none.
def test_both_sources_are_measured_in_turn(capsys, monkeypatch, tmp_path):
    measured = []

    def measure(sources, seed):
        measured.append(sources)
        cost = 10.0 if sources == tmp_path else 10.9
        return {"plain 30": 2.0 * cost, "plain 300": cost}

    monkeypatch.setattr(choice, "_measure_in_child", measure)
    assert choice.run_choice(tmp_path, 2, 1) == 0
    assert measured == 2 * [tmp_path, choice.SOURCES]
    assert "ratio 1.09 (medians of 2 turns)" in capsys.readouterr().out


@pytest.mark.parametrize(("number", "code"), [(30, 0), (300, 1)])
def test_more_than_a_tenth_at_300_targets_is_too_much(monkeypatch, number, code):
    monkeypatch.setattr(
        choice,
        "_measure_in_child",
        lambda sources, seed: {
            f"plain {number}": 11.1 if sources == choice.SOURCES else 10.0
        },
    )
    assert choice.run_choice(choice.SOURCES / "other", 1, 1) == code


def test_a_child_measures_each_kind():
    costs = choice._measure_in_child(choice.SOURCES, 1)
    assert set(costs) == {
        f"{kind} {number}" for kind in choice.KINDS for number in choice.TARGETS
    }
    assert all(cost > 0.0 for cost in costs.values())
