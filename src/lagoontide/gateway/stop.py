"""Graceful stop: fail readiness probes, drain requests and unregister the entry."""

import asyncio
import contextlib

from loguru import logger

from lagoontide.gateway.gateway import Gateway

__all__ = ["stop_gracefully"]

# The balancer probes once a second and removes an entry after two failed probes
# (PROTOCOL, Ingress); until then it still routes callers here.
BALANCER_REMOVAL_S = 2.6
# Part of the grace period that is left for the process to exit before SIGKILL.
GRACE_MARGIN_S = 0.6
# Requests get their final answer this long before the drain deadline.
ANSWER_MARGIN_S = 0.2
POLL_INTERVAL_S = 0.02


async def stop_gracefully(gateway: Gateway, grace_period: float) -> bool:
    """Drain the gateway; return whether no request was left in flight.

    New requests are served while the balancer may still route callers here. Those in
    flight are then awaited until GRACE_MARGIN_S before the end of the grace period.

    Parameters
    ----------
    grace_period : float
        Seconds from now to SIGKILL.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + grace_period - GRACE_MARGIN_S
    gateway.is_draining = True
    gateway.forwarder.set_drain_deadline(deadline - ANSWER_MARGIN_S)
    gateway.callers.is_draining = True
    gateway.mesh.is_draining = True
    gateway.mesh.broadcast_status()
    gateway.dispatcher.hand_over()
    await asyncio.sleep(min(BALANCER_REMOVAL_S, grace_period / 2))
    gateway.callers.stop_accepting()
    gateway.callers.close_idle()
    # The store may not answer, so this runs while requests drain, not afterwards.
    deregistration = asyncio.create_task(gateway.registration.unregister())
    while gateway.callers.in_flight and loop.time() < deadline:
        await asyncio.sleep(POLL_INTERVAL_S)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(deadline):
            await deregistration
    left = gateway.callers.in_flight
    logger.info("stopped with {} requests in flight", left)
    return not left
