"""Which requests with stages are begun; each test is named for the load it answers."""

import asyncio
from types import SimpleNamespace

import pytest

from lagoontide.forward.call import Call
from lagoontide.forward.fields import Asked
from lagoontide.forward.inputs import InputsFailed
from lagoontide.pieces.calibration import Calibration
from lagoontide.pieces.demand import Demand, Need
from lagoontide.pieces.inputs import StageInputs
from lagoontide.pieces.messages import OrderDone
from lagoontide.routes.records import Account, Kind, Route, Service, Stage
from tests.pieces.examples import WORK

DESK = SimpleNamespace(targets=lambda service: ("a", "b"))


def make_inputs(demand, priority, account_priority, calibration=None, desk=DESK):
    loop = asyncio.get_running_loop()
    now = loop.time()
    route = Route(
        name=f"priority-{priority}",
        host="a.example",
        prefix="/",
        kind=Kind.STREAM,
        shares=(),
        timeout=10.0,
        objective=2.0,
        priority=priority,
        stages=(Stage("s"),),
    )
    call = Call(
        request=None,
        asked=Asked("r", piece_counts=(4,)),
        route=route,
        service="engine",
        account=Account("first", frozenset(), account_priority),
        ends_at=now + 10.0,
        objective_at=now + 2.0,
    )
    service = Service("s", piece_work=WORK)
    calibration = calibration or Calibration(loop.time)
    return StageInputs(
        desk, demand, calibration, call, lambda name: service, lambda: "z"
    )


def begin_until_refused(demand, priority, account_priority):
    """Return how many requests are begun before one is asked to come back."""
    for begun in range(100):
        try:
            make_inputs(demand, priority, account_priority).admit()
        except InputsFailed:
            return begun
    return 100


@pytest.mark.parametrize("account_priority", [None, 1])
def test_overload_of_less_urgent_work_leaves_room_for_the_more_urgent(account_priority):
    async def main():
        demand = Demand(asyncio.get_running_loop().time)
        assert begin_until_refused(demand, 3, account_priority) > 1
        assert begin_until_refused(demand, 0, account_priority) > 3

    asyncio.run(main())


def test_overload_by_an_urgent_account_goes_before_an_urgent_route():
    async def main():
        demand = Demand(asyncio.get_running_loop().time)
        assert begin_until_refused(demand, 0, 2) > 1
        assert begin_until_refused(demand, 9, 1) > 3

    asyncio.run(main())


def test_overload_of_less_urgent_work_costs_the_more_urgent_little_room():
    async def main():
        alone = Demand(asyncio.get_running_loop().time)
        most = begin_until_refused(alone, 0, 1)
        demand = Demand(asyncio.get_running_loop().time)
        begin_until_refused(demand, 3, 1)
        # A kind may be served less often than a less urgent one by 5 in 100 at most
        # (RULES, Prices); one request more is the last that did not fit.
        assert begin_until_refused(demand, 0, 1) >= 0.95 * most - 1

    asyncio.run(main())


def test_overload_is_told_with_the_stage_at_which_a_request_would_wait():
    async def main():
        demand = Demand(asyncio.get_running_loop().time)
        demand.add(Need("s", 0, 50.0))
        inputs = make_inputs(demand, 0, None)
        with pytest.raises(InputsFailed):
            inputs.admit()
        return inputs

    inputs = asyncio.run(main())
    assert "s at s, own share" in inputs._call.choices[0]


def test_burst_is_over_as_soon_as_requests_begun_behind_others_are_made_in_time():
    """Else all are begun behind others, and none tells that the burst is over."""

    async def make(order):
        return OrderDone(tuple("abcd"))

    async def main():
        loop = asyncio.get_running_loop()
        calibration = Calibration(loop.time)
        for _ in range(100):
            calibration.learn(1.0, 2.5)
        before = calibration.factor
        demand = Demand(loop.time)
        demand.add(Need("s", 0, 0.9))
        desk = SimpleNamespace(targets=DESK.targets, make=make)
        inputs = make_inputs(demand, 0, None, calibration, desk)
        inputs.admit()
        assert inputs._call.choices[0].startswith("late")
        await inputs.ready()
        return before, calibration.factor

    before, after = asyncio.run(main())
    assert after < before
