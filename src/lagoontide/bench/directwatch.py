"""The baseline of spreading: each process watches the store itself."""

import asyncio

import msgspec
from loguru import logger

from lagoontide.configuration.document import decode_document
from lagoontide.configuration.holder import Holder
from lagoontide.configuration.source import CONFIGURATION_KEY
from lagoontide.errors import StoreError
from lagoontide.store.kv import KeyValueStore

__all__ = ["follow"]

WATCH_S = 20.0
RETRY_S = 1.0


async def follow(store: KeyValueStore, holder: Holder) -> None:
    """Keep the holder at the store's newest version until cancelled."""
    while True:
        try:
            entry = await store.watch(CONFIGURATION_KEY, holder.version, WATCH_S)
            if entry is not None:
                holder.adopt(entry.version, decode_document(entry.value))
        except (StoreError, msgspec.DecodeError) as exc:
            logger.bind(step="configuration").warning("store: {}", exc)
            await asyncio.sleep(RETRY_S)
