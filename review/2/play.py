"""Fault: an entry of another writer in the store ends every process, again and again.

Another writer puts an entry under ``servers/`` whose bytes can't be read, or with a
field of another type. Processes that end are started again after a short delay, as the
platform does it.
"""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from plain import PlainClients, PlainReplica, plain_configuration
from standins import (
    Deployment,
    Entry,
    Record,
    case_folder,
    registration,
    run_script,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# "number": a field of another type, a whole number of more than 64 bits.
VARIANT = os.environ.get("VARIANT", "bytes")
SEED = int(os.environ.get("SEED", "1"))
ENTRIES, CLIENTS = 3, 9
QUIET_S, RUN_S, RESTART_S = 6.0, 60.0, 1.0
UNREADABLE = b'{"service":"credits","more":' + b'{"more":' * 2000
# RULES, Fault: on a tenth of the machines (two at least), three times in the day.
MACHINES, ENDS = max(2, ENTRIES // 10), 3

rng = random.Random(SEED)
record = Record(case_folder(__file__) / "record.txt")
ends: dict[str, int] = {}


async def restart(entry: Entry) -> None:
    """Start a process again whenever it has ended by itself."""
    while True:
        assert entry.process is not None
        code = await entry.process.wait()
        ends[entry.name] = ends.get(entry.name, 0) + 1
        record(f"{entry.name} has ended by itself, exit code {code}")
        await asyncio.sleep(RESTART_S)
        await entry.start()


def entry_of_another_writer() -> bytes:
    """Return the value that another writer stores."""
    if not TROUBLE:
        return b'{"service":"credits"}'
    if VARIANT == "number":
        return registration("credits", "127.0.0.1:9", 6, state="draining", born=2**64)
    return UNREADABLE


async def play() -> int:
    """Run the script; return its exit code."""
    deployment = Deployment(ENTRIES)
    clients = PlainClients(record, rng)
    keepers: list[asyncio.Task[None]] = []
    try:
        for number in range(4):
            replica = PlainReplica(f"i-{number}", record)
            await replica.server.start()
            value = registration("credits", replica.server.address, 6)
            deployment.store.put(f"servers/{replica.name}", value)
        await deployment.start(plain_configuration())
        keepers = [asyncio.create_task(restart(entry)) for entry in deployment.entries]
        until = time.monotonic() + RUN_S
        fronts = [entry.front for entry in deployment.entries]
        calls = [
            asyncio.create_task(clients.call(fronts[number % ENTRIES], until))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(QUIET_S)
        before = dict(clients.counts)
        value = entry_of_another_writer()
        record(f"another writer stores {len(value)} bytes: {value[:60]!r}")
        deployment.store.put("servers/i-other", value)
        await asyncio.gather(*calls)
        deployment.keep_logs()
    finally:
        for keeper in keepers:
            keeper.cancel()
        await asyncio.gather(*keepers, return_exceptions=True)
        await deployment.close()
    text = f"before: {before}; at the end: {clients.counts}; ends by themselves: {ends}"
    record(text)
    print(text)
    if not before["200"]:
        return 2
    return 1 if sum(number >= ENDS for number in ends.values()) >= MACHINES else 0


run_script(play, record)
