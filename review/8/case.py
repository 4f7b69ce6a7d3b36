"""A route is added that has a stage and is no stream."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

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
REQUESTS = 5
PIECES = 3
EVENTS = 3
APPLY_S = 2.0
STAGED = {
    "host": "desk.example",
    "timeout_ms": 6000,
    "target_latency_ms": 2000,
    "priority": 1,
    "max_attempts": 2,
    "stages": [{"service": "pages", "after": [], "bytes": 8000}],
}
OLD = {
    **STAGED,
    "name": "draft",
    "prefix": "/draft/",
    "kind": "stream",
    "service": "model",
    "resume_streams": True,
    "gap_target_ms": 250,
}
NEW = {
    **STAGED,
    "name": "issue",
    "prefix": "/issue/",
    "kind": "unsafe",
    "max_attempts": 1,
    "service": "plain",
}
SERVICES = {
    "model": {},
    "plain": {},
    "pages": {
        "pieces": {
            "slots": 1,
            "queue": 2,
            "batch": 9,
            "call_ms": 20,
            "item_ms": 2,
            "headroom_mb": 32,
            "handle_s": 4,
            "link_mbps": 10000,
        }
    },
}


async def ask(port, request_id, path, record):
    """Send a request with pieces; return the status of its answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    fields = (f"X-Lagoontide-Pieces: {PIECES}", "X-Lagoontide-Piece-Key: 7c1e07a291bd")
    writer.write(request_bytes("desk.example", path, request_id, 6000, fields))
    status, _, _ = await read_answer(reader)
    writer.close()
    record.write(f"request {request_id} for {path}, {PIECES} pieces, gets {status}")
    return status


async def run(has_trouble):
    """Run the case; return whether the rule was broken."""
    async with Case(RECORD) as case:
        case.configure([OLD], SERVICES)
        await case.start_replica("i-model", "model", f"chunked:{EVENTS}:0.01:1")
        await case.start_replica("i-plain", "plain", "sized:100")
        await case.start_replica("i-pages", "pages", "sized:100")
        _, front = await case.start_entry()
        await asyncio.sleep(4.0)
        path = "/draft/a"
        if has_trouble:
            case.configure([OLD, NEW], SERVICES, version=9)
            case.record.write("the route issue is added")
            path = "/issue/a"
            await asyncio.sleep(2 * APPLY_S)
        for number in range(REQUESTS):
            await ask(front, f"{number + 1:016x}", path, case.record)
        made, short = 0, 0
        for name in ("i-pages", "i-model", "i-plain"):
            for line in case.log_of(name):
                case.record.write(f"{name} {line}")
                made += line.startswith("makes")
                short += line.startswith("runs") and f"with {PIECES} inputs" not in line
        case.record.write(f"{made} pieces made for {REQUESTS} requests of {PIECES}")
        case.record.write(f"{short} requests ran without all of their inputs")
        return short > 0


main(run, TROUBLE)
