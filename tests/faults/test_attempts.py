"""The agent's record: nothing runs twice, nothing that ran is called not run."""

import asyncio
import random

import pytest

from lagoontide.agent.service import Agent
from lagoontide.configuration.document import Priority, ServiceKind
from lagoontide.dispatch.attempts import EPOCH_S, MAX_EPOCH_AGE, AttemptLog
from lagoontide.dispatch.messages import (
    Call,
    Cancel,
    Done,
    Failed,
    NotRun,
    Settle,
    Unknown,
    digest,
)
from lagoontide.membership.messages import Hello
from lagoontide.metrics import NoMetrics
from lagoontide.scheduling.load import Load
from lagoontide.standins.plain import PlainTarget
from lagoontide.standins.profiles import Profile
from tests.support.virtual import run_virtual

BODY = b"{}"


def make_agent(slots=1):
    target = PlainTarget(
        "t", ServiceKind.PLAIN, Profile(0.1, 0.0), slots, random.Random(1)
    )
    return Agent("a", "s", target, slots, NoMetrics()), target


def make_call(agent, attempt="r.s.0", epoch=0, body=BODY, **fields):
    values = {
        "budget": 3.0,
        "repeatable": False,
        "incarnation": agent.incarnation,
        "digest": digest(BODY),
    } | fields
    return Call(
        attempt=attempt,
        request="r",
        stage="s",
        operation="pay",
        account="x",
        weight=1.0,
        priority=Priority.NORMAL,
        streams=False,
        body=body,
        epoch=epoch,
        **values,
    )


async def ask(agent, message, peer="e"):
    replies = []

    async def send(reply):
        replies.append(reply)

    await agent.handle(peer, message, send)
    return replies[-1] if replies else None


def run(scenario, slots=1):
    async def main():
        agent, target = make_agent(slots)
        await scenario(agent, target)

    run_virtual(main())


def test_a_copy_that_comes_after_the_record_is_gone_does_not_run():
    async def scenario(agent, target):
        call = make_call(agent)
        assert isinstance(await ask(agent, call), Done)
        await asyncio.sleep(1000.0)
        # Another end lets go of the record that is too old.
        await ask(agent, make_call(agent, "r.s.1", agent.epoch))
        assert agent._log.get(call.attempt) is None
        assert isinstance(await ask(agent, call), Unknown)
        settle = Settle(call.attempt, agent.incarnation, call.epoch)
        assert isinstance(await ask(agent, settle), Unknown)
        assert target.ledger.count("r", "pay") == 2

    run(scenario)


def test_a_window_shorter_than_copies_may_live_is_refused():
    with pytest.raises(ValueError, match="run again"):
        AttemptLog((MAX_EPOCH_AGE + 1) * EPOCH_S, 1)


@pytest.mark.parametrize("first", (Settle, Cancel))
def test_a_question_that_overtakes_its_call_keeps_it_from_running(first):
    async def scenario(agent, target):
        call = make_call(agent)
        await ask(agent, first(call.attempt, agent.incarnation, call.epoch))
        assert isinstance(await ask(agent, call), NotRun)
        assert target.ledger.executions == []

    run(scenario)


def test_a_call_refused_once_is_refused_for_good():
    async def scenario(agent, target):
        call = make_call(agent)
        cut = make_call(agent, body=b"{")
        assert isinstance(await ask(agent, cut), NotRun)
        assert isinstance(await ask(agent, call), NotRun)
        assert target.ledger.executions == []

    run(scenario)


def test_results_that_may_not_be_repeated_outlast_the_bytes():
    async def scenario():
        log = AttemptLog(200.0, 100)
        once = log.add("once", repeatable=False)
        log.end(once, Done("once", b"x" * 90, 0, Load()), 0.0)
        for number in range(9):
            often = log.add(f"often-{number}")
            log.end(often, Done(often.attempt, b"y" * 40, 0, Load()), 1.0)
        assert isinstance(log.get("once").final.result(), Done)
        assert isinstance(log.get("often-0").final.result(), Failed)
        assert log.kept_bytes <= 100
        assert not log.is_full
        log.evict(300.0)
        assert len(log) == 0
        assert log.kept_bytes == 0

    run_virtual(scenario())


def test_no_more_is_taken_on_than_results_can_be_kept():
    async def scenario(agent, target):
        agent._log = AttemptLog(200.0, 10)
        assert isinstance(await ask(agent, make_call(agent, "r.s.0")), Done)
        refused = await ask(agent, make_call(agent, "r.s.1"))
        assert isinstance(refused, NotRun)
        taken = await ask(agent, make_call(agent, "r.s.2", repeatable=True))
        assert isinstance(taken, Done)

    run(scenario)


def test_queued_work_of_a_dead_entry_is_dropped_and_running_work_is_kept():
    async def scenario(agent, target):
        await ask(agent, Hello("first"), "dead")
        target.faults.stalled = True
        running = asyncio.create_task(ask(agent, make_call(agent, "r.s.0"), "dead"))
        calls = [make_call(agent, f"r.s.{n}", budget=60.0) for n in (1, 2)]
        waiting = asyncio.create_task(ask(agent, calls[0], "dead"))
        await asyncio.sleep(4.0)
        await ask(agent, Hello("first"), "alive")
        other = asyncio.create_task(ask(agent, calls[1], "alive"))
        await asyncio.sleep(1.0)
        target.faults.stalled = False
        target.faults._changed.set()
        assert isinstance(await running, Done)
        assert (await waiting).reason == "entry gone"
        assert isinstance(await other, Done)
        settle = Settle("r.s.0", agent.incarnation)
        assert isinstance(await ask(agent, settle), Done)

    run(scenario)


def test_an_entry_started_anew_does_not_own_the_work_of_the_one_before():
    async def scenario(agent, target):
        await ask(agent, Hello("first"), "e")
        tasks = [
            asyncio.create_task(ask(agent, make_call(agent, f"r.s.{n}")))
            for n in range(2)
        ]
        await asyncio.sleep(0.01)
        await ask(agent, Hello("second"), "e")
        replies = await asyncio.gather(*tasks)
        assert [type(reply) for reply in replies] == [Done, NotRun]

    run(scenario)
