"""HTTP client for the platform's metadata store."""

import base64
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from loguru import logger

from lagoontide.decoding import Int64, JsonDecoder, Number
from lagoontide.errors import StoreUnavailable, WireError
from lagoontide.http1.client import InvalidResponse, ResponseTooLarge, TargetConn
from lagoontide.http1.messages import RequestHead, Response, field_values
from lagoontide.http1.tcp import connect_tcp
from lagoontide.store.revision_store import (
    Changes,
    ChangesUnavailable,
    KeyRevision,
    LeaseNotFound,
    Listing,
    Revision,
)
from lagoontide.timers import run_timeout

__all__ = ["ERA", "PlatformStore"]

CONNECT_TIMEOUT_S = 1.0
# A slow store takes dozens of times its usual few milliseconds.
CALL_TIMEOUT_S = 1.5
# The store limits a page to about 1 MB of values (PROTOCOL, The platform's metadata
# store); base64 and keys add to that.
MAX_PAGE_BYTES = 4 << 20
# If a watch returns more than this, the store is listed again instead.
MAX_CHANGES_BYTES = 8 << 20
MAX_LISTING_BYTES = 64 << 20
MAX_PAGES = 1000
MS_PER_S = 1000.0
NO_LEASE = 0
ERA_SEPARATOR = ":"

RANGE_PATH = "/lagoontide/kv-range"
WATCH_PATH = "/lagoontide/kv-watch"
LEASE_PATH = "/lagoontide/kv-lease"
KEEP_PATH = "/lagoontide/kv-keep/"
TRANSACTION_PATH = "/lagoontide/kv-txn"
ERA = b"Store-Era"
MAX_ERA_DIGITS = 15


Decoded = TypeVar("Decoded")


class _Item(msgspec.Struct):
    key: str
    revision: Int64
    value: str = ""
    deleted: bool = False

    def to_item(self, era: int) -> KeyRevision:
        """Return the item; an unreadable value is empty, which is no valid one."""
        value: bytes | None = None
        if not self.deleted:
            try:
                value = base64.b64decode(self.value, validate=True)
            except ValueError as exc:
                logger.warning("unreadable value of key {!r:.200}: {}", self.key, exc)
                value = b""
        return KeyRevision(self.key, value, Revision(era, self.revision))


class _RangePage(msgspec.Struct):
    as_of: Int64
    items: list[msgspec.Raw] = []
    more_pages: bool = False


class _Events(msgspec.Struct):
    as_of: Int64
    events: list[msgspec.Raw] = []


class _Lease(msgspec.Struct):
    """``lease`` is an integer here; others use a string that also has the era."""

    lease: Int64
    ttl_ms: Number


_item_decoder = JsonDecoder(_Item, "item", "item")
_page_decoder = JsonDecoder(_RangePage, "listing", "range")
_events_decoder = JsonDecoder(_Events, "changes", "watch")
_lease_decoder = JsonDecoder(_Lease, "lease", "lease")


@dataclass(frozen=True, slots=True)
class _Answer:
    era: int
    body: bytes


class PlatformStore:
    """Implements lagoontide.store.revision_store.RevisionStore.

    Parameters
    ----------
    host, port : str, int
        Address of the store.

    Attributes
    ----------
    era : int
        The store's latest known era, which rises when it is restored from a copy; 0
        until an answer names one.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self.era = 0
        self._idle: list[TargetConn] = []

    def set_address(self, host: str, port: int) -> None:
        """Use another address of the store from now on."""
        if (host, port) != (self._host, self._port):
            self._host, self._port = host, port
            self.renew_connections()

    def renew_connections(self) -> None:
        """See RevisionStore."""
        while self._idle:
            self._idle.pop().close()

    async def list(self, prefix: str) -> Listing:
        """See RevisionStore."""
        items: list[KeyRevision] = []
        as_of: Revision | None = None
        after = ""
        size = 0
        for _ in range(MAX_PAGES):
            query = urlencode({"prefix": prefix, **({"after": after} if after else {})})
            answer = await self._call("GET", f"{RANGE_PATH}?{query}")
            page = _decode(answer.body, _page_decoder)
            size += len(answer.body)
            if size > MAX_LISTING_BYTES:
                break
            # Pages are not one snapshot: the watch starts at the first page's revision.
            as_of = as_of or Revision(answer.era, page.as_of)
            if answer.era != as_of.era:
                raise StoreUnavailable("restored while it was listed", step="range")
            items += _read_items(page.items, answer.era)
            if not page.more_pages or not page.items:
                return Listing(tuple(items), as_of)
            if not items or items[-1].key <= after:
                raise StoreUnavailable("no item of a page is readable", step="range")
            after = items[-1].key
        raise StoreUnavailable(
            f"listing exceeds {MAX_PAGES} pages or {MAX_LISTING_BYTES} bytes",
            step="list",
        )

    async def watch(self, prefix: str, after: Revision, wait: float) -> Changes:
        """See RevisionStore."""
        query = urlencode(
            {"prefix": prefix, "after": after.number, "wait_ms": int(wait * MS_PER_S)}
        )
        answer = await self._call("GET", f"{WATCH_PATH}?{query}", wait=wait)
        era = answer.era
        if era != after.era:
            raise ChangesUnavailable(
                f"restored since era {after.era}, now in {era}", step="watch"
            )
        changes = _decode(answer.body, _events_decoder)
        return Changes(
            tuple(_read_items(changes.events, era)),
            max(after, Revision(era, changes.as_of)),
        )

    async def grant(self, ttl: float) -> tuple[str, float]:
        """See RevisionStore."""
        body = {"ttl_ms": int(ttl * MS_PER_S)}
        answer = await self._call("POST", LEASE_PATH, body)
        lease = _decode(answer.body, _lease_decoder)
        return f"{answer.era}{ERA_SEPARATOR}{lease.lease}", lease.ttl_ms / MS_PER_S

    async def keep(self, lease: str) -> None:
        """See RevisionStore."""
        era, number = self._split_lease(lease)
        answer = await self._call("POST", f"{KEEP_PATH}{number}")
        _check_lease(era, answer)

    async def put(self, key: str, value: bytes, lease: str = "") -> None:
        """See RevisionStore."""
        text = base64.b64encode(value).decode()
        era, number = self._split_lease(lease) if lease else (None, NO_LEASE)
        put = {"key": key, "value": text, "lease": number}
        answer = await self._commit(puts=[put])
        if era is not None:
            _check_lease(era, answer)

    async def delete(self, key: str) -> None:
        """See RevisionStore."""
        await self._commit(delete_keys=[key])

    async def _commit(
        self, puts: Sequence[object] = (), delete_keys: Sequence[str] = ()
    ) -> "_Answer":
        return await self._call(
            "POST",
            TRANSACTION_PATH,
            {"expected_rev": [], "puts": puts, "delete_keys": delete_keys},
        )

    def _split_lease(self, lease: str) -> tuple[int, int]:
        """Return era and id of a lease; raises LeaseNotFound if its era has ended."""
        era, _, number = lease.partition(ERA_SEPARATOR)
        if int(era) != self.era:
            raise LeaseNotFound(f"lease of era {era} in {self.era}", step="keep")
        return int(era), int(number)

    async def _call(
        self, method: str, path: str, body: object = None, wait: float = 0.0
    ) -> "_Answer":
        step = path.partition("?")[0].rpartition("kv-")[2]
        try:
            max_bytes = MAX_CHANGES_BYTES if wait else MAX_PAGE_BYTES
            async with run_timeout(CALL_TIMEOUT_S + wait):
                answer = await self._exchange(method, path, body, max_bytes)
        except ResponseTooLarge as exc:
            if wait:
                raise ChangesUnavailable(
                    f"changes too long to read: {exc}", step=step
                ) from exc
            raise StoreUnavailable(str(exc), step=step) from exc
        except (OSError, InvalidResponse, TimeoutError) as exc:
            if isinstance(exc, TimeoutError):
                self.renew_connections()
            raise StoreUnavailable(f"no usable response: {exc!r}", step=step) from exc
        era = self._observe_era(answer, step)
        match answer.status:
            case 200:
                return _Answer(era, answer.body)
            case 410:
                raise ChangesUnavailable(
                    "changes after the requested revision were dropped", step=step
                )
            case 404 if step.startswith(("keep", "txn")):
                raise LeaseNotFound("lease does not exist", step=step)
            case status:
                raise StoreUnavailable(f"unexpected status {status}", step=step)

    def _observe_era(self, answer: Response, step: str) -> int:
        """Return the era of an answer of any status; the known one if it names none.

        Raises StoreUnavailable for a late answer from an earlier era.
        """
        texts = list(field_values(answer.fields, ERA.lower()))
        if not texts:
            return self.era
        text = b", ".join(texts).strip()
        if not (text.isdigit() and len(text) <= MAX_ERA_DIGITS):
            logger.warning("unreadable era of the store ignored: {!r:.80}", text)
            return self.era
        if (era := int(text)) > self.era:
            logger.info("store is in era {}, before: {}", era, self.era)
            self.era = era
        elif era < self.era:
            raise StoreUnavailable(f"late answer of era {era} in {self.era}", step=step)
        return era

    async def _exchange(
        self, method: str, path: str, body: object, max_bytes: int
    ) -> Response:
        conn = await self._acquire_conn()
        fields = [(b"Host", f"{self._host}:{self._port}".encode())]
        data = b""
        if body is not None:
            data = msgspec.json.encode(body)
            fields.append((b"Content-Type", b"application/json"))
        is_reusable = False
        try:
            answer = await conn.call(
                RequestHead(method.encode(), path.encode(), fields), data, max_bytes
            )
            is_reusable = conn.prepare_reuse()
        finally:
            if is_reusable:
                self._idle.append(conn)
            else:
                conn.close()
        return answer

    async def _acquire_conn(self) -> TargetConn:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable:
                return conn
            conn.close()
        return TargetConn(await connect_tcp(self._host, self._port, CONNECT_TIMEOUT_S))


def _check_lease(era: int, answer: _Answer) -> None:
    """Raise LeaseNotFound if the answer to a call with a lease is of a later era."""
    if answer.era != era:
        raise LeaseNotFound(f"restored since era {era}", step="keep")


def _decode(body: bytes, decoder: JsonDecoder[Decoded]) -> Decoded:
    try:
        return decoder.decode(body)
    except WireError as exc:
        raise StoreUnavailable(f"malformed response: {exc}") from exc


def _read_items(rows: Sequence[msgspec.Raw], era: int) -> Iterator[KeyRevision]:
    """Yield the items of an answer; one that is not readable costs only itself."""
    for row in rows:
        try:
            yield _item_decoder.decode(row).to_item(era)
        except WireError as exc:
            logger.warning("item of the store ignored: {}", exc)
