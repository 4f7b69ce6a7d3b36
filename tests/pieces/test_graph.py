"""Dependency graph of the stages of a request."""

from lagoontide.pieces.graph import StageGraph, make_graph
from lagoontide.routes.records import Service, Stage
from tests.pieces.examples import WORK

LONG = (Stage("a"), Stage("b", (0,)), Stage("c", (1,)))
# A short branch parallel to a long one.
FORKED = (Stage("a"), Stage("a"), Stage("b", (1,)), Stage("c", (2,)))


def make(stages, counts, times=None):
    return StageGraph(stages, counts, times or (1.0,) * len(stages))


def test_times_add_up_along_the_critical_path():
    graph = make(FORKED, (1, 1, 1, 1), (1.0, 1.0, 2.0, 0.5))
    assert graph.critical_path_time() == 3.5
    assert graph.time_after(0) == 0.0
    assert graph.time_after(1) == 2.5
    assert graph.final_stages == [0, 3]


def test_a_stage_without_pieces_takes_no_time():
    graph = make(LONG, (1, 0, 1))
    assert graph.critical_path_time() == 1.0
    assert graph.services == {"a", "c"}


def test_short_branch_starts_when_the_critical_path_is_about_to_end():
    graph = make(FORKED, (1, 1, 1, 1))
    assert graph.start_after(1) == ()
    # Nothing follows stage 3, which takes the results of stage 2.
    assert graph.start_after(0) == (2,)


def test_sole_consumer_of_results_is_recognized():
    assert make(LONG, (1, 1, 1)).is_sole_consumer(1)
    shared = (Stage("a"), Stage("b", (0,)), Stage("c", (0,)))
    assert not make(shared, (1, 1, 1)).is_sole_consumer(1)


def test_missing_counts_are_zero():
    graph = make_graph(LONG, (2,), lambda name: Service(name, piece_settings=WORK))
    assert graph.counts == (2, 0, 0)
    assert all(time > 0 for time in graph.times)
