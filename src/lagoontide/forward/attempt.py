"""One send of a request to one target."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from typing import NoReturn

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.forward.call import Call, World
from lagoontide.forward.fields import BadFields, Marks, Orders
from lagoontide.http1.client import BadAnswer, TargetConn
from lagoontide.http1.messages import ResponseHead
from lagoontide.targets.health import Health
from lagoontide.targets.pool import ConnPool
from lagoontide.targets.records import Target

__all__ = ["InputsGone", "Opened", "SendOptions", "losses_noted", "open_attempt"]

# A target that does not accept within this time is passed over; nothing was sent.
CONNECT_S = 0.3


class InputsGone(TargetUnreachable):
    """The target did not run the request, as results of its stages are gone."""


@dataclass(frozen=True, slots=True)
class SendOptions:
    """What differs between the sends of one request."""

    urgency: int | None = None
    inputs: tuple[str, ...] = ()
    last_event: int | None = None


class Opened:
    """A target's answer, of which the head has been read."""

    def __init__(
        self, target: Target, pool: ConnPool, conn: TargetConn, sent_at: float
    ) -> None:
        self.target = target
        self.sent_at = sent_at
        self.head = ResponseHead(0)
        self.marks = Marks(None, has_not_run=False, is_sealed=False)
        self._pool = pool
        self._conn = conn
        self._is_closed = False

    async def read_head(self, world: World, request_id: str, is_fresh: bool) -> None:
        """Read the head; see TargetConn."""

        def is_ours(head: ResponseHead) -> bool:
            told = world.dialect.read_answer(head).request_id
            # Only on a new connection nothing else can be meant.
            return told == request_id or (told is None and is_fresh)

        self.head = await self._conn.read_head(is_ours)
        self.marks = world.dialect.read_answer(self.head)

    async def body(self, most: int | None = None) -> AsyncIterator[bytes]:
        """Yield the body as it comes, of up to ``most`` bytes; raises TargetFailed."""
        try:
            async for data in self._conn.read_body(most):
                yield data
        except (OSError, BadAnswer) as exc:
            raise TargetFailed(
                f"answer cut: {exc!r}", step="body", peer=self.target.id
            ) from exc

    def close(self, is_whole: bool = False) -> None:
        """Let go of the connection; it is kept only after a whole answer."""
        if self._is_closed:
            return
        self._is_closed = True
        self._pool.give_back(self._conn, is_whole and self._conn.rest())

    def settle(self) -> None:
        """Let go of the connection while its answer may still be coming."""
        if not self._is_closed:
            self._is_closed = True
            self._pool.settle(self._conn)


@contextlib.contextmanager
def losses_noted(health: Health, target: Target) -> Iterator[None]:
    """Take note of a target that does not accept, or gives no whole answer."""
    try:
        yield
    except TargetUnreachable as exc:
        if exc.step == "connect":
            health.note_loss(target)
        raise
    except TargetFailed:
        health.note_loss(target)
        raise


async def open_attempt(
    world: World, call: Call, target: Target, options: SendOptions
) -> Opened:
    """Send a request to a target and return its answer's head.

    Raises
    ------
    TargetUnreachable
        If it provably has not run there; InputsGone if stages have to be redone.
    TargetFailed
        If it may have run.
    """
    loop = asyncio.get_running_loop()
    pool = world.pools.of(target)
    conn = await pool.take(CONNECT_S, is_once=not call.route.may_repeat)
    opened = Opened(target, pool, conn, loop.time())
    if not world.directory.takes_work(target):
        opened.close()
        raise TargetUnreachable("leaving", step="connect", peer=target.id)
    number = call.ledger.begin()
    is_sound = False
    try:
        await _send(world, call, opened, conn, options)
        if opened.marks.has_not_run:
            call.ledger.disprove(number)
            _refused(world, opened)
        is_sound = True
    except (OSError, BadAnswer, BadFields) as exc:
        raise TargetFailed(f"no answer: {exc!r}", step="send", peer=target.id) from exc
    finally:
        if not is_sound:
            opened.close()
    return opened


async def _send(
    world: World, call: Call, opened: Opened, conn: TargetConn, options: SendOptions
) -> None:
    orders = Orders(
        time_left=call.time_left,
        target=opened.target.id,
        account=call.account.name if call.account else None,
        urgency=options.urgency,
        inputs=options.inputs,
        last_event=options.last_event,
    )
    head = world.dialect.write_request(call.request.head, orders)
    is_fresh = conn.is_fresh
    await conn.send(head, call.request.body)
    await opened.read_head(world, call.asked.request_id, is_fresh)


def _refused(world: World, opened: Opened) -> NoReturn:
    """Raise a refusal; its head says all, so its body is not waited for."""
    target = opened.target
    opened.settle()
    if opened.marks.is_misdirected:
        world.directory.mark_left(target, "another target has its address")
    kind = InputsGone if opened.marks.lacks_inputs else TargetUnreachable
    raise kind(f"refused with {opened.head.status}", step="send", peer=target.id)
