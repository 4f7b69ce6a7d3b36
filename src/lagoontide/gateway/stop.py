"""A graceful stop: what is under way ends, and nobody is sent here any more."""

import asyncio
import contextlib

from loguru import logger

from lagoontide.gateway.parts import Gateway

__all__ = ["stop_gracefully"]

# The balancer asks once a second and takes an entry out after two misses
# (PROTOCOL, Ingress); until then it still sends callers here.
BALANCER_S = 2.6
# What is left of the grace when the process ends by itself.
GRACE_MARGIN_S = 0.6
ANSWER_S = 0.2
LOOK_S = 0.02


async def stop_gracefully(gateway: Gateway, grace: float) -> bool:
    """Serve on until no caller comes, then end what runs; return whether all did."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + grace - GRACE_MARGIN_S
    gateway.is_leaving = True
    gateway.door.stop_by(ends_at - ANSWER_S)
    gateway.callers.is_leaving = True
    gateway.mesh.is_leaving = True
    gateway.mesh.tell_all()
    gateway.desk.hand_over()
    await asyncio.sleep(min(BALANCER_S, grace / 2))
    gateway.callers.stop_accepting()
    gateway.callers.close_idle()
    # The store may be silent; it is asked while requests end, not after them.
    unregistering = asyncio.create_task(gateway.registration.end())
    while gateway.callers.in_flight and loop.time() < ends_at:
        await asyncio.sleep(LOOK_S)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(ends_at):
            await unregistering
    left = gateway.callers.in_flight
    logger.info("stopped with {} requests under way", left)
    return not left
