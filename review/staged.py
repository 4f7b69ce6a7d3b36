"""Stage replicas, model replicas and requests of a route with stages."""

import asyncio
import itertools
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from plain import LIMITS, TENANTS
from standins import (
    NOT_RUN,
    Client,
    Conn,
    Deployment,
    Headers,
    Record,
    Server,
    chunk,
    encode_answer,
    event,
    registration,
    stream_head,
)

CALL_S, KEPT_S = 0.2, 4.0
EVENTS, EVENT_S = 6, 0.02
HOST = "drafts.example"
# A lost packet is sent again after the shortest time-out of TCP.
PACKET_BYTES, RESEND_S = 1448, 0.2
BODY = b"five " * 940


@dataclass(frozen=True)
class Stage:
    """A stage service: pieces a call, seconds a piece, memory, and size of a result."""

    service: str
    batch: int
    piece_s: float
    room_mb: float
    result_mb: float


@dataclass
class Garble:
    """Extra answers of replicas, sent where the next answer on a connection is due.

    At most the share ``x`` of the answers that replicas give while they are garbled.
    """

    record: Record
    x: float
    answers: int = 0
    extra: int = 0

    def note(self, conn: Conn, name: str, data: bytes, is_chosen: bool) -> None:
        """Count an answer of a garbled replica; owe it once more if it is chosen."""
        self.answers += 1
        if is_chosen and self.extra + 1 <= self.x * self.answers:
            self.extra += 1
            conn.owed = data
            head = data.partition(b"\r\n")[0].decode()
            self.record(f"{name} conn {conn.number}: will send {head!r} once more")

    async def send_owed(self, conn: Conn, name: str) -> None:
        """Send what is owed, as the next request on the connection has come."""
        if conn.owed:
            owed, conn.owed = conn.owed, b""
            self.record(f"{name} conn {conn.number}: the extra answer is sent")
            await conn.send(owed)


@dataclass
class World:
    """All replicas, and what the results of pieces belong to.

    Attributes
    ----------
    made : dict
        Of each handle: the request, the stage and the piece.
    pieces : dict
        Of each request: the number of its pieces, by stage.
    mixed : list of str
        Requests and pieces that were given others' results.
    """

    record: Record
    rng: random.Random
    garble: Garble
    stages: tuple[Stage, ...]
    replicas: list["StageReplica"] = field(default_factory=list)
    models: list["ModelReplica"] = field(default_factory=list)
    made: dict[str, tuple[str, int, int]] = field(default_factory=dict)
    pieces: dict[str, tuple[int, ...]] = field(default_factory=dict)
    mixed: list[str] = field(default_factory=list)
    runs: dict[str, list[str]] = field(default_factory=dict)
    answers: dict[str, int] = field(default_factory=dict)
    handles: Any = field(default_factory=lambda: itertools.count(0x5C1E07A2E440))

    def stored(self) -> set[str]:
        """Return the handles of all results that are kept."""
        return {handle for replica in self.replicas for handle in replica.results}

    def check(self, what: str, request_id: str, stage: int, given: list[str]) -> None:
        """Check that a request or a piece is given its own results, whole and once."""
        whose = sorted(self.made[handle] for handle in given)
        numbers = range(self.pieces[request_id][stage])
        expected = [(request_id, stage, number) for number in numbers]
        self.record(f"{request_id} {what} runs with the results of {whose}")
        if whose != expected:
            self.mixed.append(f"{what} of {request_id} was given {whose}")
            self.record(f"MIXED: {what} of {request_id} expects {expected}")

    async def add_replicas(
        self, deployment: Deployment, each: int, models: int
    ) -> None:
        """Start replicas and put them into the store."""
        for stage in self.stages:
            for number in range(each):
                replica = StageReplica(self, stage, f"{stage.service}-{number}")
                self.replicas.append(replica)
                await replica.start(deployment)
        for number in range(models):
            model = ModelReplica(self, f"model-{number}")
            self.models.append(model)
            await model.server.start()
            value = registration("models", model.server.address, 128)
            deployment.store.put(f"servers/{model.name}", value)

    async def send(self, address: tuple[str, int], request_id: str) -> None:
        """Send a request and record its answer."""
        client = Client(address)
        # As `reseller-query`: 20 shared parts, 583 of sessions, and the request's own.
        thing = self.rng.randrange(583)
        parts = f"a{thing % 20:03x}:341,b{thing:03x}:227"
        headers = {
            "Host": HOST,
            "X-Lagoontide-Request-Id": request_id,
            "X-Lagoontide-Deadline-Ms": "10000",
            "X-Lagoontide-Model": "m",
            "X-Lagoontide-Token-Counts": "2368,24",
            "X-Lagoontide-Prompt-Prefix": f"{parts},{request_id}:1800",
            "X-Lagoontide-Pieces": ",".join(map(str, self.pieces[request_id])),
            "X-Lagoontide-Piece-Key": request_id[::-1],
            "Authorization": "Bearer key-1",
        }
        self.record(f"{request_id} sent, pieces {self.pieces[request_id]}")
        answer = await client.request("POST", "/draft/1", headers, BODY)
        client.close()
        status = answer.status if answer else 0
        self.answers[request_id] = status
        self.record(f"{request_id} answered: {status or 'nothing'}")


class StageReplica:
    """A replica of a stage service; one call at a time, two may wait."""

    def __init__(self, world: World, stage: Stage, name: str) -> None:
        self.name = name
        self.stage = stage
        self.results: dict[str, float] = {}
        self.is_garbled = False
        self.server = Server(self._handle)
        self._world = world
        self._turn = asyncio.Lock()
        self._queued = 0

    async def start(self, deployment: Deployment) -> None:
        """Start listening, and register in the store."""
        await self.server.start()
        value = registration(self.stage.service, self.server.address, 1)
        deployment.store.put(f"servers/{self.name}", value)

    @property
    def _free_mb(self) -> float:
        return self.stage.room_mb - sum(self.results.values())

    async def _handle(
        self, conn: Conn, method: str, path: str, headers: Headers, body: bytes
    ) -> bool:
        await self._world.garble.send_owed(conn, self.name)
        if headers.get("x-lagoontide-expect-instance", self.name) != self.name:
            await conn.answer(421, b"", {NOT_RUN: "1"})
            return True
        status, answer, fields = 200, b"", {}
        if path == "/lagoontide/stage-run":
            status, value, fields = await self._run(conn, json.loads(body)["items"])
            answer = json.dumps(value).encode()
        elif path == "/lagoontide/stage-free":
            for handle in json.loads(body)["handles"]:
                self.results.pop(handle, None)
        elif path == "/lagoontide/report":
            report = {
                "queued": self._queued,
                "busy": self._turn.locked(),
                "free_mb": int(max(0.0, self._free_mb)),
            }
            answer = json.dumps(report).encode()
        load = f"{int(self._turn.locked())},{self._queued},1,100"
        fields["X-Lagoontide-Server-Load"] = load
        data = encode_answer(status, answer, fields)
        await conn.send(data)
        if self.is_garbled:
            is_chosen = b'"room"' in answer and b'"handle"' not in answer
            self._world.garble.note(conn, self.name, data, is_chosen)
        return True

    async def _run(
        self, conn: Conn, items: list[dict[str, Any]]
    ) -> tuple[int, dict[str, Any], Headers]:
        """Make pieces, when their turn comes."""
        if self._queued >= 2:
            return 503, {}, {NOT_RUN: "1"}
        self._queued += 1
        async with self._turn:
            self._queued -= 1
            results = [self._make(item) for item in items]
            await asyncio.sleep(CALL_S + self.stage.piece_s * len(items))
        loop = asyncio.get_running_loop()
        for result in results:
            if "handle" in result:
                loop.call_later(KEPT_S, self.results.pop, result["handle"], None)
        pieces = [(item["id"], item["piece"]) for item in items]
        self._world.record(f"{self.name} conn {conn.number}: {pieces}: {results}")
        return 200, {"items": results}, {}

    def _make(self, item: dict[str, Any]) -> dict[str, str]:
        world = self._world
        if (inputs := item.get("inputs")) is not None:
            if not set(inputs) <= world.stored():
                return {"reason": "gone"}
            world.check(f"piece {item['piece']}", item["id"], item["stage"] - 1, inputs)
        # The configured size is approximate.
        size = self.stage.result_mb * world.rng.uniform(0.6, 1.4)
        if size > self._free_mb:
            return {"reason": "room"}
        handle = f"{self.server.address}/{next(world.handles):x}"
        self.results[handle] = size
        world.made[handle] = item["id"], item["stage"], item["piece"]
        return {"handle": handle}


class ModelReplica:
    """A model replica, which fetches a request's results before it runs it.

    Attributes
    ----------
    loss : float
        Share of the packets that its link loses.
    """

    def __init__(self, world: World, name: str) -> None:
        self.name = name
        self.is_garbled = False
        self.loss = 0.0
        self.server = Server(self._handle)
        self._world = world

    async def _handle(
        self, conn: Conn, method: str, path: str, headers: Headers, body: bytes
    ) -> bool:
        world = self._world
        packets = range(len(body) // PACKET_BYTES + 1)
        if lost := sum(world.rng.random() < self.loss for _ in packets):
            await asyncio.sleep(lost * RESEND_S)
        await world.garble.send_owed(conn, self.name)
        request_id = headers["x-lagoontide-request-id"]
        echo = {"X-Lagoontide-Request-Id": request_id}
        if headers.get("x-lagoontide-expect-instance", self.name) != self.name:
            await conn.answer(421, b"", {NOT_RUN: "1", **echo})
            return True
        given = headers.get("x-lagoontide-inputs", "").split(",")
        if not set(given) <= world.stored():
            world.record(f"{self.name} conn {conn.number}: {request_id}, input gone")
            data = await conn.answer(409, b"", {NOT_RUN: "1", **echo})
            if self.is_garbled:
                world.garble.note(conn, self.name, data, is_chosen=True)
            return True
        world.runs.setdefault(request_id, []).append(self.name)
        world.record(f"{self.name} conn {conn.number}: runs {request_id}")
        world.check("request", request_id, len(world.stages) - 1, given)
        await conn.send(stream_head(request_id, "seal.1"))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            await conn.send(chunk(event(number, "tokens")))
        await conn.send(chunk(b""))
        if self.is_garbled:
            world.garble.note(conn, self.name, b"", is_chosen=False)
        return True


def staged_configuration(
    stages: tuple[Stage, ...], max_attempts: int, is_resumable: bool
) -> dict[str, Any]:
    """Return a configuration with a route through stages, one after the other."""
    route = {
        "name": "drafts",
        "host": HOST,
        "prefix": "/draft/",
        "service": "models",
        "kind": "stream",
        "timeout_ms": 10000,
        "target_latency_ms": 2500,
        "max_attempts": max_attempts,
        "priority": 0,
        "sticky": True,
        "resume_streams": is_resumable,
        "gap_target_ms": 400,
        "stages": [
            {
                "service": stage.service,
                "after": [index - 1] if index else [],
                "bytes": stage.result_mb * 1e6,
            }
            for index, stage in enumerate(stages)
        ],
    }
    services: list[dict[str, Any]] = [
        {"name": "models", "health_path": "/health", "max_conns": 500}
    ]
    for stage in stages:
        settings = {
            "slots": 1,
            "queue": 2,
            "batch": stage.batch,
            "call_ms": CALL_S * 1000,
            "item_ms": stage.piece_s * 1000,
            "headroom_mb": stage.room_mb,
            "handle_s": KEPT_S,
            "link_mbps": 10000,
        }
        service = {"name": stage.service, "health_path": "/health", "max_conns": 500}
        services.append({**service, "pieces": settings})
    return {
        "version": 3,
        "routes": [route],
        "services": services,
        "tenants": TENANTS,
        "limits": LIMITS,
    }


async def run_load(
    world: World,
    address: tuple[str, int],
    rate: float,
    seconds: float,
    pick_pieces: Callable[[], tuple[int, ...]],
) -> None:
    """Send requests for some seconds, and wait for their answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    tasks = set()
    while loop.time() < until:
        request_id = f"{world.rng.getrandbits(64):016x}"
        world.pieces[request_id] = pick_pieces()
        tasks.add(asyncio.create_task(world.send(address, request_id)))
        await asyncio.sleep(world.rng.expovariate(rate))
    await asyncio.wait(tasks, timeout=12.0)
