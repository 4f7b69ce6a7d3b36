"""One write a claim: the first version, kept to compare with."""

import asyncio
from typing import Protocol

import msgspec

from lagoontide.errors import (
    RequestFailed,
    RequestRejected,
    StoreConflict,
    StoreError,
)
from lagoontide.store.kv import KeyValue, KeyValueStore

__all__ = ["Claim", "Claims", "SimpleClaims", "judge"]

RETENTION_S = 900.0
RETRY_S = 0.1
STATUS_CONFLICT = 409


class Claim(msgspec.Struct, frozen=True):
    """Who claimed a key and for which body.

    Attributes
    ----------
    request : str
        Id of the request, in hex digits.
    digest : int
        Hash of route and body.
    """

    request: str
    digest: int


class Claims(Protocol):
    """At most once for a key, across entries and the requests that repeat it."""

    async def claim(self, account: str, key: str, wanted: Claim, timeout: float) -> str:
        """Return "" once the key is this request's, or the id of its holder.

        Raises
        ------
        RequestRejected
            409, if the key was used with another body.
        RequestFailed
            "not_run" if the claim is not confirmed in time.
        """

    async def release(self, account: str, key: str, wanted: Claim) -> None:
        """Give a key back; to be called only if its request never runs."""


def judge(wanted: Claim, held: Claim) -> str:
    """Return the id of the request that holds a key; "" if it is the same one.

    Raises
    ------
    RequestRejected
        409, if the key was used with another body.
    """
    if held.digest != wanted.digest:
        raise RequestRejected(
            STATUS_CONFLICT,
            "the idempotency key was used with another body",
            step="claim",
        )
    return "" if held.request == wanted.request else held.request


class SimpleClaims:
    """Creates one key in the store for each claim."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    async def claim(self, account: str, key: str, wanted: Claim, timeout: float) -> str:
        """See Claims."""
        place = _place(account, key)
        try:
            async with asyncio.timeout(timeout):
                while True:
                    held = await self._try(place, wanted)
                    if held is not None:
                        return judge(wanted, held)
                    await asyncio.sleep(RETRY_S)
        except TimeoutError:
            raise RequestFailed(
                "not_run", "the store gave no answer in time", step="claim"
            ) from None

    async def release(self, account: str, key: str, wanted: Claim) -> None:
        """See Claims."""
        place = _place(account, key)
        try:
            entry = await self._store.get(place)
            if entry is not None and _decode(entry) == wanted:
                await self._store.delete(place, entry.version)
        except StoreError:
            return  # The key then stays taken until its retention is over.

    async def _try(self, place: str, wanted: Claim) -> Claim | None:
        """Return who holds the key, or None if the store does not say."""
        try:
            lease = await self._store.grant(RETENTION_S)
            await self._store.swap(place, 0, msgspec.msgpack.encode(wanted), lease)
            return wanted
        except StoreConflict:
            pass
        except StoreError:
            return None
        try:
            entry = await self._store.get(place)
        except StoreError:
            return None
        return _decode(entry) if entry is not None else None


def _place(account: str, key: str) -> str:
    return f"lagoontide/claims/{account}/{key}"


def _decode(entry: KeyValue) -> Claim:
    return msgspec.msgpack.decode(entry.value, type=Claim)
