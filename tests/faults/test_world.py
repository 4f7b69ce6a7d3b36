"""Promises hold under seeded faults, and the checker sees when they do not."""

import asyncio

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)
from loguru import logger

from tests.faults.drive import OF_AGENTS, OF_CLAIMS, act, drive, seeded_ids
from tests.faults.variants import NoConfirmation, NoIncarnation, NoTombstone
from tests.faults.world import World
from tests.support.virtual import VirtualLoop, close_loop

# Seeds under which the first version of the streams lost tokens.
FOUND = (5, 7, 8, 11)
FRESH = (101, 102, 103)
VARIANT_SEEDS = 40


@pytest.fixture(autouse=True)
def quiet():
    logger.remove()


@pytest.mark.parametrize("seed", FOUND + FRESH)
def test_promises_hold(seed):
    world = drive(seed, steps=60 if seed in FOUND else 30)
    assert world.check() == []
    done = sum(found.get("done", 0) for found in world.summary().values())
    assert done > len(world.results) / 2


@pytest.mark.parametrize(
    "parts",
    (
        {"make_agent": NoTombstone, "faults": OF_AGENTS},
        {"make_agent": NoIncarnation, "faults": OF_AGENTS},
        {"make_claims": NoConfirmation, "faults": OF_CLAIMS},
    ),
    ids=("tombstone", "incarnation", "confirmation"),
)
def test_checker_sees_a_missing_safeguard(parts):
    seeds = range(VARIANT_SEEDS)
    assert any(drive(seed, steps=20, **parts).check() for seed in seeds)


class Promises(RuleBasedStateMachine):
    """Callers and faults in any order that hypothesis thinks of."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.world = None
        self.ids = None

    @initialize(seed=st.integers(0, 1 << 16))
    def start(self, seed):
        self.ids = seeded_ids(seed)
        self.ids.start()

        async def make():
            self.world = World(seed)
            await asyncio.sleep(2.0)

        self.loop.run_until_complete(make())

    def run(self, seconds, *steps):
        async def go():
            for step in steps:
                step()
            await asyncio.sleep(seconds)

        self.loop.run_until_complete(go())

    @precondition(lambda self: self.world)
    @rule(route=st.sampled_from(("issue", "draft")), keyed=st.booleans())
    def ask(self, route, keyed):
        world = self.world
        key = f"key-{world.started}" if keyed else ""
        self.run(0.0, lambda: world.submit(route, key))

    @precondition(lambda self: self.world)
    @rule()
    def fault(self):
        self.run(0.0, lambda: act(self.world, self.world.rng))

    @precondition(lambda self: self.world)
    @rule(seconds=st.sampled_from((0.001, 0.02, 0.3, 1.0)))
    def wait(self, seconds):
        self.run(seconds)

    def teardown(self):
        if self.world is not None:
            self.loop.run_until_complete(self.world.finish())
            broken = self.world.check()
        close_loop(self.loop)
        asyncio.set_event_loop(None)
        if self.world is not None:
            self.ids.stop()
            assert broken == []


Promises.TestCase.settings = settings(
    max_examples=8,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestPromises = Promises.TestCase
