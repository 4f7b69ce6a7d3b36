"""The version of a target belongs to its id and start time."""

from dataclasses import replace

import pytest

from lagoontide.store.revision_store import Revision
from lagoontide.targets.directory import GONE_RETENTION_S, Directory
from lagoontide.targets.records import Target, TargetState
from tests.origins.harness import Clock


def target(version, number, born=1):
    return Target(
        *("t1", "s", "h", 1, "z", TargetState.READY),
        born=born,
        revision=Revision(1, number),
        version=version,
    )


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def directory(clock):
    return Directory(clock)


def test_a_target_that_changes_its_version_gets_no_more_work(directory):
    directory.put(target("v1", 1))
    assert [ready.version for ready in directory.ready("s")] == ["v1"]
    directory.put(target("v2", 2))
    assert directory.ready("s") == ()
    assert directory.get("t1").version == "v1"
    directory.put(target("v1", 3))
    assert directory.ready("s") == ()


def test_a_target_that_started_again_has_its_new_version(directory):
    directory.put(target("v1", 1))
    directory.put(target("v2", 2, born=2))
    assert [ready.version for ready in directory.ready("s")] == ["v2"]


def test_a_target_that_was_gone_does_not_change_its_version(directory, clock):
    directory.put(target("v1", 1))
    directory.remove("t1", Revision(1, 2), 0.0)
    clock.now += GONE_RETENTION_S
    directory.remove_expired()
    directory.put(target("v2", 3))
    assert directory.ready("s") == ()


def test_versions_of_targets_gone_for_long_are_forgotten(directory, clock):
    directory.put(target("v1", 1))
    directory.remove("t1", Revision(1, 2), 0.0)
    clock.now += GONE_RETENTION_S + 1.0
    directory.remove_expired()
    assert not directory._versions


def test_a_record_without_a_version_keeps_the_known_one(directory):
    directory.put(target("v1", 1))
    directory.put(replace(target("", 2), slots=3))
    assert [ready.version for ready in directory.ready("s")] == ["v1"]
