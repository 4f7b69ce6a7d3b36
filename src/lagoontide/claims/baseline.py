"""One write a claim: the first version, kept to compare with."""

import asyncio

import msgspec

from lagoontide.errors import (
    RequestError,
    RequestFailed,
    StoreConflict,
    StoreError,
)
from lagoontide.platform.store import Entry, Store

__all__ = ["Claim", "SimpleClaims"]

RETENTION_S = 3600.0
STATUS_CONFLICT = 409


class Claim(msgspec.Struct, frozen=True):
    """Who claimed a key and for which body."""

    request: str
    digest: int


class SimpleClaims:
    """Creates one key in the store for each claim."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def claim(
        self, account: str, key: str, wanted: Claim, timeout: float
    ) -> None:
        """Return once the key belongs to this request.

        Raises
        ------
        RequestError
            409, if the key was used with another body.
        RequestFailed
            "not_run" if the store does not answer in time; "unknown" if the key
            was claimed before.
        """
        place = f"lagoontide/claims/{account}/{key}"
        try:
            async with asyncio.timeout(timeout):
                lease = await self._store.grant(RETENTION_S)
                value = msgspec.msgpack.encode(wanted)
                await self._store.swap(place, 0, value, lease)
                return
        except StoreConflict:
            pass
        except (StoreError, TimeoutError):
            # The claim may stand, but no stage was started under it.
            raise RequestFailed(
                "not_run", "the store did not confirm the claim", step="claim"
            ) from None
        self._judge(wanted, await self._read(place))

    async def _read(self, place: str) -> Entry | None:
        try:
            return await self._store.get(place)
        except StoreError:
            return None

    @staticmethod
    def _judge(wanted: Claim, entry: Entry | None) -> None:
        held = msgspec.msgpack.decode(entry.value, type=Claim) if entry else None
        if held == wanted:
            return
        if held is not None and held.digest != wanted.digest:
            raise RequestError(
                STATUS_CONFLICT,
                "the idempotency key was used with another body",
                step="claim",
            )
        raise RequestFailed(
            "unknown", "the idempotency key was claimed before", step="claim"
        )
