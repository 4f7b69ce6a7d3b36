"""Admission of requests with stages, under the load that each test name states."""

import asyncio
from types import SimpleNamespace

import pytest

from lagoontide.forward.call import Call
from lagoontide.forward.fields import RequestMetadata
from lagoontide.forward.inputs import InputsFailed
from lagoontide.pieces.calibration import Calibration
from lagoontide.pieces.demand import Demand, Need
from lagoontide.pieces.inputs import MAX_RENEWALS, StageInputs
from lagoontide.pieces.messages import OrderDone
from lagoontide.pieces.records import Failure
from lagoontide.routes.records import Account, Route, RouteKind, Service, Stage
from tests.pieces.examples import WORK
from tests.support.waiting import wait_for

DISPATCHER = SimpleNamespace(target_equivalents=lambda service: 2)
ONE_STAGE = (Stage("s"),)


def make_inputs(
    demand,
    priority,
    account_priority,
    calibration=None,
    dispatcher=DISPATCHER,
    stages=ONE_STAGE,
):
    loop = asyncio.get_running_loop()
    now = loop.time()
    route = Route(
        name=f"priority-{priority}",
        host="a.example",
        prefix="/",
        kind=RouteKind.STREAM,
        shares=(),
        timeout=10.0,
        objective=2.0,
        priority=priority,
        stages=stages,
    )
    call = Call(
        request=None,
        metadata=RequestMetadata("r", piece_counts=(4,) * len(stages)),
        route=route,
        service="engine",
        account=Account("first", frozenset(), account_priority),
        deadline=now + 10.0,
        objective_at=now + 2.0,
    )
    service = Service("s", piece_settings=WORK)
    calibration = calibration or Calibration(loop.time)
    return StageInputs(
        dispatcher, demand, calibration, call, lambda name: service, lambda: "z"
    )


def admit_until_refused(demand, priority, account_priority):
    """Return the number of requests that are admitted before the first refusal."""
    for admitted in range(100):
        try:
            make_inputs(demand, priority, account_priority).admit()
        except InputsFailed:
            return admitted
    return 100


@pytest.mark.parametrize("account_priority", [None, 1])
def test_overload_of_less_urgent_work_leaves_capacity_for_more_urgent(account_priority):
    async def main():
        demand = Demand(asyncio.get_running_loop().time)
        assert admit_until_refused(demand, 3, account_priority) > 1
        assert admit_until_refused(demand, 0, account_priority) > 3

    asyncio.run(main())


def test_overload_ranks_account_priority_before_route_priority():
    async def main():
        demand = Demand(asyncio.get_running_loop().time)
        assert admit_until_refused(demand, 0, 2) > 1
        assert admit_until_refused(demand, 9, 1) > 3

    asyncio.run(main())


def test_overload_of_less_urgent_work_hardly_reduces_more_urgent_work():
    async def main():
        alone = Demand(asyncio.get_running_loop().time)
        most = admit_until_refused(alone, 0, 1)
        demand = Demand(asyncio.get_running_loop().time)
        admit_until_refused(demand, 3, 1)
        # More urgent work may be served at most 5 % less often than less urgent work
        # (RULES, Prices). One more request is the last one that did not fit.
        assert admit_until_refused(demand, 0, 1) >= 0.95 * most - 1

    asyncio.run(main())


def test_overload_is_logged_with_the_service_of_the_longest_wait():
    async def main():
        demand = Demand(asyncio.get_running_loop().time)
        demand.add(Need("s", 0, 50.0))
        inputs = make_inputs(demand, 0, None)
        with pytest.raises(InputsFailed):
            inputs.admit()
        return inputs

    inputs = asyncio.run(main())
    assert "s at s, own share" in inputs._call.choices[0]


def test_burst_ends_when_requests_admitted_as_late_beat_the_forecast():
    """Otherwise all are admitted as late, and no observation ends the burst."""

    async def make(order):
        return OrderDone(tuple("abcd"))

    async def main():
        loop = asyncio.get_running_loop()
        calibration = Calibration(loop.time)
        for _ in range(100):
            calibration.observe(1.0, 2.5)
        before = calibration.factor
        demand = Demand(loop.time)
        demand.add(Need("s", 0, 0.9))
        dispatcher = SimpleNamespace(
            target_equivalents=DISPATCHER.target_equivalents, make=make
        )
        inputs = make_inputs(demand, 0, None, calibration, dispatcher)
        inputs.admit()
        assert inputs._call.choices[0].startswith("late")
        await inputs.ready()
        return before, calibration.factor

    before, after = asyncio.run(main())
    assert after < before


# Guards against streams that end early as their engine is silent and the inputs of
# another one fail to be made (LOST).
def test_failed_preparation_is_repeated_and_ends_nothing():
    replies = [OrderDone(failure=Failure.ERROR), OrderDone(tuple("abcd"))]

    async def make(order):
        return replies.pop(0)

    async def main():
        demand = Demand(asyncio.get_running_loop().time)
        dispatcher = SimpleNamespace(
            target_equivalents=lambda service: 2, make=make, domain_of=lambda item: "z"
        )
        inputs = make_inputs(demand, 0, None, dispatcher=dispatcher)
        inputs.admit()
        assert not inputs.prepare()
        await wait_for(inputs.prepare)
        assert await inputs.ready() == tuple("abcd")
        assert replies == []

    asyncio.run(main())


def test_preparation_that_goes_on_failing_is_given_up():
    calls = []

    async def make(order):
        calls.append(order)
        return OrderDone(failure=Failure.ERROR)

    async def main():
        demand = Demand(asyncio.get_running_loop().time)
        dispatcher = SimpleNamespace(target_equivalents=lambda service: 2, make=make)
        inputs = make_inputs(demand, 0, None, dispatcher=dispatcher)
        for _ in range(10 * MAX_RENEWALS):
            assert not inputs.prepare()
            await asyncio.sleep(0)
        assert len(calls) == 1 + MAX_RENEWALS
        # Once the engine is lost, there is nothing to stay for.
        with pytest.raises(InputsFailed):
            await inputs.ready()
        assert len(calls) == 2 + MAX_RENEWALS

    asyncio.run(main())


FORK = (Stage("s"), Stage("s", after=(0,)), Stage("s", after=(0,)))


class LosingDispatcher:
    """Makes results; those of the first stage are lost a number of times."""

    def __init__(self, losses, seconds):
        self.made = []
        self.lost = set()
        self.freed = set()
        self._losses = losses
        self._seconds = seconds

    def target_equivalents(self, service):
        return 2

    def domain_of(self, handle):
        return "z"

    async def make(self, order):
        await asyncio.sleep(self._seconds[order.stage])
        if self.lost & set(order.inputs):
            return OrderDone(failure=Failure.INPUT_GONE)
        handles = tuple(f"{order.stage}-{len(self.made)}-{n}" for n in range(4))
        self.made.append(order.stage)
        if order.stage == 0 and self._losses:
            self._losses -= 1
            self.lost.update(handles)
        return OrderDone(handles)

    async def free(self, handles):
        self.freed.update(handles)


async def make_fork(losses, seconds):
    dispatcher = LosingDispatcher(losses, seconds)
    demand = Demand(asyncio.get_running_loop().time)
    inputs = make_inputs(demand, 0, None, dispatcher=dispatcher, stages=FORK)
    inputs.admit()
    try:
        return dispatcher.made, await inputs.ready()
    finally:
        inputs.close()


# Guards against requests that fail as two of their stages find the same input lost, and
# the second one cancels the renewal that the first one waits for (LOST).
@pytest.mark.parametrize("later", [0.0, 0.01])
@pytest.mark.parametrize("losses", [1, MAX_RENEWALS])
def test_input_that_two_stages_find_lost_is_made_again_once(losses, later):
    async def main():
        seconds = (0.05, 0.01, 0.01 + later)
        made, handles = await make_fork(losses, seconds)
        assert sorted(made) == [0] * (1 + losses) + [1, 2]
        assert len(handles) == 8

    asyncio.run(main())


# Guards against stages that are repeated without end.
def test_input_that_two_stages_go_on_finding_lost_is_given_up():
    async def main():
        with pytest.raises(InputsFailed, match="input gone"):
            await make_fork(MAX_RENEWALS + 1, (0.05, 0.01, 0.01))

    asyncio.run(main())
