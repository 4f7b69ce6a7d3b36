"""Wiring of an agent process."""

import asyncio

import zmq
from loguru import logger

from lagoontide.agent.parts import AgentParts
from lagoontide.agent.service import Agent
from lagoontide.lifecycle import run_until_signal
from lagoontide.logs import configure_logging
from lagoontide.metrics import make_metrics
from lagoontide.settings import AgentSettings
from lagoontide.store.httpstore import HttpStore
from lagoontide.store.instances import HttpInstanceSource
from lagoontide.targets.http import HttpTargetClient

__all__ = ["run_agent"]

FLUSH_S = 0.2


async def run_agent(cfg: AgentSettings) -> int:
    """Serve until a signal; return the exit code."""
    configure_logging(cfg.log, cfg.name)
    metrics = make_metrics(cfg.statsd.address, cfg.statsd.prefix)
    target = HttpTargetClient(cfg.target, threads=cfg.slots)
    agent = Agent(cfg.name, cfg.service, target, cfg.slots, metrics)
    store = HttpStore(cfg.store)
    instances = HttpInstanceSource(cfg.instances)
    with zmq.Context() as ctx:
        parts = AgentParts(
            agent,
            cfg.failure_domain,
            cfg.listen,
            ctx,
            store,
            instances,
            metrics,
        )
        logger.info("agent of {} at {}", cfg.service, parts.server.address)

        async def drain() -> bool:
            ended = await agent.drain(cfg.drain)
            # The last results are still on their way out of the socket.
            await asyncio.sleep(FLUSH_S)
            return ended

        try:
            return await run_until_signal([parts.follow()], drain)
        finally:
            parts.close()
            target.close()
            store.close()
            instances.close()
