"""Second attempts for late calls, on a virtual clock through real agents."""

import asyncio
import contextlib

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from lagoontide.bench.arm import make_arm
from lagoontide.bench.policies import find_tactics
from lagoontide.bench.virtual import run_virtual
from lagoontide.deployments import (
    load_deployment,
    make_account_token,
    make_sample_request,
)
from lagoontide.dispatch.pace import Budget, WorkPace
from lagoontide.entry.door import CallerRequest
from lagoontide.errors import RequestFailed
from lagoontide.standins.compute import compute_answer
from lagoontide.standins.faults import FaultOrder

DOCUMENT = load_deployment("swanreach")
ACCOUNT = DOCUMENT.accounts["reseller-metro"]
WARM_UP = 60


@contextlib.asynccontextmanager
async def deployment(policy="default"):
    arm = make_arm(DOCUMENT, find_tactics(policy), seed=1)
    follows = [asyncio.create_task(item.follow()) for item in arm.directories]
    await asyncio.sleep(5)
    yield arm
    for task in follows:
        task.cancel()
    for directory in arm.directories:
        directory.close()


async def ask(arm, route, mark, on_tokens=None, pause=0.0):
    await asyncio.sleep(pause)
    sample = make_sample_request(ACCOUNT, DOCUMENT.routes[route], mark)
    call = CallerRequest(
        route, make_account_token(ACCOUNT.name), msgspec.json.encode(sample.body)
    )
    answer = await arm.entries[0].serve(call, on_tokens)
    wanted = compute_answer(DOCUMENT, sample.route, sample.body)
    assert msgspec.json.encode(answer.fields) == msgspec.json.encode(wanted)
    return answer


async def warm_up(arm, route):
    await asyncio.gather(
        *(ask(arm, route, f"warm {n}", pause=n * 0.02) for n in range(WARM_UP))
    )


def stall(arm, names, stalled=True):
    for name in names:
        arm.targets[name].faults.apply(FaultOrder(stalled=stalled))


def attempts_of(answer, stage):
    report = next(item for item in answer.stages if item.stage == stage)
    return report.outcome.attempts


def test_a_stalled_generation_goes_on_elsewhere_and_is_cancelled_where_it_was():
    async def main():
        async with deployment() as arm:
            await warm_up(arm, "reseller-query")
            received = []
            asking = asyncio.create_task(
                ask(arm, "reseller-query", "x", lambda o, t: received.append((o, t)))
            )
            while not received:
                await asyncio.sleep(0.005)
            (busy,) = (
                n for n, a in arm.agents.items() if n[:5] == "model" and a.load.running
            )
            stall(arm, [busy])
            answer = await asking
            tries = attempts_of(answer, "draft")
            assert [item.outcome for item in tries] == ["Cancelled", "Done"]
            assert tries[0].target == busy != tries[1].target
            await asyncio.sleep(0.1)
            assert arm.agents[busy].load.running == 0
            tokens = [token for _, part in received for token in part]
            assert " ".join(tokens) == msgspec.json.decode(answer.fields["reply"])
            offsets = [offset for offset, _ in received]
            assert offsets == sorted(set(offsets))

    run_virtual(main())


def test_work_that_may_not_be_repeated_gets_no_second_attempt():
    async def main():
        async with deployment() as arm:
            await warm_up(arm, "issue-credit")
            credits = [name for name in arm.targets if name.startswith("credits")]
            stall(arm, credits)
            asking = [
                asyncio.create_task(ask(arm, "issue-credit", f"y {n}"))
                for n in range(8)
            ]
            await asyncio.sleep(1.0)
            stall(arm, credits, False)
            for answer in await asyncio.gather(*asking):
                assert len(attempts_of(answer, "issue")) == 1
            runs = [
                x.request for n in credits for x in arm.targets[n].ledger.executions
            ]
            assert len(runs) == len(set(runs)) == WARM_UP + 8

    run_virtual(main())


def test_work_that_waits_behind_a_stall_is_withdrawn_and_runs_once():
    async def main():
        async with deployment() as arm:
            await warm_up(arm, "issue-credit")
            stall(arm, ["credits-1"])
            asking = [
                asyncio.create_task(ask(arm, "issue-credit", f"z {n}", pause=n * 0.005))
                for n in range(120)
            ]
            ended = await asyncio.gather(*asking, return_exceptions=True)
            lost = [item for item in ended if isinstance(item, RequestFailed)]
            slots = DOCUMENT.services["credits"].slots
            # Only what had started there may end as unknown.
            assert len(lost) <= slots
            assert {item.outcome for item in lost} <= {"unknown"}
            assert len(lost) + sum(not isinstance(x, Exception) for x in ended) == 120

    run_virtual(main())


async def stall_who_runs(arm, service):
    """Stall the targets of a service that have work, as soon as one has."""
    names = [name for name in arm.targets if name.startswith(service)]
    while not any(arm.agents[name].load.running for name in names):
        await asyncio.sleep(0.001)
    stall(arm, [name for name in names if arm.agents[name].load.running])


def test_without_tail_cutting_the_stalled_call_is_lost():
    async def main():
        async with deployment("without-tail") as arm:
            await warm_up(arm, "reseller-query")
            asking = asyncio.create_task(ask(arm, "reseller-query", "x"))
            await stall_who_runs(arm, "rerankers")
            with pytest.raises(RequestFailed):
                await asking

    run_virtual(main())


def test_without_tail_cutting_a_stalled_generation_still_moves():
    async def main():
        async with deployment("without-tail") as arm:
            await warm_up(arm, "reseller-query")
            asking = asyncio.create_task(ask(arm, "reseller-query", "x"))
            await stall_who_runs(arm, "model")
            answer = await asking
            assert len(attempts_of(answer, "draft")) == 2

    run_virtual(main())


def time_of_a_stalled_generation(policy):
    async def main():
        async with deployment(policy) as arm:
            await warm_up(arm, "reseller-query")
            asking = asyncio.create_task(ask(arm, "reseller-query", "x"))
            await stall_who_runs(arm, "model")
            started = asyncio.get_running_loop().time()
            await asking
            return asyncio.get_running_loop().time() - started

    return run_virtual(main())


def test_a_stalled_generation_is_back_before_its_stall_is_certain():
    assert time_of_a_stalled_generation("without-tail") >= 1.0
    assert time_of_a_stalled_generation("default") <= 0.7


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.floats(0.01, 0.5), st.integers(1, 20), st.lists(st.booleans(), max_size=300))
def test_extra_work_stays_within_its_share(share, burst, events):
    budget = Budget(share, burst, burst)
    taken = earned = 0
    for is_success in events:
        if is_success:
            budget.earn()
            earned += 1
        else:
            taken += budget.take()
    assert taken <= burst + share * earned


def test_no_call_is_late_before_enough_is_known():
    pace = WorkPace()
    assert pace.hedge_after is None
    for _ in range(100):
        pace.note(0.1, 0.12)
    assert pace.hedge_after > 0.12
