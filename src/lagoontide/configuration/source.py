"""Where the document is in the store, and writing the first one."""

from lagoontide.configuration.document import (
    Document,
    encode_document,
)
from lagoontide.store.kv import KeyValueStore

__all__ = ["CONFIGURATION_KEY", "publish"]

CONFIGURATION_KEY = "lagoontide/configuration"


async def publish(store: KeyValueStore, document: Document, expected: int) -> int:
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
