"""The measurement of what logs cost, for its own soundness."""

import asyncio

from lagoontide.bench import logcost


def test_both_variants_answer_all_and_only_one_writes(capsys, monkeypatch, tmp_path):
    sizes = []
    stop = logcost.end_children

    def end_and_look(children, bound):
        stop(children, bound)
        sizes.append((tmp_path / "entry.log").stat().st_size)

    monkeypatch.setattr(logcost, "end_children", end_and_look)
    assert asyncio.run(logcost.run_log_cost(tmp_path, 0.5, 20.0, 1, 1)) == 0
    assert "logs add to processor time" in capsys.readouterr().out
    logged, quiet = sizes
    assert logged > 0
    assert quiet == logged
