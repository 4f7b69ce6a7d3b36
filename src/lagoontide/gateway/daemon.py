"""An entry process on the platform."""

import asyncio
import contextlib
import gc
import signal
from collections.abc import Callable

import zmq
from loguru import logger

from lagoontide.errors import SettingsError
from lagoontide.gateway.output import LogOutput
from lagoontide.gateway.parts import Gateway, Outside
from lagoontide.gateway.settings import GatewaySettings
from lagoontide.gateway.stop import stop_gracefully
from lagoontide.lifecycle import run_until_signal

__all__ = ["follow_settings", "run_gateway"]

# Settings may change without a signal (DEPLOY, Settings of a process).
LOOK_EVERY_S = 2.0

LoadSettings = Callable[[], GatewaySettings]
MakeOutside = Callable[[GatewaySettings], Outside]


async def run_gateway(load: LoadSettings, make_outside: MakeOutside) -> int:
    """Serve until a signal; return the exit code.

    Parameters
    ----------
    load : callable
        Returns the settings as they are now; raises SettingsError.
    make_outside : callable
        Returns how the platform is spoken to under settings.
    """
    cfg = load()
    output = LogOutput(cfg.name)
    output.install()
    with zmq.Context() as ctx:
        gateway = Gateway(cfg, ctx, make_outside(cfg))
        await gateway.start()
        # What is there after the start stays; collections need not look at it.
        gc.collect()
        gc.freeze()
        logger.info("started: callers at {}", cfg.callers)
        watch = gateway.metrics.watch(gateway, lambda: output.dropped)
        try:
            return await run_until_signal(
                [*gateway.tasks(), output.run(), watch, follow_settings(gateway, load)],
                lambda: stop_gracefully(gateway, gateway.cfg.bounds.grace),
            )
        finally:
            await gateway.close()
            output.flush()


async def follow_settings(gateway: Gateway, load: LoadSettings) -> None:
    """Reload settings on SIGHUP, and when they have changed without it."""
    hup = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, hup.set)
    told = ""
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LOOK_EVERY_S):
                await hup.wait()
        is_asked = hup.is_set()
        hup.clear()
        try:
            cfg = load()
        except SettingsError as exc:
            # A file that stays broken is told of once, and again when asked for.
            if is_asked or str(exc) != told:
                logger.error("settings not reloaded, the old ones hold: {}", exc)
            told = str(exc)
            continue
        told = ""
        if cfg != gateway.cfg:
            gateway.reload(cfg)
