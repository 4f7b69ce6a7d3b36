"""Whatever fails: nothing reverts, and what was accepted comes into force."""

import asyncio

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from loguru import logger

from lagoontide.bench.virtual import VirtualLoop
from tests.spreading.cluster import Cluster

DOMAINS = 3
PER_DOMAIN = 4
HEALED_S = 60
NODES = st.integers(0, DOMAINS * PER_DOMAIN - 1)


class Spreading(RuleBasedStateMachine):
    """Changes, outages, splits, pauses, replacements and lost messages."""

    def __init__(self):
        super().__init__()
        logger.disable("lagoontide")
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.cluster = None

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        async def start():
            self.cluster = Cluster(DOMAINS, PER_DOMAIN, seed=seed)
            await self.cluster.publish()

        self.run(start())

    def node(self, number):
        nodes = list(self.cluster.nodes.values())
        return nodes[number % len(nodes)]

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 25.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule()
    def accept(self):
        if not self.cluster.store.faults.down:
            self.run(self.cluster.publish())

    @rule(down=st.booleans())
    def toggle_store(self, down):
        self.cluster.store.faults.down = down

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def get_old_answers(self, seconds):
        self.cluster.is_old = True
        self.run(asyncio.sleep(seconds))
        self.cluster.is_old = False

    @rule(drop=st.sampled_from([0.0, 0.3, 0.9]), double=st.sampled_from([0.0, 0.5]))
    def change_weather(self, drop, double):
        self.cluster.network.weather.drop = drop
        self.cluster.network.weather.double = double

    @rule(domain=st.integers(0, DOMAINS - 1))
    def split(self, domain):
        self.cluster.split(f"domain-{domain}")

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(number=NODES)
    def pause(self, number):
        self.node(number).gate.clear()

    @rule(number=NODES)
    def go_on(self, number):
        self.node(number).gate.set()

    @rule(number=NODES)
    def replace(self, number):
        async def replace():
            self.cluster.replace(self.node(number).address)

        self.run(replace())

    @invariant()
    def nothing_reverts(self):
        if self.cluster is not None:
            self.cluster.check_never_reverted()

    def teardown(self):
        if self.cluster is not None:
            self.run(self.finish())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()
        logger.enable("lagoontide")

    async def finish(self):
        self.cluster.heal()
        self.cluster.store.faults.down = False
        newest = self.cluster.accepted[-1].version
        await self.cluster.wait_in_force(newest, HEALED_S)
        self.cluster.check_never_reverted()
        self.cluster.close()


def test_nothing_reverts_and_all_comes_into_force():
    run_state_machine_as_test(
        Spreading,
        settings=settings(
            derandomize=True, deadline=None, max_examples=40, stateful_step_count=25
        ),
    )
