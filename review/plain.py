"""A plain service, its clients and its configuration."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from standins import NOT_RUN, Client, Conn, Headers, Record, Server

WORK_S, PAUSE_S = 0.06, 0.15
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 5000,
    "idle_timeout_ms": 30000,
}
TENANTS = [{"name": "town", "api_keys": ["key-1"]}]


def plain_configuration(kind: str = "safe") -> dict[str, Any]:
    """Return a configuration with a route to the service ``credits``."""
    route = {
        "name": "lookup",
        "host": "credits.example",
        "prefix": "/lookup/",
        "service": "credits",
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "max_attempts": 2 if kind == "safe" else 1,
        "priority": 2,
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [
            {"name": "credits", "health_path": "/health", "max_conns": 100},
        ],
        "tenants": TENANTS,
        "limits": LIMITS,
    }


class PlainReplica:
    """A replica of the plain service; ``on_run`` is told of what it runs."""

    def __init__(
        self, name: str, record: Record, on_run: Callable[[str], None] = lambda _: None
    ) -> None:
        self.name = name
        self.server = Server(self._handle)
        self._record = record
        self._on_run = on_run

    async def _handle(
        self, conn: Conn, method: str, path: str, headers: Headers, body: bytes
    ) -> bool:
        request_id = headers.get("x-lagoontide-request-id", "")
        echo = {"X-Lagoontide-Request-Id": request_id}
        if headers.get("x-lagoontide-expect-instance", self.name) != self.name:
            await conn.answer(421, b"", {NOT_RUN: "1", **echo})
            return True
        self._record(f"{self.name} runs {request_id}")
        self._on_run(request_id)
        await asyncio.sleep(WORK_S)
        await conn.answer(200, b"done", {**echo, "X-Lagoontide-Response-Seal": "s.1"})
        return True


class PlainClients:
    """Clients of the plain service, and counts of what they sent and got."""

    def __init__(self, record: Record, rng: random.Random) -> None:
        self.counts = {"sent": 0, "200": 0, "unanswered": 0}
        self._record = record
        self._rng = rng

    async def call(self, address: tuple[str, int], until: float) -> None:
        """Send requests on a kept connection, one after the other, until a time."""
        client = Client(address)
        while time.monotonic() < until:
            request_id = f"{self._rng.getrandbits(64):016x}"
            headers = {
                "Host": "credits.example",
                "X-Lagoontide-Request-Id": request_id,
                "X-Lagoontide-Deadline-Ms": "1500",
                "Authorization": "Bearer key-1",
            }
            self.counts["sent"] += 1
            self._record(f"{request_id} sent to {address[0]}")
            answer = await client.request("GET", "/lookup/1", headers)
            status = answer.status if answer else "nothing"
            self.counts["200"] += status == 200
            self.counts["unanswered"] += answer is None
            self._record(f"{request_id} answered: {status}")
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * PAUSE_S)
        client.close()
