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
