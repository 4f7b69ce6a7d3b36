"""The platform's stand-ins as processes of their own."""

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
from lagoontide.http1.server import Handler, Listener, Reply, Request, WireLimits
from lagoontide.httpd import split_address
from lagoontide.lifecycle import run_until_signal
from lagoontide.platform.configuration import CONFIGURATION_KEY, decode_plan
from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.standins.answers import json_answer
from lagoontide.platform.standins.store import StoreDoor, StoreStandin, Trouble
from lagoontide.platform.standins.targets import Fault, TargetStandin
from lagoontide.platform.store import PlatformStore

__all__ = ["run_store", "run_target"]

NO_LEASE = "0"
REGISTER_POLL_S = 0.1
# A store that is gone does not keep a target from stopping.
LEAVE_BOUND_S = 2.0
DRAIN_POLL_S = 0.02

Order = Callable[[bytes], Any]


class _TroubleOrder(msgspec.Struct):
    trouble: Trouble


class _FaultOrder(msgspec.Struct):
    fault: Fault
    count: int = 1


async def run_store(listen: str, control: str, configuration: str) -> int:
    """Serve a store until a signal.

    Parameters
    ----------
    configuration : str
        Path of the first configuration, as the store holds it, or "".
    """
    store = StoreStandin()
    door = StoreDoor(store)

    def configure(body: bytes) -> int:
        decode_plan(body)
        return store.put(CONFIGURATION_KEY, body)

    def trouble(body: bytes) -> str:
        door.trouble = msgspec.json.decode(body, type=_TroubleOrder).trouble
        return door.trouble.value

    orders: dict[str, Order] = {
        "/configuration": configure,
        "/trouble": trouble,
        "/compact": lambda _: store.compact(),
    }
    if configuration:
        configure(_read(Path(configuration)))
    async with contextlib.AsyncExitStack() as stack:
        await door.start(*_split(listen))
        stack.push_async_callback(door.close)
        await _take_orders(stack, control, orders)
        return await run_until_signal([], _has_ended)


async def run_target(
    target: TargetStandin, listen: str, control: str, store_address: str, domain: str
) -> int:
    """Serve a target until a signal; it leaves the store's list first.

    Parameters
    ----------
    domain : str
        Its failure domain.
    """
    store = PlatformStore(*_split(store_address))
    async with contextlib.AsyncExitStack() as stack:
        await target.listen(*_split(listen))
        stack.push_async_callback(target.close)
        await _take_orders(stack, control, _target_orders(target))
        stack.callback(store.close)

        async def drain() -> bool:
            try:
                async with asyncio.timeout(LEAVE_BOUND_S):
                    await _register(store, target, domain, "draining")
            except TimeoutError:
                logger.warning("not told to the store that {} leaves", target.id)
            while target.is_busy:
                await asyncio.sleep(DRAIN_POLL_S)
            return True

        async def register() -> None:
            await _register(store, target, domain, "ready")
            await asyncio.Event().wait()

        return await run_until_signal([register()], drain)


def _target_orders(target: TargetStandin) -> dict[str, Order]:
    def fault(body: bytes) -> str:
        order = msgspec.json.decode(body, type=_FaultOrder)
        target.fault, target.faults_left = order.fault, order.count
        return order.fault.value

    return {"/fault": fault, "/runs": lambda _: dict(target.runs)}


async def _register(
    store: PlatformStore, target: TargetStandin, domain: str, state: str
) -> None:
    value = target.entry(domain, state=state)
    while True:
        try:
            await store.put(TARGETS_PREFIX + target.id, value, NO_LEASE)
            return
        except StoreUnavailable:
            # It may come up later than this target does.
            await asyncio.sleep(REGISTER_POLL_S)


async def _has_ended() -> bool:
    return True


async def _take_orders(
    stack: contextlib.AsyncExitStack, address: str, orders: dict[str, Order]
) -> None:
    """Listen at a control port, if there is to be one."""
    if address:
        listener = Listener(_make_control(orders), WireLimits)
        await listener.start(*_split(address))
        stack.push_async_callback(listener.close)


def _split(address: str) -> tuple[str, int]:
    try:
        return split_address(address)
    except ValueError:
        raise UsageError(f"{address!r} is not IP:PORT", step="arguments") from None


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as exc:
        raise SettingsError(f"{path}: {exc}", step="configuration") from exc


def _make_control(orders: dict[str, Order]) -> Handler:
    """Return what answers orders at a control port."""

    async def answer(req: Request, reply: Reply) -> None:
        path = req.head.path.decode("latin-1")
        order = orders.get(path)
        if order is None:
            there = ", ".join(orders)
            await reply.send(
                json_answer({"error": f"{path!r}: there are {there}"}, 404)
            )
            return
        try:
            done = order(req.body)
        except (msgspec.DecodeError, LagoontideError) as exc:
            await reply.send(json_answer({"error": f"{exc}: {req.body[:80]!r}"}, 400))
        else:
            await reply.send(json_answer(done))

    return answer
