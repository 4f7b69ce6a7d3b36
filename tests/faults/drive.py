"""Puts seeded random faults into a world while callers ask."""

import asyncio
import random
import sys
import time
import uuid
from unittest.mock import patch

from lagoontide.agent.service import Agent
from lagoontide.claims.service import PartitionClaims
from tests.faults.world import World
from tests.support.network import Weather
from tests.support.virtual import run_virtual

STEPS = 60
ALL = tuple(range(12))
# Faults that matter to claims: entries die and pause, the store fails.
OF_CLAIMS = (3, 3, 4, 5, 10, 10)
# Faults that matter to attempts: messages fare badly while agents die.
OF_AGENTS = (0, 0, 0, 2, 2, 5)


def seeded_ids(seed):
    """Make the ids of processes and requests the same in each run of a seed."""
    rng = random.Random(seed)
    return patch("uuid.uuid4", lambda: uuid.UUID(int=rng.getrandbits(128), version=4))


def act(world, rng, faults=ALL):
    """Put one random fault in or take one away."""
    agents, entries = sorted(world.agents), sorted(world.entries)
    nodes = [f"tcp://{name}" for name in agents]
    nodes += [node.name for node in world.entries.values()]
    target = world.targets[rng.choice(agents)]
    match rng.choice(faults):
        case 0 | 1:
            world.network.weather = Weather(
                0.001,
                rng.choice((0.0, 0.05, 0.5, 2.0)),
                rng.choice((0.0, 0.02, 0.1)),
                rng.choice((0.0, 0.1, 0.3)),
            )
        case 2:
            world.start_agent(rng.choice(agents))
        case 3:
            world.start_entry(rng.choice(entries))
        case 4:
            world.network.paused.add(rng.choice(nodes))
        case 5:
            world.network.paused.clear()
        case 6:
            target.faults.drop_answers = rng.randrange(4)
        case 7:
            target.faults.down = not target.faults.down
        case 8:
            target.faults.stalled = not target.faults.stalled
            target.faults._changed.set()
            target.faults._changed = asyncio.Event()
        case 9:
            target.faults.cut_after = rng.randrange(12)
        case 10:
            world.store.faults.down = rng.random() < 0.3
            world.store.faults.slow = rng.choice((1.0, 100.0, 400.0))
            world.lost_answers = rng.choice((0.0, 0.0, 0.3))
        case 11:
            world.heal()


async def _drive(seed, steps, faults, parts):
    world = World(seed, **parts)
    rng = world.rng
    await asyncio.sleep(2.0)
    for step in range(steps):
        act(world, rng, faults)
        for number in range(rng.randrange(1, 8)):
            has_key = faults is OF_CLAIMS or rng.random() < 0.5
            key = f"key-{step}-{number}" if has_key else ""
            world.submit(rng.choice(("issue", "issue", "draft")), key)
        await asyncio.sleep(rng.choice((0.01, 0.05, 0.1, 0.3, 1.0)))
    await world.finish()
    return world


def drive(seed, steps=STEPS, faults=ALL, make_agent=Agent, make_claims=PartitionClaims):
    """Run a world from a seed and return it."""
    parts = {"make_agent": make_agent, "make_claims": make_claims}
    # With few partitions their owners are busy, and change hands in mid-work.
    few = patch("lagoontide.claims.service.PARTITIONS", 2)
    with seeded_ids(seed), few:
        return run_virtual(_drive(seed, steps, faults, parts))


def main(first, count):
    """Run many seeds; print what was found and how much ran."""
    started, runs, failures = time.monotonic(), 0, 0
    totals = {}
    for seed in range(first, first + count):
        world = drive(seed)
        runs += len(world.executions())
        for route, outcomes in world.summary().items():
            for outcome, number in outcomes.items():
                place = (route, outcome)
                totals[place] = totals.get(place, 0) + number
        broken = world.check()
        failures += bool(broken)
        if broken:
            print(f"seed {seed}: {broken[:4]}", flush=True)
    spent = time.monotonic() - started
    print(f"{count} seeds, {failures} broken, {runs} executions, {spent:.1f} s")
    print(dict(sorted(totals.items())))


if __name__ == "__main__":
    from loguru import logger

    logger.remove()
    main(int(sys.argv[1]), int(sys.argv[2]))
