"""Short soaks with real processes: signals, proxies and a store in trouble."""

import asyncio

import pytest

from lagoontide.bench.soak.run import soak_processes

# Fifty and more seeds are run by hand (docs/operations/soak.md).
SECONDS = 4.0


def test_promises_hold_while_processes_are_stopped_killed_and_paused(tmp_path):
    result = asyncio.run(soak_processes(4, SECONDS, 2, tmp_path))
    assert result.violations == []
    assert result.faults > 3


# Requests were lost as entries stopped or reloaded beside silent targets; streams were
# joined from two versions as all entries were killed beside a release.
@pytest.mark.parametrize(
    "phases",
    [{"silent_s": SECONDS}, {"has_releases": True}],
    ids=["silences", "releases"],
)
def test_promises_hold_beside_planned_work(tmp_path, phases):
    result = asyncio.run(soak_processes(5, SECONDS, 2, tmp_path, **phases))
    assert result.violations == []
    assert result.taken_up > 0
