"""Not a case. LOST: whole streams of sound replicas are cut off if they have no length.

Model replicas write every 20 ms what they have made, at times two events. Some of
their answers have no length and end with their connection, as RULES.md allows it. In
these the entry takes a second event that arrives with the first for a gap, and resets
the connections. Meanwhile settings files change, and SIGHUP tells the entries so.
"""

import asyncio
import os
import random
import signal
import time

from standins import (
    NOT_RUN,
    Client,
    Conn,
    Deployment,
    Headers,
    Record,
    Server,
    case_folder,
    chunk,
    event,
    registration,
    run_script,
    stream_head,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
# swanreach-returns: a step takes 3.9 ms, an event holds 4 tokens.
GAP_S, EVENTS = 0.0156, 70
# What a replica has made is written at this interval.
FLUSH_S = 0.02
ENTRIES, CLIENTS = 2, 40
CHANGES, BETWEEN_S = 5, 12.0
# As `garble`, how `unframed`: a share of the replicas, and of their answers.
SHARE, X, UNFRAMED_S = 0.6, 0.05, 5.0
# `config_apply_ms`: requests sent up to this time after a SIGHUP count.
APPLY_S = 2.0

rng = random.Random(SEED)
record = Record(case_folder(__file__) / "record.txt")
counts = {"sent": 0, "whole": 0, "cut": 0, "run": 0, "without length": 0}
# Times of the SIGHUPs, and of the requests that were cut: sent and cut.
hups: list[float] = []
cuts: list[tuple[float, float]] = []


class Replica:
    """A model replica."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.server = Server(self.handle)
        self.unframed_until = 0.0

    async def handle(
        self, conn: Conn, method: str, path: str, headers: Headers, body: bytes
    ) -> bool:
        """Run a request as a stream."""
        request_id = headers["x-lagoontide-request-id"]
        if headers.get("x-lagoontide-expect-instance", self.name) != self.name:
            echo = {"X-Lagoontide-Request-Id": request_id, NOT_RUN: "1"}
            await conn.answer(421, b"", echo)
            return True
        counts["run"] += 1
        first = int(headers.get("last-event-id", "0")) + 1
        is_chunked = time.monotonic() > self.unframed_until or rng.random() > X
        counts["without length"] += not is_chunked
        framing = "in chunks" if is_chunked else "without a length"
        record(f"{self.name} runs {request_id} from event {first}, {framing}")
        await conn.send(stream_head(request_id, "s.1", is_chunked))
        begun_at, sent = time.monotonic() + 0.05, first - 1
        try:
            while sent < EVENTS:
                await asyncio.sleep(FLUSH_S)
                made = first - 1 + int((time.monotonic() - begun_at) / GAP_S)
                new = range(sent + 1, min(made, EVENTS) + 1)
                for number in new:
                    data = event(number, "four tokens")
                    conn.writer.write(chunk(data) if is_chunked else data)
                await conn.writer.drain()
                sent = max(sent, new.stop - 1)
        except ConnectionError:
            record(f"{self.name} is cut off from {request_id} after event {sent}")
            raise
        if is_chunked:
            await conn.send(chunk(b""))
        record(f"{self.name} has sent all of {request_id}")
        return is_chunked


async def call(address: tuple[str, int], until: float) -> None:
    """Send requests, one after the other."""
    while time.monotonic() < until:
        client = Client(address)
        request_id = f"{rng.getrandbits(64):016x}"
        headers = {
            "Host": "notes.example",
            "X-Lagoontide-Request-Id": request_id,
            "X-Lagoontide-Deadline-Ms": "6000",
            "X-Lagoontide-Model": "m",
            "X-Lagoontide-Token-Counts": "900,280",
            "X-Lagoontide-Prompt-Prefix": f"aa01:300,{request_id}:600",
            "Authorization": "Bearer key-1",
        }
        counts["sent"] += 1
        sent_at = time.monotonic()
        record(f"{request_id} sent to {address[0]}")
        answer = await client.request("POST", "/n/1", headers, b"text " * 40)
        is_whole = answer is not None and answer.body.count(b"id: ") == EVENTS
        counts["whole" if is_whole else "cut"] += 1
        if not is_whole:
            cuts.append((sent_at, time.monotonic()))
        record(f"{request_id} {'answered in full' if is_whole else 'cut'}")
        client.close()
        await asyncio.sleep(rng.uniform(0.0, 0.2))


def configuration() -> dict:
    """Return the configuration."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "notes",
                "host": "notes.example",
                "prefix": "/n/",
                "service": "models",
                "kind": "stream",
                "timeout_ms": 6000,
                "target_latency_ms": 2300,
                "max_attempts": 1,
                "priority": 1,
                "sticky": True,
                "resume_streams": False,
                "gap_target_ms": 250,
            }
        ],
        "services": [
            {"name": "models", "health_path": "/health", "max_conns": 620},
        ],
        "tenants": [{"name": "town", "api_keys": ["key-1"]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 30000,
        },
    }


def is_beside_hup(sent_at: float, cut_at: float) -> bool:
    """Return whether LOST counts a request that was cut."""
    return any(sent_at <= hup + APPLY_S and cut_at > hup for hup in hups)


async def play() -> int:
    """Run the script; return its exit code."""
    deployment = Deployment(ENTRIES)
    replicas: list[Replica] = []
    try:
        for number in range(5):
            replica = Replica(f"i-{number}")
            replicas.append(replica)
            await replica.server.start()
            value = registration("models", replica.server.address, 128)
            deployment.store.put(f"servers/{replica.name}", value)
        await deployment.start(configuration())
        until = time.monotonic() + 4.0 + CHANGES * BETWEEN_S
        clients = [
            asyncio.create_task(call(deployment.entries[number % ENTRIES].front, until))
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(4.0)
        for number in range(CHANGES):
            if TROUBLE:
                for replica in rng.sample(replicas, int(SHARE * len(replicas))):
                    replica.unframed_until = time.monotonic() + UNFRAMED_S
                    record(f"{replica.name}: some answers have no length from now on")
            await asyncio.sleep(1.0)
            hups.append(time.monotonic())
            for entry in deployment.entries:
                seeds = [f"{entry.host}:{entry.ports['control']}"]
                entry.write_settings(seeds * (1 + number % 2))
                entry.signal(signal.SIGHUP)
            record("settings files change, SIGHUP")
            await asyncio.sleep(BETWEEN_S - 1.0)
        await asyncio.gather(*clients)
        deployment.keep_logs()
    finally:
        await deployment.close()
    lost = [times for times in cuts if is_beside_hup(*times)]
    text = f"{counts}; cut beside a SIGHUP: {len(lost)}"
    record(text)
    print(text)
    if not counts["run"]:
        return 2
    return 1 if lost else 0


run_script(play, record)
