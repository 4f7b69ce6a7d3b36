"""Requests that are refused as all targets are at their rate limits."""

from types import SimpleNamespace

import pytest

from lagoontide.forward import selection
from lagoontide.forward.call import Call
from lagoontide.forward.fields import RequestMetadata
from lagoontide.forward.selection import is_beyond_limits
from lagoontide.routes.records import Route, RouteKind, Stage

STAGES = (Stage("s"), Stage("s", (0,)))


def make_call(counts, stages):
    route = Route("r", "h", "/", RouteKind.ONCE, (), 10.0, 2.0, stages=stages)
    metadata = RequestMetadata("r1", piece_counts=counts)
    return Call(None, metadata, route, "s", None, 10.0, 2.0)


# Guards against requests that are refused although another entry lends them a turn, as
# their route has stages of which they have no pieces.
@pytest.mark.parametrize(
    ("counts", "stages", "is_refused"),
    [
        ((), (), False),
        ((2, 3), (), False),
        ((), STAGES, False),
        ((0, 0), STAGES, False),
        ((0, 3), STAGES, True),
        ((2, 3), STAGES, True),
    ],
)
def test_lent_turn_serves_requests_that_can_use_it_at_once(
    monkeypatch, counts, stages, is_refused
):
    monkeypatch.setattr(selection, "ready_targets", lambda state, call: ["t"])
    monkeypatch.setattr(selection, "_max_wait", lambda call: 0.5)
    state = SimpleNamespace(
        rate_limits=SimpleNamespace(pauses=SimpleNamespace(awake=lambda known: known)),
        rate_shares=SimpleNamespace(
            shortest_wait=lambda ready: 5.0, lender=lambda target: "entry-1"
        ),
    )
    assert is_beyond_limits(state, make_call(counts, stages)) is is_refused
