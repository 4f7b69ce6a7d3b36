"""Graceful stop: fail readiness probes, drain requests and unregister the entry."""

import asyncio
import contextlib

from loguru import logger

from lagoontide.gateway.gateway import Gateway

__all__ = ["drain_times", "stop_gracefully"]

# The balancer probes once a second and removes an entry after two failed probes
# (PROTOCOL, Ingress); until then it still routes callers here.
BALANCER_REMOVAL_S = 2.6
# Part of the grace period that is left for the process to exit before SIGKILL, and time
# before it at which requests get their final answer. Together they are less than the
# sixth of the grace period in which requests may be ended (RULES, Draining).
MAX_EXIT_MARGIN_S = 0.6
EXIT_MARGIN_SHARE = 0.12
MAX_ANSWER_MARGIN_S = 0.2
ANSWER_MARGIN_SHARE = 0.04
POLL_INTERVAL_S = 0.02


def drain_times(grace_period: float) -> tuple[float, float]:
    """Return when requests are ended in a grace period, and when the process exits.

    Both are in seconds from its begin.
    """
    exit_at = grace_period - min(MAX_EXIT_MARGIN_S, EXIT_MARGIN_SHARE * grace_period)
    margin = min(MAX_ANSWER_MARGIN_S, ANSWER_MARGIN_SHARE * grace_period)
    return exit_at - margin, exit_at


async def stop_gracefully(gateway: Gateway, grace_period: float) -> bool:
    """Drain the gateway; return whether no request was left in flight.

    New requests are served while the balancer may still route callers here. Those in
    flight, and answers that callers read slowly, are then awaited until shortly before
    the end of the grace period.

    Parameters
    ----------
    grace_period : float
        Seconds from now to SIGKILL.
    """
    loop = asyncio.get_running_loop()
    ends_at, exit_at = (loop.time() + seconds for seconds in drain_times(grace_period))
    gateway.is_draining = True
    gateway.forwarder.set_drain_deadline(ends_at)
    gateway.callers.is_draining = True
    gateway.mesh.is_draining = True
    gateway.mesh.broadcast_status()
    gateway.dispatcher.hand_over()
    await asyncio.sleep(min(BALANCER_REMOVAL_S, grace_period / 2))
    gateway.callers.stop_accepting()
    gateway.callers.close_idle()
    # The store may not answer, so this runs while requests drain, not afterwards.
    deregistration = asyncio.create_task(gateway.registration.unregister())
    while not gateway.callers.is_quiet and loop.time() < exit_at:
        await asyncio.sleep(POLL_INTERVAL_S)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(exit_at):
            await deregistration
    left = gateway.callers.in_flight
    logger.info("stopped with {} requests in flight", left)
    return not left
