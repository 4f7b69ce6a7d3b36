"""Wiring of an agent process."""

import asyncio

import zmq
from loguru import logger

from lagoontide.agent.service import Agent
from lagoontide.lifecycle import run_until_signal
from lagoontide.logs import set_up_logs
from lagoontide.metrics import make_metrics
from lagoontide.platform.targets import HttpTarget
from lagoontide.protocol import make_protocol
from lagoontide.settings import AgentSettings
from lagoontide.wire.conn import Identity
from lagoontide.wire.server import bind

__all__ = ["run_agent"]

FLUSH_S = 0.2


async def run_agent(cfg: AgentSettings) -> int:
    """Serve until a signal; return the exit code."""
    set_up_logs(cfg.log, cfg.name)
    metrics = make_metrics(cfg.statsd.address, cfg.statsd.prefix)
    target = HttpTarget(cfg.target, threads=cfg.slots)
    agent = Agent(cfg.name, cfg.service, target, cfg.slots, metrics)
    with zmq.Context() as ctx:
        server = bind(
            ctx,
            f"tcp://{cfg.listen}",
            make_protocol(),
            Identity(cfg.name),
            agent.handle,
        )
        logger.info("agent of {} at {}", cfg.service, server.address)

        async def drain() -> bool:
            ended = await agent.drain(cfg.drain)
            # The last results are still on their way out of the socket.
            await asyncio.sleep(FLUSH_S)
            return ended

        try:
            return await run_until_signal([], drain)
        finally:
            server.close()
            target.close()
