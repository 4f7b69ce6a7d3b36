"""Which requests beside silences and planned work count as lost."""

from dataclasses import replace

from lagoontide.bench.soak.records import KINDS, Asked
from lagoontide.bench.soak.silences import check_lost
from lagoontide.platform.standins.runs import Run
from lagoontide.platform.standins.targets import TargetStandin

STREAM = next(kind for kind in KINDS if kind.is_resumable)


# Streams whose callers broke off after some events counted as cut by their entry.
def test_a_stream_that_its_caller_broke_off_is_not_lost():
    target = TargetStandin("eng-0", "engine", events=6)
    target.log.append(Run("s0", 0.0, ()))
    item = Asked("s0", STREAM, "key", 0.0, 200, ended_at=0.03)
    assert [line[:4] for line in check_lost([item], [target], {})] == ["LOST"]
    broken = replace(item, has_broken_off=True)
    assert check_lost([broken], [target], {}) == []


# A stream that was taken up late ended at its deadline, before its route's timeout.
def test_a_stream_that_ends_at_its_deadline_is_not_lost():
    target = TargetStandin("eng-0", "engine", events=6)
    target.log.append(Run("s1", 0.0, ()))
    item = Asked("s1", STREAM, "key", 0.0, 200, ended_at=1.6, resumes="s0")
    early = replace(item, time_left=1.7)
    assert [line[:4] for line in check_lost([early], [target], {})] == ["LOST"]
    assert check_lost([replace(item, time_left=1.6)], [target], {}) == []
    at_timeout = replace(item, ended_at=2.0, time_left=4.0)
    assert check_lost([at_timeout], [target], {}) == []
