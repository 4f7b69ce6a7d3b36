"""An in-memory stand-in for the platform's metadata store."""

import asyncio
import base64
import weakref
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from lagoontide.http1.messages import Fields, Response
from lagoontide.http1.server import HttpLimits, Listener, Request, ResponseWriter
from lagoontide.platform.standins.ports import HOST
from lagoontide.platform.standins.responses import json_response
from lagoontide.platform.store import ERA

__all__ = ["StoreCopy", "StoreEndpoint", "StoreFault", "StoreStandin"]

ITEMS_PER_PAGE = 500
WATCH_POLL_S = 0.01
# A usual answer takes a few milliseconds; slow stores take some fifty times as long.
SLOW_ANSWER_S = 0.2
SILENCE_S = 3600.0


class StoreFault(StrEnum):
    """How an endpoint of the store fails."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    LOSES_ANSWERS = "loses answers"
    SLOW = "slow"


@dataclass(slots=True)
class _StoredValue:
    value: bytes
    revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of a store, from which it can be restored."""

    revision: int
    keys: dict[str, _StoredValue]
    leases: dict[int, tuple[float, float]]
    history: list[dict[str, Any]]
    compacted_revision: int
    last_lease: int

    def value_of(self, key: str) -> bytes:
        """Return the value of a key; empty if it does not exist."""
        item = self.keys.get(key)
        return item.value if item else b""


@dataclass(slots=True)
class StoreStandin:
    """An in-memory key-value store with revisions, watches and leases.

    Attributes
    ----------
    revision : int
        Revision of the latest change.
    era : int
        Rises by one each time that the store is restored from a copy.
    calls : Counter
        Calls so far, by their name.
    """

    revision: int = 0
    era: int = 1
    _keys: dict[str, _StoredValue] = field(default_factory=dict)
    _leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    _history: list[dict[str, Any]] = field(default_factory=list)
    _compacted_revision: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    _last_lease: int = 0

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as an operator or a target would; return the new revision."""
        self.revision += 1
        self._keys[key] = _StoredValue(value, self.revision, lease)
        self._history.append(self._encode_item(key))
        return self.revision

    def delete(self, key: str) -> int:
        """Delete a key; return the new revision."""
        self._keys.pop(key, None)
        self.revision += 1
        gone = {"key": key, "revision": self.revision, "deleted": True}
        self._history.append(gone)
        return self.revision

    def compact(self) -> None:
        """Drop all history, so that watches from older revisions get status 410."""
        self._compacted_revision = self.revision
        self._history.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of what the store holds now."""
        self._expire()
        return StoreCopy(
            self.revision,
            dict(self._keys),
            dict(self._leases),
            list(self._history),
            self._compacted_revision,
            self._last_lease,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; revisions and lease ids are given out again."""
        self.era += 1
        self.revision = copy.revision
        self._keys = dict(copy.keys)
        now = asyncio.get_running_loop().time()
        self._leases = {
            lease: (ttl, now + ttl) for lease, (ttl, _) in copy.leases.items()
        }
        self._history = list(copy.history)
        self._compacted_revision = copy.compacted_revision
        self._last_lease = copy.last_lease

    def keys(self, prefix: str = "") -> list[str]:
        """Return the keys with a prefix, sorted."""
        self._expire()
        return sorted(key for key in self._keys if key.startswith(prefix))

    def value_of(self, key: str) -> bytes:
        """Return the value of a key; empty if it does not exist."""
        item = self._keys.get(key)
        return item.value if item else b""

    def lease_of(self, key: str) -> int:
        """Return the lease of a key; 0 if it has none."""
        return self._keys[key].lease

    def has_lease(self, lease: int) -> bool:
        """Return whether a lease has not ended."""
        self._expire()
        return lease in self._leases

    def grant_lease(self, ttl: float) -> int:
        """Return a new lease, as another client of the store would get it."""
        self._last_lease += 1
        ends_at = asyncio.get_running_loop().time() + ttl
        self._leases[self._last_lease] = ttl, ends_at
        return self._last_lease

    async def answer(self, req: Request) -> tuple[int, dict[str, Any]]:
        """Handle a call; return the status and body of the response."""
        self._expire()
        url = urlsplit(req.head.path.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        step, _, name = url.path.removeprefix("/lagoontide/kv-").partition("/")
        body = msgspec.json.decode(req.body) if req.body else {}
        self.calls[step] += 1
        match step:
            case "range":
                return self._list_page(query.get("prefix", ""), query.get("after", ""))
            case "watch":
                return await self._watch(query)
            case "lease":
                return self._grant_lease(body["ttl_ms"])
            case "keep":
                return self._renew_lease(int(name))
            case "lease-end":
                return self._end_lease(int(name))
            case "txn":
                return self._commit(body)
        return 404, {}

    def _encode_item(self, key: str) -> dict[str, Any]:
        item = self._keys[key]
        value = base64.b64encode(item.value).decode()
        return {
            "key": key,
            "value": value,
            "revision": item.revision,
            "created_rev": item.revision,
            "lease": item.lease,
        }

    def _list_page(self, prefix: str, after: str) -> tuple[int, dict[str, Any]]:
        keys = [key for key in self.keys(prefix) if key > after]
        page = keys[:ITEMS_PER_PAGE]
        return 200, {
            "items": [self._encode_item(key) for key in page],
            "more_pages": len(keys) > len(page),
            "as_of": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query["wait_ms"]) / 1000
        era = self.era
        while True:
            is_known = self._compacted_revision <= after <= self.revision
            if not is_known or era != self.era:
                return 410, {}
            prefix = query.get("prefix", "")
            events = [
                item
                for item in self._history
                if item["revision"] > after and item["key"].startswith(prefix)
            ]
            if events or loop.time() >= deadline:
                return 200, {"events": events, "as_of": self.revision}
            await asyncio.sleep(WATCH_POLL_S)
            self._expire()

    def _grant_lease(self, ttl_ms: int) -> tuple[int, dict[str, Any]]:
        return 200, {"lease": self.grant_lease(ttl_ms / 1000), "ttl_ms": ttl_ms}

    def _renew_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self._leases:
            return 404, {}
        ttl, _ = self._leases[lease]
        self._leases[lease] = ttl, asyncio.get_running_loop().time() + ttl
        return 200, {"ttl_ms": int(ttl * 1000)}

    def _end_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self._leases:
            return 404, {}
        ttl, _ = self._leases[lease]
        self._leases[lease] = ttl, 0.0
        self._expire()
        return 200, {}

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body["expected_rev"]:
            current = self._keys.get(row["key"])
            if (current.revision if current else 0) != row["revision"]:
                return 412, {"items": []}
        leases = {put["lease"] for put in body["puts"]} - {0}
        if leases - self._leases.keys():
            return 404, {}
        for put in body["puts"]:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["delete_keys"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        expired = {lease for lease, (_, until) in self._leases.items() if until <= now}
        for lease in expired:
            del self._leases[lease]
        for key, item in tuple(self._keys.items()):
            if item.lease in expired:
                self.delete(key)


@dataclass(slots=True)
class StoreEndpoint:
    """An endpoint of a store that can be made to fail independently of others.

    Attributes
    ----------
    trouble : StoreFault
        How the endpoint fails from now on.
    watches_seen : int
        Watches that have arrived, those that got no answer included.
    era_fields : callable
        Returns the fields that tell the store's era.
    """

    store: StoreStandin
    trouble: StoreFault = StoreFault.NONE
    port: int = 0
    watches_seen: int = 0
    era_fields: Callable[[int], Fields] = lambda era: [(ERA, b"%d" % era)]
    _listener: Listener | None = None
    _cut: asyncio.Event = field(default_factory=asyncio.Event)
    # The tasks that serve connections, and those whose connection is silent.
    _connections: "weakref.WeakSet[asyncio.Task[Any]]" = field(
        default_factory=weakref.WeakSet
    )
    _silent: "weakref.WeakSet[asyncio.Task[Any]]" = field(
        default_factory=weakref.WeakSet
    )

    def cut_watches(self) -> None:
        """Cut the watches that are waiting; everything else goes on."""
        self._cut.set()
        self._cut = asyncio.Event()

    def silence_connections(self) -> None:
        """Answer nothing any more on the connections that are open now."""
        self._silent.update(self._connections)

    async def start(self, host: str = HOST, port: int = 0) -> int:
        """Start listening; return the port."""
        self._listener = Listener(self._handle, HttpLimits)
        self.port = await self._listener.start(host, port)
        return self.port

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._listener is not None:
            await self._listener.close()

    async def _handle(self, req: Request, reply: ResponseWriter) -> None:
        self.watches_seen += b"/kv-watch" in req.head.path
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        if task in self._silent:
            await asyncio.sleep(SILENCE_S)
        match self.trouble:
            case StoreFault.BUSY:
                await reply.send(Response(503, self.era_fields(self.store.era)))
                return
            case StoreFault.SILENT:
                await asyncio.sleep(SILENCE_S)
            case StoreFault.RESET:
                return
            case StoreFault.SLOW:
                await asyncio.sleep(SLOW_ANSWER_S)
        answer = asyncio.ensure_future(self.store.answer(req))
        cut = asyncio.ensure_future(self._cut.wait())
        try:
            await asyncio.wait((answer, cut), return_when=asyncio.FIRST_COMPLETED)
            if not answer.done():
                return
            status, body = answer.result()
        except (msgspec.DecodeError, KeyError, ValueError) as exc:
            status, body = 400, {"error": f"{exc!r}: {req.head.path!r}"}
        finally:
            answer.cancel()
            cut.cancel()
        if self.trouble is StoreFault.LOSES_ANSWERS:
            return
        if task in self._silent:
            await asyncio.sleep(SILENCE_S)
        response = json_response(body, status)
        response.fields.extend(self.era_fields(self.store.era))
        await reply.send(response)
