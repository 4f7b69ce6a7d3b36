"""Changes are accepted once, racing operators get the difference, nothing is lost."""

import asyncio
from itertools import count

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from lagoontide.configuration.acceptance import (
    Acceptance,
    AcceptanceUnknown,
    Proposal,
    VersionConflict,
    make_writer,
)
from lagoontide.configuration.diff import Change
from lagoontide.configuration.history import (
    HISTORY_PREFIX,
    SEGMENT_BYTES,
    SEGMENT_ENTRIES,
    SEGMENTS,
    History,
)
from lagoontide.configuration.record import HistoryEntry
from lagoontide.configuration.source import CONFIGURATION_KEY, publish
from lagoontide.errors import DocumentError, StoreUnavailable
from lagoontide.standins.store import MemoryStore
from tests.support.documents import make_small
from tests.support.virtual import run_virtual

UNLIMITED = 1e9


def with_deadline(deadline):
    return make_small(routes__notice__deadline=float(deadline))


def propose(expected, deadline, operator="ada", writer=None):
    document = with_deadline(deadline)
    return Proposal(expected, document, operator, writer or make_writer())


async def make_started():
    store = MemoryStore(writes_per_s=UNLIMITED, reads_per_s=UNLIMITED)
    version = await publish(store, with_deadline(2), 0)
    clock = count(1000)
    return store, Acceptance(store, lambda: float(next(clock))), version


def test_a_change_is_accepted_with_two_writes_and_two_reads():
    async def main():
        store, acceptance, version = await make_started()
        store.calls.clear()
        accepted = await acceptance.accept(propose(version, 3))
        assert accepted.version > version
        assert dict(store.calls) == {"get": 2, "swap": 2}
        current = await acceptance.read()
        assert current.version == accepted.version
        assert current.record.routes["notice"].deadline == 3
        newest, first = await acceptance.read_history(10)
        assert (newest.operator, newest.at, newest.base) == ("ada", 1000.0, version)
        change = Change("routes.notice.deadline", "2.0", "3.0")
        assert newest.changes == (change,)
        assert first.version == version

    run_virtual(main())


def test_the_first_document_needs_no_other():
    async def main():
        acceptance = Acceptance(MemoryStore())
        accepted = await acceptance.accept(propose(0, 3))
        assert (await acceptance.read()).version == accepted.version

    run_virtual(main())


def test_no_change_writes_nothing():
    async def main():
        store, acceptance, version = await make_started()
        store.calls.clear()
        accepted = await acceptance.accept(propose(version, 2))
        assert accepted.version == version
        assert store.calls["swap"] == 0

    run_virtual(main())


def test_of_racing_operators_one_wins_and_the_others_get_the_difference():
    async def main():
        _, acceptance, version = await make_started()
        racers = [propose(version, 3 + i, f"operator-{i}") for i in range(4)]
        results = await asyncio.gather(
            *(acceptance.accept(racer) for racer in racers), return_exceptions=True
        )
        lost = [x for x in results if isinstance(x, VersionConflict)]
        won = [x for x in results if not isinstance(x, Exception)]
        assert (len(won), len(lost)) == (1, 3)
        winner = racers[results.index(won[0])]
        for conflict in lost:
            assert conflict.current.version == won[0].version
            assert conflict.since[0].operator == winner.operator
            assert conflict.since[0].changes[0].place == "routes.notice.deadline"

    run_virtual(main())


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_lost_answers_are_settled_by_reading_back(lost):
    async def main():
        store, acceptance, version = await make_started()
        store.faults.drop_answers = lost
        accepted = await acceptance.accept(propose(version, 3))
        current = await acceptance.read()
        assert current.version == accepted.version
        assert current.record.routes["notice"].deadline == 3
        history = await acceptance.read_history(10)
        assert [x.version for x in history] == [accepted.version, version]

    run_virtual(main())


def test_a_lost_answer_is_settled_though_another_change_came_on_top():
    async def main():
        store, acceptance, version = await make_started()
        proposal = propose(version, 3)
        first = await acceptance.accept(proposal)
        second = await acceptance.accept(propose(first.version, 4, "bo"))
        again = await acceptance.accept(proposal)
        assert again.is_settled
        assert again.version == first.version
        assert (await acceptance.read()).version == second.version

    run_virtual(main())


def test_an_outage_after_the_write_is_unknown_and_settled_by_the_same_proposal():
    async def main():
        store, acceptance, version = await make_started()
        proposal = propose(version, 3)
        await History(store).add(0, (await acceptance.read()).record.to_entry(version))
        store.faults.drop_answers = 1
        swaps = store.calls["swap"]
        task = asyncio.create_task(acceptance.accept(proposal))
        while store.calls["swap"] == swaps:
            await asyncio.sleep(0.0005)
        await asyncio.sleep(0.01)
        store.faults.down = True
        with pytest.raises(AcceptanceUnknown):
            await task
        store.faults.down = False
        assert (await acceptance.accept(proposal)).is_settled

    run_virtual(main())


def test_an_outage_before_anything_is_no_acceptance():
    async def main():
        store, acceptance, version = await make_started()
        store.faults.down = True
        with pytest.raises(StoreUnavailable):
            await acceptance.accept(propose(version, 3))
        store.faults.down = False
        assert (await acceptance.read()).version == version

    run_virtual(main())


def test_a_writer_that_dies_between_its_writes_loses_no_history():
    async def main():
        store, acceptance, version = await make_started()
        first = await acceptance.accept(propose(version, 3, "ada"))
        swaps = store.calls["swap"]
        task = asyncio.create_task(acceptance.accept(propose(first.version, 4, "bo")))
        while store.calls["swap"] < swaps + 1:
            await asyncio.sleep(0.0005)
        task.cancel()
        last = await acceptance.accept(propose(first.version, 5, "cy"))
        history = await acceptance.read_history(10)
        assert [x.version for x in history] == [last.version, first.version, version]
        assert [x.operator for x in history] == ["cy", "ada", ""]

    run_virtual(main())


def test_a_document_over_the_stores_bound_is_refused_before_any_write():
    async def main():
        store, acceptance, version = await make_started()
        tokens = [f"{number * 7919**15 % 16**64:064x}" for number in range(40_000)]
        document = make_small(accounts__schools__token_hashes=tokens)
        store.calls.clear()
        with pytest.raises(DocumentError, match="bytes"):
            await acceptance.accept(Proposal(version, document, "ada", make_writer()))
        assert store.calls["swap"] == 0

    run_virtual(main())


STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["change", "again"]),
        st.integers(0, 2),
    ),
    min_size=1,
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=40)
@given(STEPS)
def test_no_accepted_change_is_lost_or_doubled(steps):
    """Operators with stale pages and lost answers, in any order."""

    async def main():
        store, acceptance, version = await make_started()
        seen = [version] * 3
        sent = [None] * 3
        accepted = {version: 2.0}
        for number, (operator, what, drops) in enumerate(steps):
            store.faults.drop_answers = drops
            if what == "change" or sent[operator] is None:
                sent[operator] = propose(seen[operator], 5 + number, f"o-{operator}")
            proposal = sent[operator]
            try:
                answer = await acceptance.accept(proposal)
                deadline = proposal.document.routes["notice"].deadline
                assert accepted.setdefault(answer.version, deadline) == deadline
                seen[operator] = answer.version
            except VersionConflict as exc:
                assert proposal.writer not in {x.writer for x in exc.since}
                seen[operator] = exc.current.version
            store.faults.drop_answers = 0
        current = await acceptance.read()
        assert current.version == max(accepted)
        assert current.record.routes["notice"].deadline == accepted[max(accepted)]
        history = await acceptance.read_history(100)
        assert [x.version for x in history] == sorted(accepted, reverse=True)

    run_virtual(main())


def make_entry(version, size=60):
    changes = tuple(
        Change(f"accounts.account-{i}.weight", "1.0", "9" * size) for i in range(8)
    )
    return HistoryEntry(version, version - 1, 1e9, "ada", f"{version:016x}", changes, 8)


def test_the_history_stays_below_a_megabyte_and_keeps_who_did_it():
    async def main():
        store = MemoryStore(latency=0, writes_per_s=UNLIMITED, reads_per_s=UNLIMITED)
        history = History(store)
        total = 600
        for number in range(total):
            await history.add(number, make_entry(number + 1))
        values = [len(x.value) for x in await store.scan(HISTORY_PREFIX)]
        assert max(values) <= SEGMENT_BYTES
        assert SEGMENTS * SEGMENT_BYTES <= 1 << 20
        entries = await history.read(total, total)
        assert [x.version for x in entries] == list(range(total, 0, -1))
        assert {x.total for x in entries} == {8}
        assert entries[0].changes and not entries[-1].changes
        assert {x.operator for x in entries} == {"ada"}

    run_virtual(main())


def test_a_segment_without_details_fits_whatever_the_names():
    largest = HistoryEntry(2**63, 2**63, 1.7e9, "o" * 63, "f" * 16, (), 2**31)
    assert len(msgspec.msgpack.encode(largest)) * SEGMENT_ENTRIES <= SEGMENT_BYTES


def test_the_oldest_segment_makes_room(monkeypatch):
    monkeypatch.setattr("lagoontide.configuration.history.SEGMENTS", 2)
    monkeypatch.setattr("lagoontide.configuration.history.SEGMENT_ENTRIES", 4)

    async def main():
        store = MemoryStore(latency=0, writes_per_s=UNLIMITED, reads_per_s=UNLIMITED)
        history = History(store)
        for number in range(10):
            await history.add(number, make_entry(number + 1))
            await history.add(number, make_entry(number + 1))
        entries = await history.read(10, 100)
        assert [x.version for x in entries] == [10, 9, 8, 7, 6, 5]
        assert len(await store.scan(HISTORY_PREFIX)) == 2

    run_virtual(main())


def test_processes_that_need_the_document_alone_read_a_record():
    async def main():
        store, acceptance, version = await make_started()
        await acceptance.accept(propose(version, 3))
        entry = await store.get(CONFIGURATION_KEY)
        from lagoontide.configuration.document import Document, decode_document

        document = decode_document(entry.value)
        assert type(document) is Document
        assert document == with_deadline(3)
        assert msgspec.structs.asdict(document).keys() == set(
            Document.__struct_fields__
        )

    run_virtual(main())
