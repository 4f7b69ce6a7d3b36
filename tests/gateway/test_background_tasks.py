"""Background tasks that raise what nobody expects."""

import asyncio
from itertools import pairwise

import pytest

from lagoontide.gateway.gateway import Gateway
from lagoontide.mesh.peers import Mesh
from lagoontide.mesh.registration import Registration
from lagoontide.origins.keeper import OriginKeeper
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.quarantine.keeper import Keeper
from lagoontide.store.follower import Follower
from lagoontide.supervision import Supervisor
from tests.support.virtual import run_virtual
from tests.support.waiting import wait_for

TASKS = {
    "follower": (Follower, "run"),
    "mesh": (Mesh, "run"),
    "registration": (Registration, "run"),
    "quarantine keeper": (Keeper, "run"),
    "origin keeper": (OriginKeeper, "run"),
    "sweep": (Gateway, "_sweep"),
}
FAILS_AFTER_S = 0.6


class Unexpected(Exception):
    """Raised by a background task."""


def make_failing(monkeypatch, owner, name, number):
    """Let a task raise after a while, the first ``number`` times that it runs."""
    original = getattr(owner, name)
    runs = []

    async def run(self):
        runs.append(self)
        if len(runs) > number:
            return await original(self)
        try:
            async with asyncio.timeout(FAILS_AFTER_S):
                await original(self)
        except TimeoutError:
            raise Unexpected from None

    monkeypatch.setattr(owner, name, run)


async def check_served(small, name, failures):
    gateway = small.gateways[0]
    await wait_for(lambda: gateway.supervisor.failures.get(name, 0) >= failures, 8.0)
    answer = await send(small.ports[0], "/safe/a", f"r{failures}")
    assert answer.status == 200
    assert gateway.is_ready


# Guards against entries that end, all at once, as a background task raises once.
@pytest.mark.parametrize("name", TASKS)
def test_task_that_raises_is_started_again(monkeypatch, name):
    async def main():
        make_failing(monkeypatch, *TASKS[name], number=1)
        async with start_deployment(1) as small:
            await check_served(small, name, 1)
            small.configure(2)
            await wait_for(lambda: small.gateways[0].state.route_table.version == 2)
            assert small.gateways[0].supervisor.failures == {name: 1}
            assert not any(task.done() for task in small._entries[0].tasks)

    asyncio.run(main())


# Guards against entries that end as a background task raises again and again.
@pytest.mark.parametrize("name", TASKS)
def test_entry_serves_while_a_task_raises_again_and_again(monkeypatch, name):
    async def main():
        make_failing(monkeypatch, *TASKS[name], number=1000)
        async with start_deployment(1) as small:
            for failures in (1, 2, 3):
                await check_served(small, name, failures)
            assert not any(task.done() for task in small._entries[0].tasks)

    asyncio.run(main())


# Guards against a step of the sweep that keeps all later ones from running.
def test_other_steps_of_the_sweep_run_though_one_raises(monkeypatch):
    async def main():
        async with start_deployment(1) as small:
            gateway, done = small.gateways[0], asyncio.Event()

            def fail():
                raise Unexpected

            monkeypatch.setattr(gateway.state.directory, "remove_expired", fail)
            monkeypatch.setattr(gateway.state.guard, "sweep", done.set)
            async with asyncio.timeout(3.0):
                await done.wait()

    asyncio.run(main())


def test_back_off_grows_to_its_bound_and_starts_anew_after_a_recovery():
    async def main():
        loop = asyncio.get_running_loop()
        supervisor, begins = Supervisor(), []

        async def work():
            begins.append(loop.time())
            if len(begins) == 8:
                await asyncio.sleep(60.0)
            if len(begins) < 10:
                raise Unexpected

        await supervisor.run("work", work)
        pauses = [after - before for before, after in pairwise(begins)]
        assert pauses[:6] == pytest.approx([0.25, 0.5, 1.0, 2.0, 4.0, 5.0])
        assert pauses[7:] == pytest.approx([60.25, 0.5])
        assert supervisor.failures == {"work": 9}

    run_virtual(main())
