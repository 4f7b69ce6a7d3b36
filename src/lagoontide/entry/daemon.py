"""An entry process."""

import zmq
from loguru import logger

from lagoontide.entry.parts import make_entry
from lagoontide.lifecycle import run_until_signal
from lagoontide.logs import configure_logging
from lagoontide.settings import EntrySettings
from lagoontide.store.httpstore import HttpStore
from lagoontide.store.instances import HttpInstanceSource

__all__ = ["run_entry"]


async def run_entry(cfg: EntrySettings) -> int:
    """Serve until a signal; return the exit code."""
    configure_logging(cfg.log, cfg.name)
    store = HttpStore(cfg.store)
    instances = HttpInstanceSource(cfg.instances)
    with zmq.Context() as ctx:
        parts = make_entry(cfg, ctx, store, instances)
        parts.start_http()
        logger.info("callers at http://{}", parts.http.address)
        logger.info("operators at http://{}", parts.operators_http.address)
        try:
            return await run_until_signal(
                [parts.follow()], lambda: parts.drain(cfg.drain)
            )
        finally:
            await parts.close()
            store.close()
            instances.close()
