"""The stand-ins over HTTP, with a control port for their faults."""

import base64
import os
import queue
from collections.abc import Callable, Coroutine, Iterator
from http import HTTPStatus
from typing import Any

import msgspec

from lagoontide.errors import (
    LagoontideError,
    StoreConflict,
    StoreUnavailable,
    TargetFailed,
    TargetRejectedInput,
)
from lagoontide.httpd import LoopBridge, read_body
from lagoontide.standins.engine import Engine, Order
from lagoontide.standins.faults import FaultOrder, Faults
from lagoontide.standins.instances import LaggingList
from lagoontide.standins.ledger import Ledger
from lagoontide.standins.plain import PlainTarget
from lagoontide.standins.store import MemoryStore
from lagoontide.store.httpstore import KeyValueJson
from lagoontide.store.kv import KeyValue
from lagoontide.targets.http import Prompt, TargetRequest, TokenLine

__all__ = [
    "make_control_app",
    "make_instances_app",
    "make_store_app",
    "make_target_app",
]

MAX_BODY_BYTES = 8 << 20
STREAM_BUDGET_S = 600.0
EXIT_KILLED = 1

StartResponse = Callable[..., Any]
Environ = dict[str, Any]
StandIn = PlainTarget | Engine


def _send_json(start: StartResponse, value: Any, status: HTTPStatus) -> list[bytes]:
    body = value if isinstance(value, bytes) else msgspec.json.encode(value)
    start(
        f"{status.value} {status.phrase}",
        [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
    )
    return [body]


class TargetApp:
    """WSGI application of a target."""

    def __init__(self, target: StandIn, bridge: LoopBridge) -> None:
        self._target = target
        self._bridge = bridge

    def __call__(self, environ: Environ, start: StartResponse) -> Any:
        verb, _, rest = environ["PATH_INFO"].strip("/").partition("/")
        try:
            match verb:
                case "run":
                    work = self._make_work(environ, rest)
                    body = self._bridge.call(self._target.run(work))
                    return _send_json(start, body, HTTPStatus.OK)
                case "generate":
                    return self._stream(environ, rest, start)
                case "cancel":
                    self._bridge.call(self._target.cancel(rest))
                    return _send_json(start, {}, HTTPStatus.OK)
                case "load":
                    load = self._bridge.call(self._get_load())
                    return _send_json(start, load, HTTPStatus.OK)
                case "orders" if isinstance(self._target, Engine):
                    order = msgspec.json.decode(
                        read_body(environ, MAX_BODY_BYTES), type=Order
                    )
                    self._bridge.call(self._take_order(self._target, order))
                    return _send_json(start, {}, HTTPStatus.OK)
                case "health":
                    return _send_json(start, {"healthy": True}, HTTPStatus.OK)
                case _:
                    return _send_json(start, {}, HTTPStatus.NOT_FOUND)
        except TargetRejectedInput as exc:
            return _send_json(
                start, {"error": exc.message}, HTTPStatus.UNPROCESSABLE_ENTITY
            )
        except TargetFailed as exc:
            status = HTTPStatus.BAD_GATEWAY if exc.ran else HTTPStatus.TOO_MANY_REQUESTS
            return _send_json(start, {"error": exc.message}, status)
        except LagoontideError as exc:
            return _send_json(
                start, {"error": exc.message}, HTTPStatus.TOO_MANY_REQUESTS
            )

    async def _get_load(self) -> Any:
        return self._target.load()

    @staticmethod
    async def _take_order(engine: Engine, order: Order) -> None:
        engine.order(order)

    @staticmethod
    def _make_work(
        environ: Environ,
        operation: str,
        body: bytes = b"",
        resume: tuple[str, ...] = (),
    ) -> TargetRequest:
        return TargetRequest(
            attempt=environ.get("HTTP_X_ATTEMPT", ""),
            request=environ.get("HTTP_X_REQUEST", ""),
            operation=operation,
            body=body or read_body(environ, MAX_BODY_BYTES),
            budget=STREAM_BUDGET_S,
            priority=environ.get("HTTP_X_PRIORITY", "normal"),
            resume=resume,
        )

    def _stream(
        self, environ: Environ, operation: str, start: StartResponse
    ) -> Iterator[bytes]:
        prompt = msgspec.json.decode(read_body(environ, MAX_BODY_BYTES), type=Prompt)
        work = self._make_work(environ, operation, bytes(prompt.inputs), prompt.resume)
        lines: queue.SimpleQueue[TokenLine | None] = queue.SimpleQueue()

        def on_tokens(offset: int, tokens: list[str]) -> None:
            lines.put(TokenLine(offset, tokens))

        async def run() -> None:
            try:
                await self._target.stream(work, on_tokens)
                lines.put(TokenLine(done=True))
            except LagoontideError as exc:
                refused = isinstance(exc, TargetRejectedInput)
                lines.put(TokenLine(error=exc.message, refused=refused))
            finally:
                lines.put(None)

        self._bridge.submit(run())
        start("200 OK", [("Content-Type", "application/x-ndjson")])
        return (msgspec.json.encode(line) + b"\n" for line in iter(lines.get, None))


class StoreApp:
    """WSGI application of the store."""

    def __init__(self, store: MemoryStore, bridge: LoopBridge) -> None:
        self._store = store
        self._bridge = bridge

    def __call__(self, environ: Environ, start: StartResponse) -> list[bytes]:
        step = environ["PATH_INFO"].removeprefix("/v1/")
        fields = msgspec.json.decode(read_body(environ, MAX_BODY_BYTES), type=dict)
        if "value" in fields:
            fields["value"] = base64.b64decode(fields["value"])
        try:
            result = self._bridge.call(self._find_call(step)(**fields))
        except StoreConflict as exc:
            return _send_json(start, {"error": exc.message}, HTTPStatus.CONFLICT)
        except StoreUnavailable as exc:
            return _send_json(
                start, {"error": exc.message}, HTTPStatus.SERVICE_UNAVAILABLE
            )
        return _send_json(start, _to_json(result), HTTPStatus.OK)

    def _find_call(self, step: str) -> Callable[..., Coroutine[Any, Any, Any]]:
        calls: dict[str, Callable[..., Coroutine[Any, Any, Any]]] = {
            "get": self._store.get,
            "scan": self._store.scan,
            "swap": self._store.swap,
            "delete": self._store.delete,
            "grant": self._store.grant,
            "renew": self._store.renew,
            "watch": self._store.watch,
        }
        return calls[step]


def _to_json(result: Any) -> Any:
    if isinstance(result, KeyValue):
        value = base64.b64encode(result.value).decode()
        return KeyValueJson(result.key, result.version, value)
    if isinstance(result, list):
        return [_to_json(item) for item in result]
    return result


class InstancesApp:
    """WSGI application of the instance list."""

    def __init__(self, instances: LaggingList, bridge: LoopBridge) -> None:
        self._instances = instances
        self._bridge = bridge

    def __call__(self, environ: Environ, start: StartResponse) -> list[bytes]:
        try:
            listed = self._bridge.call(self._instances.list())
        except StoreUnavailable as exc:
            return _send_json(
                start, {"error": exc.message}, HTTPStatus.SERVICE_UNAVAILABLE
            )
        return _send_json(start, listed, HTTPStatus.OK)


class ControlApp:
    """WSGI application of a control port: faults, ledger and sudden death."""

    def __init__(
        self, faults: Faults, ledger: Ledger | None, bridge: LoopBridge
    ) -> None:
        self._faults = faults
        self._ledger = ledger
        self._bridge = bridge

    def __call__(self, environ: Environ, start: StartResponse) -> list[bytes]:
        match environ["PATH_INFO"]:
            case "/faults":
                try:
                    order = msgspec.json.decode(
                        read_body(environ, MAX_BODY_BYTES), type=FaultOrder
                    )
                except msgspec.DecodeError as exc:
                    return _send_json(
                        start, {"error": str(exc)}, HTTPStatus.BAD_REQUEST
                    )
                self._bridge.call(self._apply(order))
                return _send_json(start, {}, HTTPStatus.OK)
            case "/ledger" if self._ledger is not None:
                return _send_json(start, self._ledger.executions, HTTPStatus.OK)
            case "/die":
                os._exit(EXIT_KILLED)
            case _:
                return _send_json(start, {}, HTTPStatus.NOT_FOUND)

    async def _apply(self, order: FaultOrder) -> None:
        self._faults.apply(order)


def make_target_app(target: StandIn, bridge: LoopBridge) -> TargetApp:
    """Return the WSGI application of a target."""
    return TargetApp(target, bridge)


def make_store_app(store: MemoryStore, bridge: LoopBridge) -> StoreApp:
    """Return the WSGI application of a store."""
    return StoreApp(store, bridge)


def make_instances_app(instances: LaggingList, bridge: LoopBridge) -> InstancesApp:
    """Return the WSGI application of an instance list."""
    return InstancesApp(instances, bridge)


def make_control_app(
    faults: Faults, ledger: Ledger | None, bridge: LoopBridge
) -> ControlApp:
    """Return the WSGI application of a control port."""
    return ControlApp(faults, ledger, bridge)
