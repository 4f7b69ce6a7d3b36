"""Claims of an entry: asked of the owners, and answered for those it owns."""

import asyncio
import uuid
from collections.abc import Callable
from typing import Any

import msgspec
import xxhash
from loguru import logger

from lagoontide.claims.baseline import Claim, judge
from lagoontide.claims.messages import (
    Busy,
    ClaimAsk,
    ClaimReply,
    Granted,
    Held,
    NotOwner,
    ReleaseAsk,
)
from lagoontide.claims.owner import Owner, owner_key, take_over
from lagoontide.claims.rows import OwnerRecord
from lagoontide.errors import PeerError, RequestFailed, StoreConflict, StoreError
from lagoontide.membership.peers import Peers
from lagoontide.store.kv import KeyValueStore
from lagoontide.wire.server import Send

__all__ = ["PARTITIONS", "PartitionClaims"]

PARTITIONS = 64
LEASE_S = 5.0
RENEW_S = 1.5
ASK_S = 1.0
RETRY_S = 0.1


class PartitionClaims:
    """Claims keys at the owners of their partitions.

    Parameters
    ----------
    address : callable
        Returns this entry's own address for peers.
    """

    def __init__(
        self, store: KeyValueStore, peers: Peers, address: Callable[[], str]
    ) -> None:
        self._store = store
        self._peers = peers
        self._address = address
        self._owned: dict[int, Owner] = {}
        self._known: dict[int, str] = {}
        self._finding: dict[int, asyncio.Task[Owner | str]] = {}
        self._lease = ""

    @property
    def owned(self) -> tuple[Owner, ...]:
        """The partitions that this entry answers for."""
        return tuple(self._owned.values())

    async def claim(self, account: str, key: str, wanted: Claim, timeout: float) -> str:
        """See Claims."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        ask = _make_ask(account, key, wanted, timeout)
        tries = 0
        while (left := end - loop.time()) > 0:
            address = self._pick(ask, tries)
            reply = await self._ask(address, ask, min(left, ASK_S))
            match reply:
                case Granted():
                    return ""
                case Held(request=request, digest=digest):
                    return judge(wanted, Claim(request.hex(), digest))
                case NotOwner(address=owner) if owner and owner != address:
                    self._known[ask.partition] = owner
                case _:
                    self._known.pop(ask.partition, None)
                    tries += 1
            await asyncio.sleep(min(RETRY_S, max(0.0, end - loop.time())))
        await self.release(account, key, wanted)
        raise RequestFailed(
            "not_run", "the claim was not confirmed in time", step="claim"
        )

    async def release(self, account: str, key: str, wanted: Claim) -> None:
        """See Claims."""
        ask = _make_ask(account, key, wanted, 0.0)
        message = ReleaseAsk(ask.partition, ask.key, ask.request)
        address = self._pick(ask, 0)
        if address == self._address():
            self._release(message)
            return
        try:
            await self._peers.conn(address).tell(message)
        except PeerError:
            return  # The key then stays taken until its retention is over.

    async def handle(self, peer: str, message: Any, send: Send) -> None:
        """Answer another entry."""
        match message:
            case ClaimAsk():
                await send(await self._answer(message))
            case ReleaseAsk():
                self._release(message)

    async def keep_lease(self) -> None:
        """Renew the lease of this entry's partitions until cancelled."""
        while True:
            await asyncio.sleep(RENEW_S)
            self._drop(lambda owner: owner.is_fenced)
            if not self._lease:
                continue
            try:
                await self._store.renew(self._lease)
            except StoreConflict:
                # Others may have taken over; keys are taken again when asked for.
                self._lease = ""
                self._drop(lambda owner: True)
            except StoreError as exc:
                logger.bind(step="claims").warning("lease: {}", exc)

    def close(self) -> None:
        """Stop answering for partitions."""
        for task in tuple(self._finding.values()):
            task.cancel()
        self._drop(lambda owner: True)

    def _drop(self, should_go: Callable[[Owner], bool]) -> None:
        for owner in self.owned:
            if should_go(owner):
                self._owned.pop(owner.partition).close()

    def _pick(self, ask: ClaimAsk, tries: int) -> str:
        """Return the known owner, or who should be it: the same for all entries."""
        known = self._known.get(ask.partition)
        if known is not None:
            return known
        addresses = {item.address for item in self._peers.entries}
        ranked = sorted(
            addresses | {self._address()},
            key=lambda address: xxhash.xxh3_64_intdigest(
                f"{ask.partition} {address}".encode()
            ),
        )
        return ranked[tries % len(ranked)]

    async def _ask(
        self, address: str, ask: ClaimAsk, timeout: float
    ) -> ClaimReply | None:
        ask = msgspec.structs.replace(ask, budget=timeout)
        if address == self._address():
            return await self._answer(ask)
        try:
            return await self._peers.conn(address).ask(ask, timeout)
        except PeerError:
            return None

    async def _answer(self, ask: ClaimAsk) -> ClaimReply:
        if not 0 <= ask.partition < PARTITIONS:
            return Busy(f"no partition {ask.partition}")
        try:
            async with asyncio.timeout(ask.budget):
                owner = await self._find_owner(ask.partition)
        except (StoreError, TimeoutError) as exc:
            return Busy(f"store: {exc}")
        if isinstance(owner, str):
            return NotOwner(owner)
        return await owner.claim(ask)

    def _release(self, ask: ReleaseAsk) -> None:
        owner = self._owned.get(ask.partition)
        if owner is not None:
            owner.release(ask)

    async def _find_owner(self, partition: int) -> Owner | str:
        """Return the owner if it is here, taking over if there is none."""
        owner = self._owned.get(partition)
        if owner is not None and not owner.is_fenced:
            return owner
        finding = self._finding.get(partition)
        if finding is None:
            finding = asyncio.create_task(self._become_owner(partition))
            self._finding[partition] = finding
            finding.add_done_callback(lambda task: self._end_finding(partition, task))
        # It goes on when the claim that began it has no more time.
        return await asyncio.shield(finding)

    def _end_finding(self, partition: int, task: asyncio.Task[Owner | str]) -> None:
        del self._finding[partition]
        if not task.cancelled() and task.exception() is not None:
            logger.bind(step="claims").debug("take over: {}", task.exception())

    async def _become_owner(self, partition: int) -> Owner | str:
        if not self._lease:
            self._lease = await self._store.grant(LEASE_S)
        address = await self._register(partition)
        if address != self._address():
            return address
        old = self._owned.pop(partition, None)
        if old is not None:
            old.close()
        self._owned[partition] = await take_over(self._store, partition)
        return self._owned[partition]

    async def _register(self, partition: int) -> str:
        """Put this entry down as owner unless there is one; return the owner."""
        mine = OwnerRecord(self._address(), uuid.uuid4().hex)
        value = msgspec.msgpack.encode(mine)
        try:
            await self._store.swap(owner_key(partition), 0, value, self._lease)
            return mine.address
        except StoreConflict as exc:
            entry = await self._store.get(owner_key(partition))
            if entry is None:
                self._lease = ""  # It has lapsed, perhaps while this entry paused.
                raise exc
            return msgspec.msgpack.decode(entry.value, type=OwnerRecord).address


def _make_ask(account: str, key: str, wanted: Claim, budget: float) -> ClaimAsk:
    place = xxhash.xxh3_128_digest(f"{account}\0{key}".encode())
    partition = int.from_bytes(place[:4], "big") % PARTITIONS
    request = bytes.fromhex(wanted.request)
    return ClaimAsk(partition, place, request, wanted.digest, budget)
