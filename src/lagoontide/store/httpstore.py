"""HTTP client of the key-value store."""

import base64
from typing import Any

import msgspec
import urllib3

from lagoontide.errors import StoreConflict, StoreUnavailable
from lagoontide.httppool import HttpPool
from lagoontide.store.kv import KeyValue

__all__ = ["HttpStore"]

CALL_TIMEOUT_S = 2.0
POOL_THREADS = 8
STATUS_CONFLICT = 409
STATUS_OK = 200


class KeyValueJson(msgspec.Struct):
    """JSON form of an entry, with its value in base64."""

    key: str
    version: int
    value: str

    def to_key_value(self) -> KeyValue:
        """Return the entry with its value decoded."""
        return KeyValue(self.key, self.version, base64.b64decode(self.value))


class HttpStore:
    """HTTP implementation of Store.

    Parameters
    ----------
    url : str
        Base URL of the store, for example ``http://10.0.0.2:2379``.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = HttpPool(POOL_THREADS)

    async def get(self, key: str) -> KeyValue | None:
        """See KeyValueStore."""
        return self._to_key_value(await self._call("get", key=key))

    async def swap(
        self, key: str, expected: int, value: bytes, lease: str = ""
    ) -> KeyValue:
        """See KeyValueStore."""
        text = base64.b64encode(value).decode()
        body = await self._call(
            "swap", key=key, expected=expected, value=text, lease=lease
        )
        return msgspec.json.decode(body, type=KeyValueJson).to_key_value()

    async def delete(self, key: str, expected: int) -> None:
        """See KeyValueStore."""
        await self._call("delete", key=key, expected=expected)

    async def scan(self, prefix: str) -> list[KeyValue]:
        """See KeyValueStore."""
        body = await self._call("scan", prefix=prefix)
        return [
            key_value_json.to_key_value()
            for key_value_json in msgspec.json.decode(body, type=list[KeyValueJson])
        ]

    async def grant(self, ttl: float) -> str:
        """See KeyValueStore."""
        return msgspec.json.decode(await self._call("grant", ttl=ttl), type=str)

    async def renew(self, lease: str) -> None:
        """See KeyValueStore."""
        await self._call("renew", lease=lease)

    async def watch(self, key: str, after: int, wait: float) -> KeyValue | None:
        """See KeyValueStore."""
        body = await self._call(
            "watch", key=key, after=after, wait=wait, _timeout=wait + CALL_TIMEOUT_S
        )
        return self._to_key_value(body)

    def close(self) -> None:
        """Release the threads and connections."""
        self._pool.close()

    @staticmethod
    def _to_key_value(body: bytes) -> KeyValue | None:
        key_value_json = msgspec.json.decode(body, type=KeyValueJson | None)
        return None if key_value_json is None else key_value_json.to_key_value()

    async def _call(
        self, step: str, _timeout: float = CALL_TIMEOUT_S, **fields: Any
    ) -> bytes:
        try:
            response = await self._pool.request(
                "POST",
                f"{self._url}/v1/{step}",
                _timeout,
                body=msgspec.json.encode(fields),
            )
        except urllib3.exceptions.HTTPError as exc:
            raise StoreUnavailable(f"store request failed: {exc}", step=step) from exc
        if response.status == STATUS_CONFLICT:
            raise StoreConflict(response.data.decode("utf-8", "replace"), step=step)
        if response.status != STATUS_OK:
            raise StoreUnavailable(
                f"store returned HTTP status {response.status}", step=step
            )
        return response.data
