"""What follows what among the stages of a request."""

from lagoontide.pieces.graph import StageGraph, make_graph
from lagoontide.routes.records import Service, Stage
from tests.pieces.examples import WORK

LONG = (Stage("a"), Stage("b", (0,)), Stage("c", (1,)))
# A short branch beside a long one.
FORKED = (Stage("a"), Stage("a"), Stage("b", (1,)), Stage("c", (2,)))


def make(stages, counts, times=None):
    return StageGraph(stages, counts, times or (1.0,) * len(stages))


def test_times_add_up_along_the_longest_branch():
    graph = make(FORKED, (1, 1, 1, 1), (1.0, 1.0, 2.0, 0.5))
    assert graph.whole_time() == 3.5
    assert graph.time_after(0) == 0.0
    assert graph.time_after(1) == 2.5
    assert graph.last == [0, 3]


def test_a_stage_without_pieces_takes_no_time():
    graph = make(LONG, (1, 0, 1))
    assert graph.whole_time() == 1.0
    assert graph.services == {"a", "c"}


def test_crest_begins_a_short_branch_when_the_long_one_is_about_to_end():
    graph = make(FORKED, (1, 1, 1, 1))
    assert graph.begins_after(1) == ()
    # Behind stage 3 nothing is left; it takes the results of stage 2.
    assert graph.begins_after(0) == (2,)


def test_results_are_given_up_by_the_only_stage_that_takes_them():
    assert make(LONG, (1, 1, 1)).is_only_follower(1)
    shared = (Stage("a"), Stage("b", (0,)), Stage("c", (0,)))
    assert not make(shared, (1, 1, 1)).is_only_follower(1)


def test_counts_that_a_caller_left_out_are_none():
    graph = make_graph(LONG, (2,), lambda name: Service(name, piece_work=WORK))
    assert graph.counts == (2, 0, 0)
    assert all(time > 0 for time in graph.times)
