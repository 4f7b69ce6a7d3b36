"""Pages, traces and snapshots: escaped, bounded and true to what they show."""

import asyncio
import random

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from lagoontide.configuration.holder import Holder
from lagoontide.errors import StoreUnavailable, UsageError
from lagoontide.report import commands
from lagoontide.report.html import render
from lagoontide.report.messages import EntryReport, Objectives, Point, Snapshot, Span
from lagoontide.report.reporter import Reporter
from lagoontide.report.shrink import MAX_SNAPSHOT_BYTES
from lagoontide.report.snapshots import (
    KEPT_S,
    SnapshotWriter,
    read_snapshots,
    to_report,
)
from lagoontide.report.summary import summarize
from lagoontide.report.tally import Result, Tally
from lagoontide.report.text import format_burn, format_trace
from lagoontide.report.trace import MAX_BAD, TraceRing
from lagoontide.report.window import AttemptKey, RequestKey, Window
from lagoontide.standins.store import MemoryStore
from tests.report.stories import make_stage, make_story
from tests.support.virtual import run_virtual

hostile = st.text(min_size=1, max_size=20).map(lambda x: f"<script>{x}\x1b[2J&\"'")


@settings(derandomize=True, deadline=None, max_examples=25)
@given(hostile, hostile)
def test_hostile_names_are_escaped(route, account):
    window = Window()
    window.tally(RequestKey(route, account)).merge(Tally(good=1, failed=9))
    window.attempt(AttemptKey(route, account, route, account)).spent += 9
    data = window.to_data()
    points = (Point(route, 30.0, 60.0, Tally(failed=9)),)
    span = Span(300.0, data)
    entry = EntryReport(account, "i", "d", 9.0, Objectives(), (span,), points)
    report = summarize([entry], [], 300.0)
    page = render(report, refresh=5)
    assert "<script" not in page and "&lt;script" in page
    assert "\x1b" not in format_burn(report)


def test_an_empty_page_has_no_data_and_loads_nothing():
    page = render(summarize([], [], 300.0))
    assert "no data" in page and "Empty" in page
    assert "http-equiv" not in page and "src=" not in page and "href=" not in page


def test_a_flood_of_refusals_does_not_push_out_a_failure():
    ring = TraceRing("entry-1")
    ring.take(make_story("failed", request="kept"), Result.FAILED)
    for number in range(2000):
        ring.take(make_story("refused", request=f"x{number}"), Result.REFUSED)
        ring.take(make_story(request=f"y{number}"), Result.GOOD)
    assert ring.find("kept").result == "failed"
    assert ring.find("x0") is None
    assert len(ring.list()) < MAX_BAD


def test_a_trace_tells_attempts_waits_and_time_left():
    ring = TraceRing("entry-1")
    stage = make_stage("draft", 99.5, ("m-1", "Unknown", 0.3), ("m-2", "Done", 0.1))
    ring.take(make_story(elapsed=2.0, at=100.0, stages=(stage,)), Result.GOOD)
    trace = ring.find("r1")
    assert [x.target for x in trace.stages[0].attempts] == ["m-1", "m-2"]
    assert trace.stages[0].started == pytest.approx(1.5)
    assert not trace.stages[0].attempts[1].beside
    text = format_trace(trace)
    assert "queued 0.010 s, ran 0.020 s" in text and "m-1: Unknown" in text


def make_reporter(name="entry-1"):
    async def run(work, *arguments):
        return work(*arguments)

    return Reporter(name, "malaga", Holder(), lambda target: "malaga", run=run)


def test_a_snapshot_outlives_its_entry_and_a_store_that_fails():
    async def run():
        store = MemoryStore()
        reporter = make_reporter()
        writer = SnapshotWriter(store, reporter, random.Random(1))
        reporter.take(make_story(at=1.0))
        assert await writer.write()
        store.faults.down = True
        assert not await writer.write()
        with pytest.raises(StoreUnavailable):
            await read_snapshots(store)
        store.faults.down = False
        reporter.take(make_story("unknown", at=2.0))
        assert await writer.write()
        (snapshot,) = await read_snapshots(store)
        # A reader's clock that runs behind gives no negative age.
        behind = to_report(snapshot, (300.0,), snapshot.written - 1e6)
        later = to_report(snapshot, (300.0, 21600.0), snapshot.written + 3600.0)
        return behind, later

    behind, later = run_virtual(run())
    assert behind.age > 0
    assert behind.spans[0].data.requests[0].tally.total == 2
    assert later.spans[0].data.requests == ()
    assert later.spans[1].data.requests[0].tally.unknown == 1


def test_a_snapshot_goes_with_its_lease():
    async def run():
        store = MemoryStore()
        await SnapshotWriter(store, make_reporter(), random.Random(1)).write()
        await asyncio.sleep(KEPT_S + 1)
        return await read_snapshots(store)

    assert run_virtual(run()) == []


def test_a_large_snapshot_is_reduced_to_its_bound_and_says_so():
    async def run():
        reporter = make_reporter()
        for number in range(6000):
            reporter.take(make_story(at=number / 2.0, account=f"account-{number}"))
        return await reporter.snapshot()

    data = run_virtual(run())
    small = msgspec.msgpack.decode(data, type=Snapshot)
    assert len(data) <= MAX_SNAPSHOT_BYTES and small.reduced
    counted = sum(row.tally.good for slot in small.slots for row in slot.data.requests)
    assert counted == 6000


@pytest.mark.parametrize(
    ("call", "value"),
    [
        (commands.parse_entries, ""),
        (commands.parse_entries, "10.0.0.1:80,nonsense"),
        (commands.parse_window, "7h"),
        (commands.parse_window, "soon"),
        (commands.check_request, "../x"),
        (commands.check_timeout, -1.0),
        (commands.read_body, "@/no/such/file"),
    ],
)
def test_wrong_input_is_named_in_the_error(call, value):
    with pytest.raises(UsageError) as info:
        call(value)
    assert str(value).removeprefix("@").rpartition(",")[2] in str(info.value)
