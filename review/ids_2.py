"""Not a case. A replica's events have increasing ids that are not consecutive."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from standins_2 import (  # noqa: E402
    HOST,
    Case,
    event_ids,
    main,
    read_answer,
    request_bytes,
)

RECORD = FOLDER / "record.txt"
# TROUBLE=0: the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALLERS = 8
# The rule allows three.
MAX_LOST = 3
EVENTS = 10
GAP_S = 0.05
# The ids count tokens; an event holds four of them.
STEP = 4
ROUTE = {
    "kind": "stream",
    "host": "query.example",
    "timeout_ms": 6000,
    "target_latency_ms": 2300,
    "priority": 1,
    "max_attempts": 2,
    "resume_streams": True,
    "gap_target_ms": 250,
}
ROUTES = [
    {**ROUTE, "name": "query", "prefix": "/query/", "service": "model"},
    {**ROUTE, "name": "plain", "prefix": "/plain/", "service": "plain", "kind": "safe"},
]


async def ask(port, number, step, record):
    """Ask for a stream on a kept connection; return whether it is not whole."""
    reader, writer = await asyncio.open_connection(HOST, port)
    plain_id, request_id = f"{number:08x}00000001", f"{number:08x}00000002"
    writer.write(request_bytes("query.example", "/plain/a", plain_id, 6000))
    status, _, is_complete = await read_answer(reader)
    if status != 200 or not is_complete:
        raise RuntimeError("the first request on a connection was not answered")
    writer.write(request_bytes("query.example", "/query/a", request_id, 6000))
    record.write(f"request {request_id} sent on a kept connection")
    status, body, is_complete = await read_answer(reader)
    writer.close()
    ids = event_ids(body)
    is_whole = is_complete and ids == [step * place + step for place in range(EVENTS)]
    end = "whole" if is_whole else "complete" if is_complete else "cut"
    record.write(f"request {request_id} gets {status}, events {ids}, {end}")
    return not is_whole


async def run(has_trouble):
    """Run the case; return whether the rule was broken."""
    step = STEP if has_trouble else 1
    async with Case(RECORD) as case:
        case.configure(ROUTES, {"model": {}, "plain": {}})
        names = ("i-one", "i-two")
        for name in names:
            await case.start_replica(name, "model", f"chunked:{EVENTS}:{GAP_S}:{step}")
        await case.start_replica("i-plain", "plain", "sized:100")
        _, front = await case.start_entry()
        await asyncio.sleep(4.0)
        lost = 0
        for number in range(CALLERS):
            lost += await ask(front, number + 1, step, case.record)
        for name in names:
            for line in case.log_of(name):
                case.record.write(f"{name} {line}")
        for line in case.log_of("front-welshpool-1"):
            if "interrupted" in line:
                case.record.write(f"entry: {line[:300]}")
        case.record.write(f"{lost} of {CALLERS} streams are not whole")
        return lost > MAX_LOST


main(run, TROUBLE)
