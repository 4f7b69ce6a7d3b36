"""Stand-ins for the platform's replicas: plain services, engines and stages."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count
from typing import Any

import msgspec

from lagoontide.http1.messages import Fields, Response, ResponseHead, field_value
from lagoontide.http1.server import Listener, Reply, Request, WireLimits
from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.fields import (
    INPUTS,
    LAST_EVENT,
    MISDIRECTED_STATUS,
    NOT_RUN,
    REQUEST_ID,
    SEAL,
    TARGET,
    TOKENS,
)
from lagoontide.platform.pieces import FREE_PATH, REPORT_PATH, RUN_PATH
from lagoontide.platform.standins.answers import json_answer
from lagoontide.platform.standins.ports import HOST
from lagoontide.platform.standins.store import StoreStandin

__all__ = ["Fault", "Run", "TargetStandin", "make_entry"]

SLOTS = 8


class Fault(StrEnum):
    """What a replica does wrong with the next requests."""

    NONE = "none"
    FULL = "full"
    RUNS_AND_CUTS = "runs and cuts"
    FAILS = "fails"
    NO_SEAL = "no seal"
    STALLS = "stalls"
    EXTRA_ANSWER = "extra answer"


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a replica began to work on.

    Attributes
    ----------
    at : float
        Loop time.
    inputs : tuple of str
        Results of stages that it was given.
    """

    request_id: str
    at: float
    inputs: tuple[str, ...]


def make_entry(
    service: str,
    address: str,
    zone: str,
    slots: int,
    born: int = 1,
    state: str = "ready",
) -> bytes:
    """Return what a replica says of itself in the store."""
    entry = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": state,
        "seq": 1,
        "born": born,
    }
    return msgspec.json.encode(entry)


@dataclass(slots=True)
class TargetStandin:
    """A replica of one service.

    Attributes
    ----------
    work : float
        Seconds that a request takes; of an engine, each event.
    events : int
        Events of a stream; 0 for a plain service.
    left_early : int
        Requests whose caller left before their end.
    numbers_events : bool
        Whether events say their numbers.
    runs : Counter
        How often each request, or each piece as ``ID/STAGE/PIECE``, has run here.
    shown : str
        The address that it registers, if that is not its own.
    log : list of Run
        Requests that have run here, in order.
    made : dict
        Request, stage and number of the piece that each result is of.
    fault : Fault
        What it does wrong while ``faults_left`` is above 0.
    """

    id: str
    service: str
    work: float = 0.005
    events: int = 0
    room: int = 1000
    needs_inputs: bool = False
    left_early: int = 0
    numbers_events: bool = True
    fault: Fault = Fault.NONE
    faults_left: int = 0
    fails_after: int = 2
    runs: Counter[str] = field(default_factory=Counter)
    log: list[Run] = field(default_factory=list)
    made: dict[str, tuple[str, int, int]] = field(default_factory=dict)
    seen: list[Request] = field(default_factory=list)
    results: set[str] = field(default_factory=set)
    calls: list[int] = field(default_factory=list)
    address: str = ""
    shown: str = ""
    _numbers: Any = field(default_factory=lambda: count(1))
    _listener: Listener | None = None
    _making: int = 0

    async def start(self, store: StoreStandin, zone: str = "z1", born: int = 1) -> None:
        """Listen, and register in the store."""
        await self.listen()
        self.register(store, zone, born)

    async def listen(self, host: str = HOST, port: int = 0) -> None:
        """Listen; the address is known then."""
        self._listener = Listener(self._handle, WireLimits)
        taken = await self._listener.start(host, port)
        self.address = f"{host}:{taken}"

    @property
    def is_busy(self) -> bool:
        """Whether a request is under way."""
        return self._listener is not None and self._listener.in_flight > 0

    @property
    def requests(self) -> Counter[str]:
        """How often each request has run here, pieces left out."""
        return Counter(run.request_id for run in self.log)

    def register(
        self, store: StoreStandin, zone: str = "z1", born: int = 1, state: str = "ready"
    ) -> None:
        """Write this replica's entry."""
        store.put(TARGETS_PREFIX + self.id, self.entry(zone, born, state))

    def entry(self, zone: str, born: int = 1, state: str = "ready") -> bytes:
        """Return what this replica says of itself in the store."""
        address = self.shown or self.address
        return make_entry(self.service, address, zone, SLOTS, born, state)

    async def close(self) -> None:
        """Stop, cutting all connections."""
        if self._listener is not None:
            await self._listener.close()

    async def _handle(self, req: Request, reply: Reply) -> None:
        match req.head.path:
            case path if path == RUN_PATH:
                await self._make(req, reply)
            case path if path == FREE_PATH:
                self.results -= set(msgspec.json.decode(req.body)["handles"])
                await reply.send(Response(200))
            case path if path == REPORT_PATH:
                free = max(0, self.room - len(self.results))
                busy = self._making > 0
                await reply.send(
                    json_answer({"queued": 0, "busy": busy, "free_mb": free})
                )
            case _:
                await self._serve(req, reply)

    async def _serve(self, req: Request, reply: Reply) -> None:
        fields = req.head.fields
        request_id = (field_value(fields, REQUEST_ID.lower()) or b"").decode()
        marks: Fields = [(REQUEST_ID, request_id.encode())]
        meant = field_value(fields, TARGET.lower())
        if meant is not None and meant.decode() != self.id:
            await reply.send(Response(MISDIRECTED_STATUS, marks))
            return
        if self._lacks_inputs(fields):
            await reply.send(Response(409, [*marks, (NOT_RUN, b"1")]))
            return
        fault = self._next_fault()
        if fault is Fault.FULL:
            await reply.send(Response(503, [*marks, (NOT_RUN, b"1")]))
            return
        self.runs[request_id] += 1
        self.log.append(_make_run(request_id, fields))
        self.seen.append(req)
        if fault is not Fault.NO_SEAL:
            marks.append((SEAL, f"seal-{self.id}".encode()))
        try:
            if self.events:
                await self._stream(req, reply, marks, fault)
            else:
                await self._whole(req, reply, marks, fault)
        except asyncio.CancelledError:
            self.left_early += 1
            raise

    async def _whole(
        self, req: Request, reply: Reply, marks: Fields, fault: Fault
    ) -> None:
        await asyncio.sleep(3600 if fault is Fault.STALLS else self.work)
        if fault is Fault.RUNS_AND_CUTS:
            return
        status = 500 if fault is Fault.FAILS else 200
        await reply.send(Response(status, marks, b"done:" + req.body))
        if fault is Fault.EXTRA_ANSWER:
            extra = b"HTTP/1.1 200 OK\r\nX-Lagoontide-Request-Id: other\r\n"
            await reply.write_raw(extra + b"Content-Length: 5\r\n\r\nwrong")

    async def _stream(
        self, req: Request, reply: Reply, marks: Fields, fault: Fault
    ) -> None:
        last = field_value(req.head.fields, LAST_EVENT.lower())
        first = int(last) + 1 if last else 1
        asked = field_value(req.head.fields, TOKENS.lower())
        total = int(asked.split(b",")[1]) if asked else self.events
        await reply.start(ResponseHead(200, marks))
        for number in range(first, total + 1):
            await asyncio.sleep(self.work)
            if fault is not Fault.NONE and number - first == self.fails_after:
                if fault is Fault.STALLS:
                    await asyncio.sleep(3600)
                await reply.send_data(b"id: %d\nda" % number)
                return
            name = b"id: %d\n" % number if self.numbers_events else b""
            await reply.send_data(b"%sdata: token %d\n\n" % (name, number))
        await reply.finish()

    async def _make(self, req: Request, reply: Reply) -> None:
        items = msgspec.json.decode(req.body)["items"]
        self.calls.append(len(items))
        if self._next_fault() is Fault.FULL:
            await reply.send(Response(503, [(NOT_RUN, b"1")]))
            return
        self._making += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self._making -= 1
        await reply.send(
            json_answer({"items": [self._make_one(item) for item in items]})
        )

    def _make_one(self, item: dict[str, Any]) -> dict[str, str]:
        if len(self.results) >= self.room:
            return {"reason": "room"}
        handle = f"{self.shown or self.address}/{next(self._numbers):x}"
        self.results.add(handle)
        self.made[handle] = item["id"], item["stage"], item["piece"]
        self.runs[f"{item['id']}/{item['stage']}/{item['piece']}"] += 1
        return {"handle": handle}

    def _lacks_inputs(self, fields: Fields) -> bool:
        return self.needs_inputs and not field_value(fields, INPUTS.lower())

    def _next_fault(self) -> Fault:
        if self.faults_left <= 0:
            return Fault.NONE
        self.faults_left -= 1
        return self.fault


def _make_run(request_id: str, fields: Fields) -> Run:
    inputs = field_value(fields, INPUTS.lower())
    handles = tuple(inputs.decode().split(",")) if inputs else ()
    return Run(request_id, asyncio.get_running_loop().time(), handles)
