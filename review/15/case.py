"""Requests that omit a stage which another one follows."""

import asyncio
import json
from pathlib import Path

from standins_3 import (
    NOT_RUN,
    REQUEST_ID,
    SEAL,
    TROUBLE,
    Entry,
    Replica,
    Store,
    ask,
    encode,
    free_host,
    make_config,
    make_route,
    play,
    read_body,
    request_fields,
)

FOLDER = Path(__file__).resolve().parent
REQUESTS = 40
DEADLINE_MS = 6000
STAGES = [
    {"service": "consignments", "after": [], "bytes": 8000},
    {"service": "couriers", "after": [0], "bytes": 60000},
    {"service": "bench", "after": [1], "bytes": 6000},
]
PIECES = {
    "slots": 1,
    "queue": 2,
    "batch": 9,
    "call_ms": 50.0,
    "item_ms": 4.0,
    "headroom_mb": 20.0,
    "handle_s": 4.0,
    "link_mbps": 10000,
}


class Stages:
    """The replicas of the stages and of the model, which check what they are given."""

    def __init__(self, store, host, record):
        self._record = record
        self._handles = {}
        self.broken = []
        self.replicas = [
            Replica(store, host, f"i-{service}-{number}", service, serve, record)
            for service, serve in (
                ("consignments", self.make),
                ("couriers", self.make),
                ("bench", self.make),
                ("tide-models", self.stream),
            )
            for number in range(2)
        ]

    async def make(self, replica, fields, reader, writer):
        """Answer a call to a replica of a stage."""
        body = await read_body(reader, fields)
        path = fields[":first"].split(" ")[1]
        result = {"queued": 0, "busy": False, "free_mb": 20}
        if path.endswith("/stage-run"):
            items = json.loads(body)["items"]
            result = {"items": [self._make(replica, item) for item in items]}
            await asyncio.sleep(0.05 + 0.004 * len(items))
        elif path.endswith("/stage-free"):
            result = {}
        kind = ("Content-Type", "application/json")
        writer.write(encode(200, [kind], json.dumps(result).encode()))
        return True

    def _make(self, replica, item):
        request_id, stage = item["id"], item["stage"]
        given = item.get("inputs") or []
        self._record(
            f"{replica.name} makes piece {item['piece']} of stage {stage} of "
            f"{request_id}: key {item.get('key')!r}, inputs {given}"
        )
        if STAGES[stage]["after"] and not given:
            self.broken.append(request_id)
            self._record(
                f"MIXED: piece {item['piece']} of stage {stage} of {request_id}, which "
                f"has after {STAGES[stage]['after']}, is given none"
            )
        handle = f"{replica.host}:{replica.port}/{len(self._handles):x}"
        self._handles[handle] = request_id, stage, item["piece"]
        return {"handle": handle}

    async def stream(self, replica, fields, reader, writer):
        """Answer a request to a model replica."""
        await read_body(reader, fields)
        request_id = fields[REQUEST_ID.lower()]
        given = fields.get("x-lagoontide-inputs", "")
        if not given:
            found = [(REQUEST_ID, request_id), (NOT_RUN, "1")]
            writer.write(encode(400, found))
            return True
        made = [self._handles.get(handle) for handle in given.split(",")]
        replica.run(request_id)
        self._record(f"{request_id} has the inputs {made}")
        found = [(REQUEST_ID, request_id), (SEAL, f"{replica.name}.{request_id}")]
        events = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, 6))
        writer.write(encode(200, found, events.encode()))
        return True


async def query(entry, request_id, counts, record):
    """Send a request and record its answer."""
    fields = request_fields(
        request_id,
        DEADLINE_MS,
        **{
            "X-Lagoontide-Model": "m",
            "X-Lagoontide-Token-Counts": "1460,80",
            "X-Lagoontide-Prompt-Prefix": f"5c1e07a2:800,{request_id}:660",
            "X-Lagoontide-Pieces": counts,
            "X-Lagoontide-Piece-Key": f"key-{request_id}",
        },
    )
    found = await ask(entry.host, entry.ports["front"], "POST", "/query/x", fields)
    record(f"client: {request_id} with pieces {counts} answered {found}")
    return found


async def case(temporary, record):
    """Return whether MIXED held."""
    host = free_host()
    store = Store(host)
    await store.start()
    stages = Stages(store, host, record)
    for replica in stages.replicas:
        await replica.start()
    services = {name: {"pieces": PIECES} for name in ("consignments", "couriers")}
    services |= {"bench": {"pieces": PIECES}, "tide-models": {}}
    first = make_route("assessment", "/assessment/", "stream", "tide-models")
    store.put("op/config", make_config(7, [first], services))
    entry = Entry(temporary, host, "front-welshpool-1", store, record=record)
    try:
        await entry.start()
        added = make_route(
            *("reseller-query", "/query/", "stream", "tide-models"),
            stages=STAGES,
            timeout_ms=6000,
        )
        store.put("op/config", make_config(9, [first, added], services))
        record("version 9 adds a route with three stages in a row")
        await asyncio.sleep(3.0)
        answers = []
        for number in range(REQUESTS):
            counts = "2,0,3" if TROUBLE and number % 2 else "2,1,3"
            answers.append(await query(entry, f"r{number}", counts, record))
    finally:
        await entry.stop()
    served = sum(found.status == 200 for found in answers)
    concerned = sorted(set(stages.broken))
    record(f"{len(answers)} requests, {served} answered 200")
    record(f"{len(concerned)} requests with pieces that were given none: {concerned}")
    return not concerned


play(case, FOLDER / "record.txt")
