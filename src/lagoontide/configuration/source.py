"""Reading the document from the store, at the start and when it changes."""

import asyncio

import msgspec
from loguru import logger

from lagoontide.configuration.document import (
    Document,
    decode_document,
    encode_document,
)
from lagoontide.configuration.holder import Holder
from lagoontide.errors import StoreError
from lagoontide.platform.store import Store

__all__ = ["CONFIGURATION_KEY", "follow", "publish"]

CONFIGURATION_KEY = "lagoontide/configuration"
WATCH_S = 20.0
RETRY_S = 1.0


async def publish(store: Store, document: Document, expected: int) -> int:
    """Write a document over version ``expected`` and return its version.

    Raises
    ------
    StoreConflict
        If the store holds another version.
    StoreUnavailable
        If the store gave no answer.
    """
    entry = await store.swap(CONFIGURATION_KEY, expected, encode_document(document))
    return entry.version


async def follow(store: Store, holder: Holder) -> None:
    """Keep the holder at the store's newest version until cancelled."""
    while True:
        try:
            entry = await store.watch(CONFIGURATION_KEY, holder.version, WATCH_S)
            if entry is not None:
                holder.adopt(entry.version, decode_document(entry.value))
        except (StoreError, msgspec.DecodeError) as exc:
            logger.bind(step="configuration").warning("store: {}", exc)
            await asyncio.sleep(RETRY_S)
