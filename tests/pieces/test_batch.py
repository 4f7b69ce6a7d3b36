"""Selection of the pieces of a call, under the load that each test name states."""

from hypothesis import given, strategies as st

from lagoontide.pieces.batch import (
    DomainCapacity,
    PieceGroup,
    batching_delay,
    fill_batch,
    rank_groups,
    select_held_groups,
)
from lagoontide.pieces.room import select_fitting_groups


def make_group(name="r", pieces=1, due=1.0, size=0.0, urgency=0, inputs=(), near=""):
    return PieceGroup(
        request_id=name,
        kind="k/0",
        stage=0,
        key="",
        inputs=inputs,
        urgency=urgency,
        due_at=due,
        deadline=due + 5.0,
        result_bytes=size,
        waiting=list(range(pieces)),
        count=pieces,
        near=near,
    )


def names(groups):
    return [group.request_id for group in groups]


def test_burst_serves_first_groups_that_can_meet_their_objective():
    late, soon, later = (
        make_group("late", due=0.1),
        make_group("soon", due=0.6),
        make_group("later", due=0.9),
    )
    assert names(rank_groups([late, later, soon], 0.0, 0.3)) == [
        "soon",
        "later",
        "late",
    ]


def test_burst_does_not_defer_late_groups_with_inputs():
    late = make_group("late", due=0.1, inputs=("h",))
    fresh = make_group("fresh", due=0.6)
    assert names(rank_groups([fresh, late], 0.0, 0.3)) == ["late", "fresh"]


def test_urgent_groups_precede_others_due_at_about_the_same_time():
    urgent = make_group("urgent", due=0.70, urgency=0)
    other = make_group("other", due=0.65, urgency=2)
    assert names(rank_groups([other, urgent], 0.0, 0.3)) == ["urgent", "other"]


def test_burst_of_less_urgent_work_does_not_delay_urgent_work():
    urgent = make_group("urgent", due=1.0, urgency=0)
    others = [make_group(f"other-{n}", due=0.6, urgency=1) for n in range(9)]
    assert names(rank_groups([*others, urgent], 0.0, 0.3))[0] == "urgent"


def test_batch_is_limited_by_size_and_free_memory():
    groups = [make_group("a", 3, size=10.0), make_group("b", 4, size=1.0)]
    batch = fill_batch(groups, 6, 25.0)
    assert [(item.group.request_id, item.number) for item in batch] == [
        ("a", 0),
        ("a", 1),
        ("b", 0),
        ("b", 1),
        ("b", 2),
        ("b", 3),
    ]


def test_scarce_memory_is_allocated_to_whole_groups_only():
    groups = [make_group("a", 3, size=10.0), make_group("b", 3, size=10.0)]
    assert names(select_fitting_groups(groups, [25.0, 20.0])) == ["a"]


def test_scarce_memory_is_reserved_for_started_groups():
    started = make_group("started", 3, size=10.0)
    started.waiting = [1, 2]
    other = make_group("other", 1, size=10.0)
    assert names(select_fitting_groups([other, started], [20.0])) == ["started"]


def test_small_groups_do_not_starve_a_large_one_of_memory():
    large = make_group("large", 4, size=10.0)
    small = [make_group(f"s{number}", 1, size=10.0) for number in range(3)]
    assert names(select_fitting_groups([large, *small], [30.0])) == []
    assert names(select_fitting_groups([large, *small], [50.0])) == ["large", "s0"]


@given(
    st.lists(st.tuples(st.integers(1, 5), st.integers(1, 20)), max_size=10),
    st.lists(st.integers(0, 60), min_size=1, max_size=4),
)
def test_selected_groups_always_fit(sizes, rooms):
    groups = [
        make_group(str(number), pieces, size=float(size))
        for number, (pieces, size) in enumerate(sizes)
    ]
    chosen = select_fitting_groups(groups, map(float, rooms))
    need = sum(len(group.waiting) * group.result_bytes for group in chosen)
    assert need <= sum(rooms)


def test_results_across_domains_wait_for_a_target_in_the_preferred_domain():
    near = make_group("near", 2, due=1.0, near="a")
    domains = {"a": DomainCapacity(0.1, 9), "b": DomainCapacity(0.0, 9)}
    assert select_held_groups([near], domains, 0.0, 0.3) == {id(near)}


def test_results_across_domains_no_wait_beyond_the_due_time():
    near = make_group("near", 2, due=0.35, near="a")
    assert select_held_groups([near], {"a": DomainCapacity(0.1, 9)}, 0.0, 0.3) == set()


def test_results_across_domains_no_wait_for_a_full_call():
    groups = [make_group(str(number), 4, near="a") for number in range(3)]
    held = select_held_groups(groups, {"a": DomainCapacity(0.1, 9)}, 0.0, 0.3)
    assert held == {id(groups[0]), id(groups[1])}


def test_results_across_domains_no_wait_for_a_domain_without_targets():
    assert select_held_groups([make_group(near="a")], {}, 0.0, 0.3) == set()


def test_trickle_staggers_calls_over_the_duration_of_a_call():
    assert batching_delay(0.0, 1, 9, 1, 4, 0.4) == 0.1
    assert batching_delay(0.2, 1, 9, 1, 4, 0.4) == 0.0
    assert batching_delay(0.0, 9, 9, 1, 4, 0.4) == 0.0
    assert batching_delay(0.0, 1, 9, 4, 4, 0.4) < 0.03
