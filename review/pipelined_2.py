"""Not a case. Clients send many requests at once on each connection, for no route.

Ordinary requests that come meanwhile have no answer 0.5 s after their route's timeout.
"""

import asyncio
import contextlib
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from standins_2 import (  # noqa: E402
    HOST,
    Case,
    main,
    read_answer,
    request_bytes,
)

RECORD = FOLDER / "record.txt"
# TROUBLE=0: the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 300
REQUESTS = 500
CALLERS = 12
TIMEOUT_S = 4.0
MAX_LATE = 8
WAIT_S = 30.0
ROUTE = {
    "name": "lookup",
    "host": "lookup.example",
    "prefix": "/lookup/",
    "kind": "safe",
    "timeout_ms": int(1000 * TIMEOUT_S),
    "target_latency_ms": 400,
    "priority": 1,
    "service": "plain",
    "max_attempts": 2,
}


async def send_many(port, number):
    """Send requests for a route that does not exist, and read the answers."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(HOST, port)
        ids = (f"{number:08x}{place:08x}" for place in range(REQUESTS))
        requests = [
            request_bytes("none.example", "/none/a", name, 4000) for name in ids
        ]
        writer.write(b"".join(requests))
        while await reader.read(1 << 16):
            pass


async def ask(port, number, record):
    """Send an ordinary request; return the seconds until it was answered."""
    request_id, started_at = f"ffff{number:012x}", time.monotonic()
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(request_bytes("lookup.example", "/lookup/a", request_id, 4000))
    status = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(WAIT_S):
            status, _, _ = await read_answer(reader)
    writer.close()
    seconds = time.monotonic() - started_at
    record.write(f"request {request_id} gets {status or 'nothing'} in {seconds:.1f} s")
    return seconds


async def run(has_trouble):
    """Run the script; return whether the rule was broken."""
    async with Case(RECORD) as case:
        case.configure([ROUTE], {"plain": {}})
        await case.start_replica("i-plain", "plain", "sized:100")
        _, front = await case.start_entry()
        await asyncio.sleep(4.0)
        crowd = []
        if has_trouble:
            crowd = [
                asyncio.create_task(send_many(front, number))
                for number in range(CLIENTS)
            ]
            case.record.write(f"{CLIENTS} clients send {REQUESTS} requests each")
        await asyncio.sleep(1.0)
        asks = (ask(front, number, case.record) for number in range(CALLERS))
        taken = await asyncio.gather(*asks)
        for task in crowd:
            task.cancel()
        late = sum(seconds > TIMEOUT_S + 0.5 for seconds in taken)
        case.record.write(
            f"{late} of {CALLERS} ordinary requests had no answer in time"
        )
        return late >= MAX_LATE


main(run, TROUBLE)
