"""TWICE: a stream that may run once is run again after a late second refusal.

A lost packet delays some requests on their way to a model replica. Their results are
freed meanwhile, so that it refuses them, as an input is gone. A few of these refusals
are sent a second time, at the point where the next answer on the connection is due. One
may meet the same request, which was sent again with new results and runs.
"""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from staged import Garble, Stage, World, run_load, staged_configuration
from standins import Deployment, Record, case_folder, run_script

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
rng = random.Random(int(os.environ.get("SEED", "1")))
RUN_S, RATE_PER_S = 95.0, 4.5
# As vessillo's stage `prefetture`, with more memory.
STAGES = (Stage("prep", 4, 0.042, 18.0, 1.5),)
REPLICAS, MODELS = 4, 10
# `garble`, how `extra late`, on the model replicas: the site's dose.
GARBLE_SHARE, GARBLE_X, GARBLE_S, PAUSE_S = 0.6, 0.03, 5.0, 0.5
# `lossy`: the links to the model replicas lose packets, at the site's dose.
LOSS, LOSSY_S = 0.03, 6.2

record = Record(case_folder(__file__) / "record.txt")
world = World(record, rng, Garble(record, GARBLE_X), STAGES)


async def garble() -> None:
    """Garble some model replicas, others after a while."""
    while True:
        chosen = rng.sample(world.models, int(GARBLE_SHARE * MODELS))
        for model in world.models:
            model.is_garbled = model in chosen
        record(f"garble (extra late): {[model.name for model in chosen]}")
        await asyncio.sleep(GARBLE_S)
        for model in world.models:
            model.is_garbled = False
        await asyncio.sleep(PAUSE_S)


async def lossy() -> None:
    """Let the links lose packets, with pauses."""
    while True:
        for model in world.models:
            model.loss = LOSS
        await asyncio.sleep(LOSSY_S)
        for model in world.models:
            model.loss = 0.0
        await asyncio.sleep(PAUSE_S)


async def play() -> int:
    """Run the script; return its exit code."""
    deployment = Deployment(1)
    troubles: list[asyncio.Task[None]] = []
    try:
        await world.add_replicas(deployment, REPLICAS, MODELS)
        await deployment.start(staged_configuration(STAGES, 1, False))
        if TROUBLE:
            troubles.append(asyncio.create_task(garble()))
            troubles.append(asyncio.create_task(lossy()))
        front = deployment.entries[0].front
        await run_load(
            world, front, RATE_PER_S, RUN_S, lambda: (rng.choice((1, 1, 2, 3)),)
        )
        deployment.keep_logs()
    finally:
        for task in troubles:
            task.cancel()
        await deployment.close()
    twice = {name: runs for name, runs in world.runs.items() if len(runs) > 1}
    for name, runs in twice.items():
        record(f"TWICE: {name} has run at {runs}, answered: {world.answers.get(name)}")
    garbled = world.garble
    text = (
        f"{len(world.pieces)} sent, {len(world.runs)} run, {garbled.answers} answers "
        f"while garbled, {garbled.extra} extra, {len(twice)} run twice, "
        f"{len(world.mixed)} with others' results"
    )
    record(text)
    print(text)
    if not world.runs:
        return 2
    return 1 if twice else 0


run_script(play, record)
