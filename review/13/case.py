"""A replica fails requests that it has run, with 503 and no word that it has not."""

import asyncio
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
# One replica of four fails two requests in five for six seconds (srv_grey: a share of
# 0.15, x 0.4, 6.5 s at this site).
GREY_FROM_S, GREY_FOR_S, GREY_OF_FIVE = 2.0, 6.0, 2
LENGTH_S = 10.0
REQUESTS_PER_S = 30
DEADLINE_MS = 1500
PROMISES = (408, 421, 429, 503)


class Credits:
    """Four replicas of a ledger service, one of which turns grey."""

    def __init__(self, store, host, record):
        self.replicas = [
            Replica(store, host, f"i-{number}", "credits", self.answer, record)
            for number in range(4)
        ]
        self._began = asyncio.get_running_loop().time()
        self._served = 0

    def runs(self, request_id):
        """Return how often a request has run."""
        return sum(replica.runs.count(request_id) for replica in self.replicas)

    def _is_grey(self, replica):
        if not TROUBLE or replica is not self.replicas[0]:
            return False
        age = asyncio.get_running_loop().time() - self._began
        return GREY_FROM_S <= age < GREY_FROM_S + GREY_FOR_S

    async def answer(self, replica, fields, reader, writer):
        """Run a request, which issues a credit note."""
        request_id = fields[REQUEST_ID.lower()]
        body = await read_body(reader, fields)
        replica.run(request_id)
        await asyncio.sleep(0.06)
        found = [(REQUEST_ID, request_id), (SEAL, f"{replica.name}.{request_id}")]
        if self._is_grey(replica):
            self._served += 1
            if self._served % 5 < GREY_OF_FIVE:
                writer.write(encode(503, found, b"the ledger did not confirm\n"))
                return True
        writer.write(encode(200, found, b"issued: " + body))
        return True


async def issue(entry, name, record):
    """Issue a credit note as PROTOCOL's clients do; return the ids and answers."""
    sent = []
    for attempt in range(2):
        request_id = f"{name}-{attempt}"
        fields = request_fields(request_id, DEADLINE_MS)
        port = entry.ports["front"]
        answer = await ask(entry.host, port, "POST", "/issue/x", fields, b"note")
        record(f"client: {request_id} answered {answer}")
        sent.append((request_id, answer))
        # Unsafe requests are repeated after a promise only.
        if answer.status not in PROMISES:
            break
        await asyncio.sleep(min(float(answer.fields.get("retry-after", 0.1)), 0.4))
    return sent


async def case(temporary, record):
    """Return whether REFUSED held."""
    host = free_host()
    store = Store(host)
    await store.start()
    credit_notes = Credits(store, host, record)
    for replica in credit_notes.replicas:
        await replica.start()
    routes = [make_route("credit-issue", "/issue/", "unsafe", "credits")]
    store.put("op/config", make_config(7, routes, {"credits": {}}))
    entry = Entry(temporary, host, "front-welshpool-1", store, record=record)
    try:
        await entry.start()
        tasks = []
        for number in range(int(LENGTH_S * REQUESTS_PER_S)):
            tasks.append(asyncio.create_task(issue(entry, f"r{number}", record)))
            await asyncio.sleep(1.0 / REQUESTS_PER_S)
        orders = await asyncio.gather(*tasks)
    finally:
        await entry.stop()
    refused = twice = 0
    for sent in orders:
        runs = [credit_notes.runs(request_id) for request_id, _ in sent]
        for (request_id, answer), count in zip(sent, runs, strict=True):
            if answer.status in PROMISES and count:
                refused += 1
                origin = answer.fields.get(NOT_RUN.lower(), "none")
                record(
                    f"REFUSED: {request_id} has run and was answered {answer}, "
                    f"{NOT_RUN}: {origin}"
                )
        twice += sum(runs) > 1
    served = sum(sent[-1][1].status == 200 for sent in orders)
    record(f"{len(orders)} credit notes, {served} served, {twice} issued twice")
    record(f"{refused} requests have run and were answered with a promise")
    return not refused


play(case, FOLDER / "record.txt")
