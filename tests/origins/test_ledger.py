"""Records of the versions that began streams, at one entry."""

import pytest

from lagoontide.origins.ledger import (
    DEFAULT_RETENTION_S,
    MAX_ID_LENGTH,
    Origins,
    make_batch,
)
from tests.origins.harness import Clock

MANY = 1_000_000


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def origins(clock):
    origins = Origins(clock)
    origins.note_stored(True)
    return origins


def unsent_ids(origins):
    return [record.request_id for record in origins.unsent(MANY)]


def test_the_version_of_an_own_stream_is_found(origins):
    origins.begin("r1", "s", "v1")
    assert origins.find("r1", "s") == "v1"
    assert origins.find("r2", "s") is None


def test_a_record_of_another_service_is_not_found(origins):
    origins.begin("r1", "s", "v1")
    assert origins.find("r1", "other") is None


def test_a_stream_that_moved_before_its_first_event_has_the_last_version(origins):
    origins.observe_versions({"s": {"v1", "v2"}})
    origins.begin("r1", "s", "v1")
    origins.mark_sent(origins.unsent(MANY))
    origins.begin("r1", "s", "v2")
    assert origins.find("r1", "s") == "v2"
    assert make_batch(origins.unsent(MANY)) == {"s": {"v2": ["r1"]}}


def test_a_stream_that_moves_during_a_write_stays_unsent(origins):
    origins.observe_versions({"s": {"v1", "v2"}})
    origins.begin("r1", "s", "v1")
    records = origins.unsent(MANY)
    origins.begin("r1", "s", "v2")
    origins.mark_sent(records)
    assert make_batch(origins.unsent(MANY)) == {"s": {"v2": ["r1"]}}


def test_a_completed_stream_is_forgotten(origins):
    origins.observe_versions({"s": {"v1", "v2"}})
    origins.begin("r1", "s", "v1")
    origins.complete("r1")
    assert origins.find("r1", "s") is None
    assert not origins.unsent(MANY)
    assert len(origins) == 0


def test_nothing_is_unsent_while_a_service_has_one_version(origins, clock):
    for number in range(100):
        origins.observe_versions({"s": {"v1"}, "other": {"v9"}})
        origins.begin(f"r{number}", "s", "v1")
        clock.now += 0.25
    assert not origins.is_mixed("s")
    assert not origins.unsent(MANY)


def test_unfinished_streams_become_unsent_when_a_service_becomes_mixed(origins):
    origins.observe_versions({"s": {"v1"}, "other": {"v9"}})
    origins.begin("r1", "s", "v1")
    origins.begin("r2", "s", "v1")
    origins.begin("r3", "other", "v9")
    origins.complete("r2")
    origins.observe_versions({"s": {"v1", "v2"}, "other": {"v9"}})
    assert origins.is_mixed("s")
    assert not origins.is_mixed("other")
    assert unsent_ids(origins) == ["r1"]


def test_the_first_stream_of_a_new_version_makes_its_service_mixed(origins):
    origins.begin("r1", "s", "v1")
    origins.begin("r2", "s", "v2")
    assert origins.is_mixed("s")
    assert unsent_ids(origins) == ["r1", "r2"]


def test_a_service_is_mixed_until_no_stream_of_the_old_version_can_be_taken_up(
    origins, clock
):
    origins.note_stored(True)
    origins.observe_versions({"s": {"v1", "v2"}})
    for _ in range(int(DEFAULT_RETENTION_S / 0.25) - 1):
        clock.now += 0.25
        origins.observe_versions({"s": {"v2"}})
    assert origins.possible_versions("s") == {"v1", "v2"}
    origins.begin("r1", "s", "v2")
    assert unsent_ids(origins) == ["r1"]
    clock.now += 0.25
    origins.observe_versions({"s": {"v2"}})
    assert origins.possible_versions("s") == {"v2"}
    assert not origins.is_mixed("s")
    assert not origins.unsent(MANY)


def test_records_are_kept_for_the_retention_time_of_the_routes(clock):
    origins = Origins(clock, lambda: 80.0)
    origins.observe_versions({})
    origins.begin("r1", "s", "v1")
    origins.learn({"s": {"v1": ["r2"]}})
    clock.now += 79.0
    assert origins.find("r1", "s") == origins.find("r2", "s") == "v1"
    clock.now += 1.0
    assert origins.find("r1", "s") is None
    assert origins.find("r2", "s") is None
    origins.observe_versions({})
    assert len(origins) == 0
    assert origins.dropped == 0


def test_the_oldest_records_are_dropped_first_and_counted(clock):
    origins = Origins(clock, max_records=3)
    origins.observe_versions({"s": {"v1", "v2"}})
    for number in range(5):
        origins.begin(f"r{number}", "s", "v1")
        clock.now += 0.1
    assert [origins.find(f"r{number}", "s") for number in range(5)] == [
        None,
        None,
        "v1",
        "v1",
        "v1",
    ]
    assert origins.dropped == 2
    assert unsent_ids(origins) == ["r2", "r3", "r4"]


def test_an_id_that_is_too_long_is_not_recorded(origins):
    long = "r" * (MAX_ID_LENGTH + 1)
    origins.begin(long, "s", "v1")
    origins.learn({"s": {"v1": [long]}})
    assert len(origins) == 0


def test_a_learned_record_does_not_replace_an_own_one(origins):
    origins.begin("r1", "s", "v2")
    origins.learn({"s": {"v1": ["r1"]}})
    assert origins.find("r1", "s") == "v2"


def test_records_from_a_snapshot_keep_their_age(origins, clock):
    origins.begin("r1", "s", "v1")
    clock.now += DEFAULT_RETENTION_S / 2
    other = Origins(clock)
    other.learn_aged(origins.aged())
    assert other.find("r1", "s") == "v1"
    clock.now += DEFAULT_RETENTION_S / 2
    assert other.find("r1", "s") is None
    other.learn_aged([("r1", "s", "v1", DEFAULT_RETENTION_S)])
    assert other.find("r1", "s") is None
    assert not other.version_set()


def test_versions_are_unknown_until_the_store_is_listed(clock):
    origins = Origins(clock)
    origins.observe_versions({"s": {"v1"}})
    assert origins.possible_versions("s") is None
    clock.now += DEFAULT_RETENTION_S
    origins.observe_versions({"s": {"v1"}})
    assert origins.possible_versions("s") is None
    origins.note_stored(False)
    assert origins.possible_versions("s") == {"v1"}


def test_streams_of_a_single_version_are_unsent_only_without_a_version_set(clock):
    origins = Origins(clock)
    origins.observe_versions({"s": {"v1"}})
    origins.begin("r1", "s", "v1")
    origins.note_stored(False)
    origins.begin("r2", "s", "v1")
    origins.note_stored(True)
    origins.begin("r3", "s", "v1")
    assert unsent_ids(origins) == ["r1", "r2"]


def test_stored_versions_count_as_seen_when_they_are_read(origins, clock):
    origins.note_stored(True)
    origins.learn_versions({"s": ["v1", "v2"]})
    origins.observe_versions({"s": {"v2"}})
    assert origins.possible_versions("s") == {"v1", "v2"}
    assert origins.possible_versions("unknown") == frozenset()
    clock.now += DEFAULT_RETENTION_S
    origins.observe_versions({"s": {"v2"}})
    assert origins.possible_versions("s") == {"v2"}


def test_a_bounded_number_of_records_is_handed_out_at_once(origins):
    origins.observe_versions({"s": {"v1", "v2"}})
    for number in range(10):
        origins.begin(f"r{number}", "s", "v1")
    assert len(origins.unsent(6)) == 3
    assert len(origins.unsent(1)) == 1


def test_own_records_become_unsent_again_after_a_restore(origins):
    origins.observe_versions({"s": {"v1", "v2"}, "single": {"v1"}})
    origins.begin("r1", "s", "v1")
    origins.begin("r2", "single", "v1")
    origins.learn({"s": {"v1": ["r3"]}})
    origins.mark_sent(origins.unsent(MANY))
    assert not origins.unsent(MANY)
    origins.mark_all_unsent()
    assert unsent_ids(origins) == ["r1"]


def test_batches_group_ids_by_service_and_version(origins):
    origins.begin("r1", "s", "v1")
    origins.begin("r2", "s", "v2")
    origins.begin("r3", "t", "v1")
    origins.begin("r4", "t", "v2")
    origins.begin("r5", "s", "v1")
    assert make_batch(origins.unsent(MANY)) == {
        "s": {"v1": ["r1", "r5"], "v2": ["r2"]},
        "t": {"v1": ["r3"], "v2": ["r4"]},
    }
