"""Runs an entry process: start, settings reload and graceful stop."""

import asyncio
import contextlib
import gc
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import zmq
from loguru import logger

from lagoontide.errors import SettingsError, WireError
from lagoontide.gateway.gateway import Gateway
from lagoontide.gateway.output import LogOutput
from lagoontide.gateway.platform import Platform
from lagoontide.gateway.settings import GatewaySettings
from lagoontide.gateway.stop import stop_gracefully
from lagoontide.lifecycle import catch_signals, run_until_signal
from lagoontide.wire.conn import Context

__all__ = ["run_gateway", "watch_settings"]

# The settings file may change without a SIGHUP (DEPLOY, Settings of a process).
SETTINGS_POLL_INTERVAL_S = 2.0
# An entry that starts waits for this long at most for settings that can be read.
SETTINGS_TIMEOUT_S = 2.0
START_RETRY_INTERVAL_S = 0.2

LoadSettings = Callable[[], GatewaySettings]
MakePlatform = Callable[[GatewaySettings], Platform]


async def run_gateway(load: LoadSettings, make_platform: MakePlatform) -> int:
    """Serve until SIGTERM or SIGINT; return the exit code.

    Parameters
    ----------
    load : callable
        Reads the current settings; raises SettingsError.
    make_platform : callable
        Returns the platform's store, protocol and decoders for the given settings.
    """
    cfg = await _wait_for_settings(load)
    output = LogOutput(cfg.name)
    output.install()
    with zmq.Context() as ctx:
        signals = catch_signals()
        gateway = await _start_gateway(cfg, ctx, make_platform, signals)
        if gateway is None:
            output.flush()
            return 0
        # Objects created at start live as long as the process; freezing exempts them
        # from later collections.
        gc.collect()
        gc.freeze()
        logger.info("started, listening for callers at {}", cfg.callers)
        others: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "log output": output.run,
            "metrics": lambda: gateway.metrics.watch(gateway, lambda: output.dropped),
            "settings": lambda: watch_settings(gateway, load),
        }
        run = gateway.supervisor.run
        try:
            return await run_until_signal(
                [*gateway.tasks(), *(run(*item) for item in others.items())],
                lambda: stop_gracefully(gateway, gateway.cfg.bounds.grace_period),
                signals,
            )
        finally:
            await gateway.close()
            output.flush()


async def _wait_for_settings(load: LoadSettings) -> GatewaySettings:
    """Return the settings; the file may be written at the moment of the start."""
    until = asyncio.get_running_loop().time() + SETTINGS_TIMEOUT_S
    while True:
        try:
            return load()
        except SettingsError as exc:
            if asyncio.get_running_loop().time() >= until:
                raise
            logger.warning("no settings yet: {}", exc)
        await asyncio.sleep(START_RETRY_INTERVAL_S)


async def _start_gateway(
    cfg: GatewaySettings,
    ctx: Context,
    make_platform: MakePlatform,
    signals: asyncio.Queue[int],
) -> Gateway | None:
    """Return an entry that listens, or None if it is told to stop before that.

    Waits for a process that has its addresses still: one that was told to stop holds
    them for the grace period at most.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + cfg.bounds.grace_period
    while signals.empty():
        gateway: Gateway | None = None
        try:
            gateway = Gateway(cfg, ctx, make_platform(cfg))
            await gateway.start()
            return gateway
        except (OSError, WireError) as exc:
            if gateway is not None:
                await gateway.close()
            if loop.time() >= until:
                raise
            logger.warning("cannot listen yet: {}", exc)
        await asyncio.sleep(START_RETRY_INTERVAL_S)
    return None


async def watch_settings(gateway: Gateway, load: LoadSettings) -> None:
    """Reload settings on SIGHUP and, by polling, whenever they have changed."""
    hup = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, hup.set)
    last_error = ""
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await hup.wait()
        is_requested = hup.is_set()
        hup.clear()
        try:
            cfg = load()
        except SettingsError as exc:
            # An error that persists is logged once, and again on every SIGHUP.
            if is_requested or str(exc) != last_error:
                logger.error("settings not reloaded, old ones stay in force: {}", exc)
            last_error = str(exc)
            continue
        last_error = ""
        if cfg != gateway.cfg:
            gateway.reload(cfg)
