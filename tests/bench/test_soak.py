"""Entries under faults of every kind, and a checker that finds missing guards."""

import asyncio
import re
from dataclasses import replace

import pytest

from lagoontide.bench.soak import checker
from lagoontide.bench.soak.checker import check
from lagoontide.bench.soak.inside import soak_inside
from lagoontide.bench.soak.records import EVENTS, KINDS, Asked, Work
from lagoontide.errors import TargetFailed
from lagoontide.forward import forwarder, selection
from lagoontide.forward.attempt import TargetResponse
from lagoontide.forward.call import Call
from lagoontide.forward.fields import ResponseMetadata
from lagoontide.forward.outcome import NotRun, SendTracker
from lagoontide.platform import fields
from lagoontide.platform.fields import PlatformFieldCodec
from lagoontide.targets.directory import Directory
from lagoontide.targets.pauses import Pauses
from lagoontide.targets.rate_shares import RateShares

SECONDS = 3.0
# Of the calm requests at the end nearly all are served; a stop of the test's own
# machine may cost one.
SERVED_AFTER = 0.9
# Each variant shows in about one seed of three; the first that shows it ends the test.
SEEDS = range(10, 40)


@pytest.mark.parametrize("seed", [1, 2])
def test_promises_hold_under_faults(seed):
    result = asyncio.run(soak_inside(seed, SECONDS))
    assert result.violations == []
    assert result.faults > 3
    assert result.requests > 50
    assert result.served_after >= SERVED_AFTER


# Two versions serve side by side while the older leaves; streams are taken up again.
def test_promises_hold_beside_releases():
    result = asyncio.run(soak_inside(3, SECONDS, has_releases=True))
    assert result.violations == []
    assert result.taken_up > 0
    assert result.served_after >= SERVED_AFTER


# Sound targets that fall silent and configurations that change excuse no request.
def test_no_request_is_lost_beside_silences():
    result = asyncio.run(soak_inside(4, 0.5, silent_s=SECONDS))
    assert result.violations == []
    assert result.taken_up > 0


def _claim_not_run(patch):
    patch.setattr(
        SendTracker,
        "failure_outcome",
        lambda self, why, after=None, is_timeout=False: NotRun(why),
    )


def _repeat_everything(patch):
    patch.setattr(Call, "can_retry", lambda self, after=0: self.attempts + after < 3)


def _believe_any_answer(patch):
    read = PlatformFieldCodec.decode_response

    def decode_response(self, head):
        metadata = read(self, head)
        return ResponseMetadata(
            metadata.request_id, metadata.has_not_run, is_sealed=True
        )

    patch.setattr(PlatformFieldCodec, "decode_response", decode_response)


def _use_leaving_targets(patch):
    def ready(self, service):
        return tuple(item for item in self.all() if item.service == service)

    patch.setattr(Directory, "ready", ready)
    patch.setattr(
        Directory,
        "is_accepting_work",
        lambda self, target: self.get(target.id) is not None,
    )
    # The bound is longer than a run of this test; nothing else is checked here.
    patch.setattr(checker, "LEAVING_S", 0.5)


def _ignore_rate_limits(patch):
    patch.setattr(RateShares, "wait", lambda self, target: 0.0)
    patch.setattr(RateShares, "take", lambda self, target: True)


def _ignore_pauses(patch):
    patch.setattr(Pauses, "observe", lambda self, target, seconds, source: None)


def _ignore_leaving_answers(patch):
    patch.setattr(fields, "decode_leaving", lambda fields: False)


@pytest.mark.parametrize(
    ("take_out", "rule"),
    [
        (_claim_not_run, "REFUSED"),
        (_believe_any_answer, "MIXED"),
        (_repeat_everything, "TWICE"),
        (_use_leaving_targets, "DRAIN.* after it left"),
        (_ignore_rate_limits, "LIMIT"),
        (_ignore_pauses, "BUDGET.* paused"),
        (_ignore_leaving_answers, "DRAIN.* after it said"),
    ],
)
def test_the_checker_finds_a_guard_that_is_taken_out(monkeypatch, take_out, rule):
    take_out(monkeypatch)
    for seed in SEEDS:
        violations = asyncio.run(soak_inside(seed, SECONDS)).violations
        if any(re.match(rule, line) for line in violations):
            return
    pytest.fail(f"no {rule} found in {len(SEEDS)} seeds")


def _end_silent_answers(patch):
    read = TargetResponse.body

    async def body(self, max_bytes=None):
        chunks = read(self, max_bytes)
        while True:
            try:
                async with asyncio.timeout(0.25):
                    chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            except TimeoutError:
                raise TargetFailed("silent", step="body", peer=self.target.id) from None
            yield chunk

    patch.setattr(TargetResponse, "body", body)


def test_the_checker_finds_answers_that_end_as_their_target_is_silent(monkeypatch):
    _end_silent_answers(monkeypatch)
    for seed in SEEDS:
        result = asyncio.run(soak_inside(seed, 0.5, silent_s=SECONDS))
        if any(line.startswith("LOST") for line in result.violations):
            return
    pytest.fail(f"no LOST found in {len(SEEDS)} seeds")


STREAM = next(kind for kind in KINDS if kind.work is Work.STREAM and not kind.inputs)


@pytest.mark.parametrize("ids", [(1, 2, 3, 3, 4, 5, 6), (1, 2, 4, 5, 6), (2, 1)])
def test_the_checker_finds_a_stream_joined_with_a_gap_or_a_double(ids):
    body = b"".join(b"id: %d\ndata: x\n\n" % number for number in ids)
    joined = Asked("r", STREAM, "key", 0.0, 200, body, is_sealed=True, is_whole=True)
    whole = replace(
        joined, body=b"".join(b"id: %d\n\n" % n for n in range(1, EVENTS + 1))
    )
    assert check([whole], [], checker.Changes()) == []
    assert [line[:5] for line in check([joined], [], checker.Changes())] == ["ORDER"]


def test_the_checker_finds_a_stream_that_ends_as_whole_within_an_event():
    body = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, EVENTS + 1))
    item = Asked("r", STREAM, "key", 0.0, 200, body, is_sealed=True, is_whole=True)
    assert check([item], [], checker.Changes()) == []
    cut = replace(item, body=body + b"id: 7\nda")
    assert [line[:5] for line in check([cut], [], checker.Changes())] == ["ORDER"]


def test_the_checker_finds_a_stream_of_two_versions():
    body = b"".join(
        b"id: %d\ndata: v%d token %d\n\n" % (n, 1 + (n > 3), n)
        for n in range(1, EVENTS + 1)
    )
    joined = Asked("r", STREAM, "key", 0.0, 200, body, is_sealed=True, is_whole=True)
    found = check([joined], [], checker.Changes())
    assert [line[:5] for line in found] == ["ORDER"]
    whole = replace(joined, body=body.replace(b"v2", b"v1"))
    assert check([whole], [], checker.Changes()) == []


@pytest.mark.parametrize(
    ("ids", "version"), [((4, 5, 6), "v2"), ((5, 6), "v1"), ((3, 4, 5, 6), "v1")]
)
def test_the_checker_joins_the_attempts_of_a_caller_at_a_stream(ids, version):
    def body(numbers, name):
        return b"".join(
            b"id: %d\ndata: %s token %d\n\n" % (n, name.encode(), n) for n in numbers
        )

    begun = body((1, 2, 3), "v1") + b"id: 4\nda"
    first = Asked("r", STREAM, "key", 0.0, 200, begun, is_sealed=True)
    refused = Asked("s", STREAM, "key", 0.0, 503, resumes="r", last_event=3)
    last = replace(refused, id="t", status=200, body=body(ids, version), is_sealed=True)
    last.is_whole = True
    found = check([first, refused, last], [], checker.Changes())
    assert [line[:5] for line in found] == ["ORDER"]
    last.body = body((4, 5, 6), "v1")
    assert check([first, refused, last], [], checker.Changes()) == []


def _join_any_versions(patch):
    async def fix_version(state, call, rng):
        return None

    patch.setattr(forwarder, "fix_version", fix_version)
    patch.setattr(
        selection,
        "ready_targets",
        lambda state, call: state.directory.ready(call.service),
    )


def test_the_checker_finds_streams_joined_from_two_versions(monkeypatch):
    _join_any_versions(monkeypatch)
    for seed in SEEDS:
        result = asyncio.run(soak_inside(seed, SECONDS, changes_versions=True))
        if any("events of versions" in line for line in result.violations):
            return
    pytest.fail(f"no joined stream found in {len(SEEDS)} seeds")


# What a stream is joined from shows only with targets of several versions.
@pytest.mark.parametrize("seed", [1, 2])
def test_streams_are_not_joined_as_targets_change_versions(seed):
    result = asyncio.run(soak_inside(seed, SECONDS, changes_versions=True))
    assert result.violations == []
