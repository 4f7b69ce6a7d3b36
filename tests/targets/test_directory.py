"""Tests of the directory over deleted and expired registrations and restarts."""

from dataclasses import replace

import pytest

from lagoontide.store.revision_store import Revision
from lagoontide.targets.directory import REREGISTRATION_GRACE_S, Directory
from lagoontide.targets.records import Target, TargetState


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def make_target(name="i", revision=1, era=1, state=TargetState.READY, born=1, port=1):
    return Target(name, "s", "h", port, "z", state, born, 1, Revision(era, revision))


def ids(directory):
    return [target.id for target in directory.ready("s")]


def test_the_latest_revision_wins_in_any_order():
    directory = Directory(Clock())
    directory.put(make_target(revision=5, state=TargetState.LEAVING))
    directory.put(make_target(revision=4))
    assert ids(directory) == []


def test_a_leaving_target_gets_no_work_again_unless_it_restarts():
    directory = Directory(Clock())
    directory.put(make_target(revision=1))
    directory.put(make_target(revision=2, state=TargetState.LEAVING))
    directory.put(make_target(revision=3))
    assert ids(directory) == []
    directory.put(make_target(revision=4, born=2))
    assert ids(directory) == ["i"]


# Guards against requests to the service or the address that a target had before, as the
# list of ready targets is kept beside a registration that changes them alone.
@pytest.mark.parametrize(
    "changes",
    [
        {"service": "other"},
        {"host": "h2"},
        {"port": 2},
        {"failure_domain": "z2"},
        {"version": "v2"},
        {"slots": 9},
        {"cold_left": 1.0},
    ],
)
def test_a_registration_that_changes_one_field_is_what_is_chosen_from(changes):
    directory = Directory(Clock())
    directory.put(make_target(revision=1))
    assert ids(directory) == ["i"]
    later = replace(make_target(revision=2), **changes)
    directory.put(later)
    assert directory.ready(later.service) == (later,)
    assert directory.at_address(later.address) == later
    assert later.service == "s" or directory.ready("s") == ()


def test_a_deleted_target_is_removed_at_once_while_the_store_is_up():
    directory = Directory(Clock())
    directory.put(make_target())
    directory.remove("i", Revision(1, 2), store_up_since=0.0)
    assert len(directory) == 0


def test_targets_that_expired_in_a_store_outage_are_kept_for_the_grace_time():
    clock = Clock()
    directory = Directory(clock)
    directory.put(make_target("a"))
    directory.put(make_target("b"))
    directory.remove_unlisted([], Revision(1, 9), store_up_since=clock.now)
    assert ids(directory) == ["a", "b"]
    directory.put(make_target("a", revision=10))
    clock.now += REREGISTRATION_GRACE_S
    directory.remove_expired()
    assert ids(directory) == ["a"]


def test_a_leaving_target_is_not_kept_after_a_store_outage():
    clock = Clock()
    directory = Directory(clock)
    directory.put(make_target(state=TargetState.LEAVING))
    directory.remove_unlisted([], Revision(1, 9), store_up_since=clock.now)
    assert len(directory) == 0


def test_leaving_targets_are_reported_to_peers_for_a_short_time():
    clock = Clock()
    one, other = Directory(clock), Directory(clock)
    for directory in (one, other):
        directory.put(make_target())
    one.mark_leaving(one.get("i"), "refused a request")
    other.mark_reported_leaving(one.recently_leaving(), "one")
    assert ids(other) == []
    clock.now += 10.0
    assert one.recently_leaving() == ()


def test_a_peers_report_of_an_earlier_start_is_ignored():
    directory = Directory(Clock())
    directory.put(make_target(born=2))
    directory.mark_reported_leaving([("i", 1)], "peer")
    assert ids(directory) == ["i"]


def test_targets_that_left_long_ago_are_forgotten():
    clock = Clock()
    directory = Directory(clock)
    directory.put(make_target(state=TargetState.LEAVING))
    directory.remove("i", Revision(1, 2), store_up_since=0.0)
    clock.now += 1000.0
    directory.remove_expired()
    assert not directory._leaving_since
