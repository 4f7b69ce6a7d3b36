"""DRAIN: a replica that has left gets requests for longer than ``drain_ms``.

Replicas of a plain service are replaced one after the other. Each one's entry is
removed from the store, without ``draining`` before; it serves on for ``drain_ms`` and a
little longer, and then exits. At the moment of the removal the store cuts the watches
that wait, as the users' page allows it. The route is unsafe: what the exit breaks off
is lost.
"""

import asyncio
import functools
import math
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from plain import PlainClients, PlainReplica, plain_configuration
from standins import (
    Deployment,
    Record,
    case_folder,
    registration,
    run_script,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
DRAIN_S = 2.0
# Longer than `contact_ms` and the time that a replica serves on.
BETWEEN_S, SERVES_ON_S = 12.0, 2.2
LEAVING = 6
CLIENTS = 16

rng = random.Random(SEED)
record = Record(case_folder(__file__) / "record.txt")
# Of each replica: when the store acknowledged that its entry is removed.
removed_at: dict[str, float] = {}
late: list[str] = []


def note_run(replica: str, request_id: str) -> None:
    """Check that a replica that has left is given no request for too long."""
    over = time.monotonic() - removed_at.get(replica, math.inf) - DRAIN_S
    if over > 0:
        late.append(request_id)
        record(
            f"DRAIN: {request_id} reaches {replica} {over:.3f} s later than drain_ms "
            "after the store acknowledged that it is gone"
        )


async def play() -> int:
    """Run the script; return its exit code."""
    deployment = Deployment(2)
    store = deployment.store
    replicas: list[PlainReplica] = []
    clients = PlainClients(record, rng)

    async def add() -> None:
        name = f"i-{rng.getrandbits(40):010x}"
        replica = PlainReplica(name, record, functools.partial(note_run, name))
        await replica.server.start()
        replicas.append(replica)
        value = registration("credits", replica.server.address, 6)
        store.put(f"servers/{replica.name}", value)

    try:
        for _ in range(4):
            await add()
        await deployment.start(plain_configuration("unsafe"))
        until = time.monotonic() + 6.0 + LEAVING * BETWEEN_S
        fronts = [entry.front for entry in deployment.entries]
        calls = [
            asyncio.create_task(clients.call(fronts[number % 2], until))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(6.0)
        for _ in range(LEAVING):
            await add()
            await asyncio.sleep(2.0)
            leaving = replicas.pop(0)
            if TROUBLE:
                store.cut_watches()
                record("the store cuts the watches that wait")
            store.delete(f"servers/{leaving.name}")
            removed_at[leaving.name] = time.monotonic()
            record(f"{leaving.name} is removed from the store and serves on")
            await asyncio.sleep(SERVES_ON_S)
            leaving.server.close()
            record(f"{leaving.name} exits")
            await asyncio.sleep(BETWEEN_S - 2.0 - SERVES_ON_S)
        await asyncio.gather(*calls)
        deployment.keep_logs()
    finally:
        await deployment.close()
    lost = clients.counts["sent"] - clients.counts["200"]
    text = (
        f"{clients.counts}, cuts of watches: {store.cuts}, reached a replica late: "
        f"{len(late)}, not answered with 200: {lost}"
    )
    record(text)
    print(text)
    if not clients.counts["200"] or (TROUBLE and not store.cuts):
        return 2
    return 1 if late else 0


run_script(play, record)
