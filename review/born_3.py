"""Another writer's entry that lacks ``born`` is used in a replica's place.

ROUTE, RULES: "A request is run by a service to which no configuration ever sent allows
it to go." The disruption, PROTOCOL, Service discovery: "An entry may come from another
writer: fields missing [...]. It names no replica to use". Shown, but no case.
"""

import asyncio
import json
from pathlib import Path

from standins_3 import (
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
WRITES, WRITE_EVERY_S = 3, 3.0
LENGTH_S = 10.0
REQUESTS_PER_S = 30
DEADLINE_MS = 1500


async def answer(replica, fields, reader, writer):
    """Run a request."""
    request_id = fields[REQUEST_ID.lower()]
    await read_body(reader, fields)
    replica.run(request_id)
    await asyncio.sleep(0.03)
    found = [(REQUEST_ID, request_id), (SEAL, f"{replica.name}.{request_id}")]
    writer.write(encode(200, found, f"done by {replica.service}\n".encode()))
    return True


def write_entry(store, replica, record):
    """Write, as another writer, an entry under the id of a replica."""
    fields = {
        "service": "credits",
        "address": f"{replica.host}:{replica.port}",
        "zone": "welshpool",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "seq": 1,
    }
    store.put(f"servers/{replica.name}", json.dumps(fields).encode())
    record(f"another writer's entry for {replica.name}, without born: {fields}")


async def issue(entry, request_id, record):
    """Send a request and record its answer."""
    fields = request_fields(request_id, DEADLINE_MS)
    port = entry.ports["front"]
    found = await ask(entry.host, port, "POST", "/issue/x", fields, b"note")
    record(f"client: {request_id} answered {found}")
    return found


async def case(temporary, record):
    """Return whether ROUTE held."""
    host = free_host()
    store = Store(host)
    await store.start()
    replicas = [
        Replica(store, host, f"i-{service}-{number}", service, answer, record)
        for service in ("credits", "consignments")
        for number in range(2)
    ]
    for replica in replicas:
        await replica.start()
    routes = [
        make_route("credit-issue", "/issue/", "unsafe", "credits"),
        make_route("consignment", "/consignment/", "unsafe", "consignments"),
    ]
    services = {"credits": {}, "consignments": {}}
    store.put("op/config", make_config(7, routes, services))
    entry = Entry(temporary, host, "front-welshpool-1", store, record=record)
    try:
        await entry.start()
        tasks = []
        for number in range(int(LENGTH_S * REQUESTS_PER_S)):
            tasks.append(asyncio.create_task(issue(entry, f"r{number}", record)))
            await asyncio.sleep(1.0 / REQUESTS_PER_S)
            is_due = number % int(WRITE_EVERY_S * REQUESTS_PER_S) == REQUESTS_PER_S
            if TROUBLE and is_due and number < WRITES * WRITE_EVERY_S * REQUESTS_PER_S:
                write_entry(store, replicas[-1], record)
        answers = await asyncio.gather(*tasks)
    finally:
        await entry.stop()
    wrong = [
        request_id
        for replica in replicas
        if replica.service != "credits"
        for request_id in replica.runs
    ]
    for request_id in wrong:
        record(f"ROUTE: {request_id} of the route of credits ran at consignments")
    served = sum(found.status == 200 for found in answers)
    record(
        f"{len(answers)} requests, {served} answered 200, {len(wrong)} ran elsewhere"
    )
    return not wrong


play(case, FOLDER / "record.txt")
