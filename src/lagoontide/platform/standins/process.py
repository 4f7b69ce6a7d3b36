"""Runs stand-ins of the platform as separate processes."""

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from loguru import logger

from lagoontide.errors import (
    LagoontideError,
    SettingsError,
    StoreUnavailable,
    UsageError,
)
from lagoontide.http1.server import (
    Handler,
    HttpLimits,
    Listener,
    Request,
    ResponseWriter,
)
from lagoontide.httpd import split_address
from lagoontide.lifecycle import run_until_signal
from lagoontide.platform.configuration import CONFIGURATION_KEY, decode_config
from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.standins.responses import json_response
from lagoontide.platform.standins.runs import TargetFault
from lagoontide.platform.standins.store import StoreEndpoint, StoreFault, StoreStandin
from lagoontide.platform.standins.targets import TargetStandin
from lagoontide.platform.store import PlatformStore

__all__ = ["run_store", "run_target"]

REGISTER_RETRY_S = 0.1
# Lets a target stop while the store is down.
DRAIN_NOTICE_TIMEOUT_S = 2.0
DRAIN_POLL_S = 0.02

# Handles one path of the control port: request body in, JSON value out.
ControlHandler = Callable[[bytes], Any]


class _StoreFaultCommand(msgspec.Struct):
    trouble: StoreFault


class _TargetFaultCommand(msgspec.Struct):
    fault: TargetFault
    count: int = 1


async def run_store(listen: str, control: str, configuration: str) -> int:
    """Serve a store until SIGTERM or SIGINT.

    Parameters
    ----------
    configuration : str
        Path of the initial configuration in the store's format, or "" for none.
    """
    store = StoreStandin()
    endpoint = StoreEndpoint(store)

    def configure(body: bytes) -> int:
        decode_config(body)
        return store.put(CONFIGURATION_KEY, body)

    def trouble(body: bytes) -> str:
        endpoint.trouble = msgspec.json.decode(body, type=_StoreFaultCommand).trouble
        return endpoint.trouble.value

    control_handlers: dict[str, ControlHandler] = {
        "/configuration": configure,
        "/trouble": trouble,
        "/compact": lambda _: store.compact(),
    }
    if configuration:
        configure(_read_file(Path(configuration)))
    async with contextlib.AsyncExitStack() as stack:
        await endpoint.start(*_parse_address(listen))
        stack.push_async_callback(endpoint.close)
        await _serve_control(stack, control, control_handlers)
        return await run_until_signal([], _skip_drain)


async def run_target(
    target: TargetStandin, listen: str, control: str, store_address: str, domain: str
) -> int:
    """Serve a target until SIGTERM or SIGINT, then mark it draining and drain it.

    Parameters
    ----------
    domain : str
        Failure domain of the target.
    """
    store = PlatformStore(*_parse_address(store_address))
    async with contextlib.AsyncExitStack() as stack:
        await target.listen(*_parse_address(listen))
        stack.push_async_callback(target.close)
        await _serve_control(stack, control, _target_control_handlers(target))
        stack.callback(store.renew_connections)

        async def drain() -> bool:
            try:
                async with asyncio.timeout(DRAIN_NOTICE_TIMEOUT_S):
                    await _register(store, target, domain, "draining")
            except TimeoutError:
                logger.warning(
                    "target {}: timed out marking it as draining in the store",
                    target.id,
                )
            while target.is_busy:
                await asyncio.sleep(DRAIN_POLL_S)
            return True

        async def register() -> None:
            await _register(store, target, domain, "ready")
            await asyncio.Event().wait()

        return await run_until_signal([register()], drain)


def _target_control_handlers(target: TargetStandin) -> dict[str, ControlHandler]:
    def fault(body: bytes) -> str:
        command = msgspec.json.decode(body, type=_TargetFaultCommand)
        target.fault, target.faults_left = command.fault, command.count
        return command.fault.value

    def limit(body: bytes) -> str:
        target.rate_limit = body.decode("ascii")
        return target.rate_limit

    return {
        "/fault": fault,
        "/rate-limit": limit,
        "/runs": lambda _: dict(target.runs),
    }


async def _register(
    store: PlatformStore, target: TargetStandin, domain: str, state: str
) -> None:
    value = target.entry(domain, state=state)
    while True:
        try:
            await store.put(TARGETS_PREFIX + target.id, value)
            return
        except StoreUnavailable:
            # The store may start later than this target.
            await asyncio.sleep(REGISTER_RETRY_S)


async def _skip_drain() -> bool:
    return True


async def _serve_control(
    stack: contextlib.AsyncExitStack,
    address: str,
    control_handlers: dict[str, ControlHandler],
) -> None:
    """Serve the control port at ``address``, unless that is empty."""
    if address:
        listener = Listener(_make_request_handler(control_handlers), HttpLimits)
        await listener.start(*_parse_address(address))
        stack.push_async_callback(listener.close)


def _parse_address(address: str) -> tuple[str, int]:
    try:
        return split_address(address)
    except ValueError:
        raise UsageError(
            f"address {address!r} is not IP:PORT", step="arguments"
        ) from None


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise SettingsError(
            f"cannot read configuration {path}: {exc}", step="configuration"
        ) from exc


def _make_request_handler(control_handlers: dict[str, ControlHandler]) -> Handler:
    """Return the request handler of a control port."""

    async def answer(req: Request, reply: ResponseWriter) -> None:
        path = req.head.path.decode("latin-1")
        handler = control_handlers.get(path)
        if handler is None:
            known_paths = ", ".join(control_handlers)
            await reply.send(
                json_response(
                    {"error": f"unknown path {path!r}; known paths: {known_paths}"}, 404
                )
            )
            return
        try:
            done = handler(req.body)
        except (msgspec.DecodeError, LagoontideError) as exc:
            await reply.send(json_response({"error": f"{exc}: {req.body[:80]!r}"}, 400))
        else:
            await reply.send(json_response(done))

    return answer
