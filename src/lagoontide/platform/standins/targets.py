"""Stand-ins for the platform's targets: plain services, engines and stages."""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import msgspec

from lagoontide.http1.messages import Fields, Response, ResponseHead, field_value
from lagoontide.http1.server import HttpLimits, Listener, Request, ResponseWriter
from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.fields import (
    INPUTS,
    INSTANCE,
    LAST_EVENT,
    LEAVING,
    MISDIRECTED_STATUS,
    NOT_RUN,
    RATE_LIMIT,
    REQUEST_ID,
    RESPONSE_SEAL,
    TARGET,
    TOKEN_COUNTS,
)
from lagoontide.platform.pieces import FREE_PATH, REPORT_PATH, RUN_PATH
from lagoontide.platform.standins.events import make_event, send_late
from lagoontide.platform.standins.ports import HOST, reserve_ports
from lagoontide.platform.standins.responses import json_response
from lagoontide.platform.standins.runs import (
    Run,
    SilentAt,
    TargetFault,
    encode_registration,
    make_run,
)
from lagoontide.platform.standins.store import StoreStandin
from lagoontide.tasks import TaskSet

__all__ = ["TargetStandin"]

SLOTS = 8
SILENCE_S = (0.3, 2.0)


@dataclass(slots=True)
class TargetStandin:
    """A target of one service.

    Attributes
    ----------
    work : float
        Seconds to serve a request or, when streaming, each event.
    events : int
        Default number of events in a stream; 0 for a plain service.
    cancelled_requests : int
        Number of requests cancelled because the caller disconnected.
    sends_event_ids : bool
        Whether events carry an ``id:`` line; ``id_step`` apart from one to the next.
    runs : Counter
        Executions of each request, by id, and of each piece, as ``ID/STAGE/PIECE``.
    advertised_address : str
        Address to register in place of the target's own.
    log : list of Run
        Requests executed, in order of their start.
    leaving : tuple of str
        Values of the field by which every response says that the target is leaving.
    rate_limit : str
        Text of the rate limit named in every response; empty for none.
    arrived_at : list of float
        Event loop time of each request, of every kind.
    pieces_by_handle : dict
        Request id, stage and piece number of each result, by handle.
    fault : TargetFault
        TargetFault of the next ``faults_left`` requests.
    silence : float
        Seconds for which a silent target sends nothing before it goes on.
    silent_at : SilentAt
        Where in the response it falls silent; plain responses have one such point.
    crashes_on : callable
        Returns whether a run makes the target crash as it begins to respond.
    shows_head : bool
        Whether the head of the response arrives before the crash.
    crashes_on_piece : callable
        The same for a piece, given as in the call.
    restart_after : float
        Seconds from a crash to the start of the next incarnation.
    version : str
        Version of its software, which it writes into its events.
    next_version : str
        Version of the next incarnation; empty for the same.
    keeps_id : bool
        Whether the next incarnation has the same id.
    crashed_at : list of float
        Event loop time of each crash.
    down : list of tuple
        Event loop times between which it is down after a crash.
    on_crash, on_restart : callable
        Called once the target has stopped, and before it listens again.
    """

    id: str
    service: str
    work: float = 0.005
    events: int = 0
    room: int = 1000
    needs_inputs: bool = False
    cancelled_requests: int = 0
    sends_event_ids: bool = True
    id_step: int = 1
    fault: TargetFault = TargetFault.NONE
    faults_left: int = 0
    events_before_fault: int = 2
    silence: float = 1.0
    silent_at: SilentAt = SilentAt.BETWEEN
    rate_limit: str = ""
    leaving: tuple[str, ...] = ()
    crashes_on: Callable[[Run], bool] = lambda run: False
    shows_head: bool = True
    crashes_on_piece: Callable[[dict[str, Any]], bool] = lambda item: False
    restart_after: float = 1.0
    keeps_id: bool = False
    crashed_at: list[float] = field(default_factory=list)
    down: list[tuple[float, float]] = field(default_factory=list)
    on_crash: Callable[[], None] = lambda: None
    on_restart: Callable[[], None] = lambda: None
    arrived_at: list[float] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    log: list[Run] = field(default_factory=list)
    pieces_by_handle: dict[str, tuple[str, int, int]] = field(default_factory=dict)
    received_requests: list[Request] = field(default_factory=list)
    result_handles: set[str] = field(default_factory=set)
    calls: list[int] = field(default_factory=list)
    address: str = ""
    version: str = "v1"
    next_version: str = ""
    advertised_address: str = ""
    _handle_ids: Any = field(default_factory=lambda: count(1))
    _ports: contextlib.ExitStack = field(default_factory=contextlib.ExitStack)
    _listener: Listener | None = None
    _active_calls: int = 0
    _store: StoreStandin | None = None
    _zone: str = ""
    _born: int = 1
    _state: str = "ready"
    _is_down: bool = False
    _restarts: TaskSet = field(default_factory=TaskSet)

    async def start(self, store: StoreStandin, zone: str = "z1", born: int = 1) -> None:
        """Start listening and register in the store."""
        await self.listen()
        self.register(store, zone, born)

    async def listen(self, host: str = HOST, port: int = 0) -> None:
        """Start listening and set the address; a port that it chooses stays its own."""
        port = port or reserve_ports(self._ports, 1, host)[0]
        self._listener = Listener(self._handle, HttpLimits)
        self.address = f"{host}:{await self._listener.start(host, port)}"

    @property
    def name(self) -> str:
        """Its first id, which later incarnations extend."""
        return self.id.partition("~")[0]

    @property
    def is_up(self) -> bool:
        """Whether it is running, not crashed."""
        return self.address != "" and not self._is_down

    @property
    def is_busy(self) -> bool:
        """Whether a request is in flight."""
        return self._listener is not None and self._listener.in_flight > 0

    @property
    def requests(self) -> Counter[str]:
        """Executions of each request by id, without those of pieces."""
        return Counter(run.request_id for run in self.log)

    def register(
        self, store: StoreStandin, zone: str = "z1", born: int = 0, state: str = "ready"
    ) -> None:
        """Write its registration to the store; ``born`` stays as it was if it is 0."""
        self._store, self._zone, self._state = store, zone, state
        self._born = born or self._born
        store.put(TARGETS_PREFIX + self.id, self.entry(zone, self._born, state))

    def write_again(self) -> None:
        """Repeat the registration, after the store was restored from a copy."""
        if self._store is not None and self.is_up:
            self.register(self._store, self._zone, self._born, self._state)

    def entry(self, zone: str, born: int = 1, state: str = "ready") -> bytes:
        """Return the value of this target's key in the store."""
        address = self.advertised_address or self.address
        return encode_registration(
            self.service, address, zone, SLOTS, born, state, self.version
        )

    def crash(self) -> None:
        """End abruptly and start again later, as another incarnation."""
        if self._is_down:
            return
        self._is_down = True
        self.crashed_at.append(asyncio.get_running_loop().time())
        self.down.append((self.crashed_at[-1], float("inf")))
        self._restarts.start(self._crash_and_restart())

    async def _crash_and_restart(self) -> None:
        host, _, port = self.address.rpartition(":")
        if self._listener is not None:
            await self._listener.close()
        self.on_crash()
        await asyncio.sleep(self.restart_after)
        self.result_handles.clear()
        self.version = self.next_version or self.version
        self.on_restart()
        await self.listen(host, int(port))
        self._is_down = False
        self.down[-1] = self.crashed_at[-1], asyncio.get_running_loop().time()
        if self._store is None or self._state != "ready":
            return
        if not self.keeps_id:
            # The lease of the registration has run out.
            self._store.delete(TARGETS_PREFIX + self.id)
            self.id = f"{self.name}~{len(self.crashed_at)}"
        self.register(self._store, self._zone, self._born + 1)

    def draw_silence(self, rng: random.Random) -> None:
        """Draw where and for how long it is silent if it is."""
        self.silent_at = rng.choice(list(SilentAt))
        self.silence = rng.uniform(*SILENCE_S)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._restarts.cancel()
        if self._listener is not None:
            await self._listener.close()
        self._ports.close()

    @property
    def _state_fields(self) -> Fields:
        limits = [self.rate_limit.encode()] if self.rate_limit else []
        return [
            (INSTANCE, self.id.encode()),
            *((RATE_LIMIT, value) for value in limits),
            *((LEAVING, value.encode()) for value in self.leaving),
        ]

    async def _handle(self, req: Request, reply: ResponseWriter) -> None:
        self.arrived_at.append(asyncio.get_running_loop().time())
        match req.head.path:
            case path if path == RUN_PATH:
                await self._run_pieces(req, reply)
            case path if path == FREE_PATH:
                self.result_handles -= set(msgspec.json.decode(req.body)["handles"])
                await reply.send(Response(200, self._state_fields))
            case path if path == REPORT_PATH:
                free = max(0, self.room - len(self.result_handles))
                busy = self._active_calls > 0
                report = {"queued": 0, "busy": busy, "free_mb": free}
                await reply.send(self._json_response(report))
            case _:
                await self._serve(req, reply)

    async def _serve(self, req: Request, reply: ResponseWriter) -> None:
        fields = req.head.fields
        request_id = (field_value(fields, REQUEST_ID.lower()) or b"").decode()
        echo = (REQUEST_ID, request_id.encode())
        response_fields: Fields = [echo, *self._state_fields]
        expected_id = field_value(fields, TARGET.lower())
        if expected_id is not None and expected_id.decode() != self.id:
            await reply.send(Response(MISDIRECTED_STATUS, response_fields))
            return
        if self.needs_inputs and not field_value(fields, INPUTS.lower()):
            await reply.send(Response(409, [*response_fields, (NOT_RUN, b"1")]))
            return
        fault = self._next_fault()
        if fault is TargetFault.FULL:
            await reply.send(Response(503, [*response_fields, (NOT_RUN, b"1")]))
            return
        self.runs[request_id] += 1
        run = make_run(request_id, fields)
        self.log.append(run)
        self.received_requests.append(req)
        if self.crashes_on(run):
            await self._begin_and_crash(reply, response_fields)
            return
        if fault is not TargetFault.NO_SEAL:
            response_fields.append((RESPONSE_SEAL, f"seal-{self.id}".encode()))
        try:
            if self.events:
                await self._send_stream(req, reply, response_fields, fault)
            else:
                await self._send_response(req, reply, response_fields, fault)
        except asyncio.CancelledError:
            self.cancelled_requests += 1
            raise

    async def _send_response(
        self,
        req: Request,
        reply: ResponseWriter,
        response_fields: Fields,
        fault: TargetFault,
    ) -> None:
        await asyncio.sleep(3600 if fault is TargetFault.STALLS else self.work)
        if fault is TargetFault.SILENT:
            await asyncio.sleep(self.silence)
        if fault is TargetFault.RUNS_AND_CUTS:
            return
        status = 500 if fault is TargetFault.FAILS else 200
        await reply.send(Response(status, response_fields, b"done:" + req.body))
        if fault is TargetFault.EXTRA_ANSWER:
            extra = b"HTTP/1.1 200 OK\r\nX-Lagoontide-Request-Id: other\r\n"
            await reply.write_raw(extra + b"Content-Length: 5\r\n\r\nwrong")

    async def _send_stream(
        self,
        req: Request,
        reply: ResponseWriter,
        response_fields: Fields,
        fault: TargetFault,
    ) -> None:
        last_event = field_value(req.head.fields, LAST_EVENT.lower())
        first = int(last_event) // self.id_step + 1 if last_event else 1
        token_counts = field_value(req.head.fields, TOKEN_COUNTS.lower())
        total = int(token_counts.split(b",")[1]) if token_counts else self.events
        is_silent = fault is TargetFault.SILENT
        if is_silent and self.silent_at is SilentAt.HEAD:
            await asyncio.sleep(self.silence)
        await reply.start(ResponseHead(200, response_fields))
        if is_silent and self.silent_at is SilentAt.FIRST_EVENT:
            await asyncio.sleep(self.silence)
        for number in range(first, total + 1):
            await asyncio.sleep(self.work)
            is_due = number - first == self.events_before_fault
            event_id = number * self.id_step
            event = make_event(event_id, self.version, self.sends_event_ids)
            if is_silent and is_due:
                await send_late(reply, event, self.silence, self.silent_at)
                continue
            if fault is not TargetFault.NONE and not is_silent and is_due:
                if fault is TargetFault.STALLS:
                    await asyncio.sleep(3600)
                await reply.send_data(b"id: %d\nda" % number)
                return
            await reply.send_data(event)
        await reply.finish()

    async def _begin_and_crash(
        self, reply: ResponseWriter, response_fields: Fields
    ) -> None:
        await asyncio.sleep(self.work)
        seal = (RESPONSE_SEAL, f"seal-{self.id}".encode())
        if self.shows_head:
            await reply.start(ResponseHead(200, [*response_fields, seal]))
        await asyncio.sleep(self.work)
        self.crash()
        await asyncio.sleep(self.restart_after)

    async def _run_pieces(self, req: Request, reply: ResponseWriter) -> None:
        items = msgspec.json.decode(req.body)["items"]
        self.calls.append(len(items))
        if self._next_fault() is TargetFault.FULL:
            await reply.send(Response(503, [(NOT_RUN, b"1"), *self._state_fields]))
            return
        self._active_calls += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self._active_calls -= 1
        if any(map(self.crashes_on_piece, items)):
            self.crash()
            await asyncio.sleep(self.restart_after)
            return
        results = [self._run_piece(item) for item in items]
        await reply.send(self._json_response({"items": results}))

    def _json_response(self, value: object) -> Response:
        return json_response(value, fields=self._state_fields)

    def _run_piece(self, item: dict[str, Any]) -> dict[str, str]:
        if len(self.result_handles) >= self.room:
            return {"reason": "room"}
        handle = f"{self.advertised_address or self.address}/{next(self._handle_ids):x}"
        self.result_handles.add(handle)
        self.pieces_by_handle[handle] = item["id"], item["stage"], item["piece"]
        self.runs[f"{item['id']}/{item['stage']}/{item['piece']}"] += 1
        return {"handle": handle}

    def _next_fault(self) -> TargetFault:
        if self.faults_left <= 0:
            return TargetFault.NONE
        self.faults_left -= 1
        return self.fault
