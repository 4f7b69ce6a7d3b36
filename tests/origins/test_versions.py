"""The versions of each service that may have begun a stream."""

import pytest

from lagoontide.origins.ledger import DEFAULT_RETENTION_S, Origins
from tests.origins.harness import Clock

SERVICES = 160
FEW = 20


class CountingClock(Clock):
    """A clock that counts how often it is read."""

    def __init__(self):
        super().__init__()
        self.reads = 0

    def __call__(self):
        self.reads += 1
        return self.now


@pytest.fixture
def clock():
    return CountingClock()


@pytest.fixture
def origins(clock):
    origins = Origins(clock)
    origins.note_stored(True)
    origins.observe_versions(registered())
    return origins


def registered(**changes):
    return {f"s{number}": {"v1"} for number in range(SERVICES)} | changes


# Guards against work for all services at each sweep and batch, though none has changed.
def test_work_depends_on_what_has_changed(origins, clock):
    origins.version_set()
    clock.now += 0.25
    clock.reads = 0
    origins.observe_versions(registered(s7={"v1", "v2"}))
    origins.learn({"s7": {"v2": ["r1"]}})
    assert origins.is_mixed("s7")
    assert clock.reads <= FEW
    known = origins.version_set()
    assert known["s7"] == ["v1", "v2"]
    clock.now += 0.25
    clock.reads = 0
    origins.observe_versions(registered(s7={"v1", "v2"}))
    origins.learn({"s7": {"v2": ["r2"]}})
    assert origins.version_set() is known
    assert clock.reads <= FEW


def test_a_version_is_kept_for_the_retention_time_after_it_was_last_seen(
    origins, clock
):
    origins.observe_versions(registered(s1={"v1", "v2"}))
    clock.now += 60.0
    origins.observe_versions(registered(s1={"v1", "v2"}))
    clock.now += 0.25
    origins.observe_versions(registered())
    clock.now += DEFAULT_RETENTION_S - 0.5
    origins.observe_versions(registered())
    assert origins.version_set()["s1"] == ["v1", "v2"]
    clock.now += 0.25
    origins.observe_versions(registered())
    assert origins.version_set()["s1"] == ["v1"]


# Guards against versions learned with an age that stay behind those seen later.
def test_versions_end_in_the_order_in_which_they_were_seen(origins, clock):
    origins.begin("r1", "new", "v1")
    origins.learn_aged([("r2", "old", "v1", 20.0)])
    clock.now += DEFAULT_RETENTION_S - 15.0
    origins.observe_versions(registered())
    known = origins.version_set()
    assert known["new"] == ["v1"]
    assert "old" not in known


# Guards against versions that end without a sweep, or with all of their service.
def test_versions_end_also_without_a_sweep(origins, clock):
    assert len(origins.version_set()) == SERVICES
    clock.now += DEFAULT_RETENTION_S
    assert origins.version_set() == {}
    origins.observe_versions(registered())
    assert len(origins.version_set()) == SERVICES


# Guards against records of a service that is taken for mixed after a longer stall.
def test_a_service_is_single_again_after_a_stall(origins, clock):
    origins.learn({"s3": {"v2": ["r1"]}})
    origins.begin("r2", "s3", "v1")
    assert origins.unsent_count == 1
    clock.now += 2 * DEFAULT_RETENTION_S
    origins.observe_versions(registered())
    assert not origins.is_mixed("s3")
    assert not origins.unsent_count
