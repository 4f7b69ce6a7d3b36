"""One attempt to send a request to a target."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from typing import NoReturn

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.fields import ForwardMetadata, InvalidField, ResponseMetadata
from lagoontide.http1.client import InvalidResponse, TargetConn
from lagoontide.http1.messages import ResponseHead
from lagoontide.targets.endings import Endings
from lagoontide.targets.health import Health
from lagoontide.targets.pool import ConnPool
from lagoontide.targets.records import Target

__all__ = [
    "InputsGone",
    "SendOptions",
    "TargetPauses",
    "TargetResponse",
    "record_losses",
    "start_attempt",
]

# After this time without a connection another target is tried; nothing was sent.
CONNECT_TIMEOUT_S = 0.3


class InputsGone(TargetUnreachable):
    """The target did not run the request because stage results are missing."""


class TargetPauses(TargetFailed):
    """The target has asked for no requests for a while; this one may have run."""


@dataclass(frozen=True, slots=True)
class SendOptions:
    """Values that may differ between the sends of one request.

    Attributes
    ----------
    has_turn : bool
        Whether this send is already counted in the target's rate limit.
    """

    urgency_level: int | None = None
    inputs: tuple[str, ...] = ()
    last_event_id: int | None = None
    has_turn: bool = False


class TargetResponse:
    """A response from a target, with its head read and its body still to come."""

    def __init__(
        self,
        target: Target,
        pool: ConnPool,
        conn: TargetConn,
        sent_at: float,
        endings: Endings,
        call: Call,
    ) -> None:
        self.target = target
        self.sent_at = sent_at
        self.head = ResponseHead(0)
        self.metadata = ResponseMetadata(None, has_not_run=False, is_sealed=False)
        self._pool = pool
        self._conn = conn
        self._endings = endings
        self._call = call
        self._is_closed = False

    @property
    def last_byte_at(self) -> float | None:
        """Loop time of the last byte of the response; None if there was none yet."""
        last = self._conn.tcp.last_byte_at
        # An earlier byte belongs to the previous request on the connection.
        return None if last is None or last < self.sent_at else last

    @property
    def is_from_another_target(self) -> bool:
        """Whether another target has the address, which does not run the request."""
        answered_by = self.metadata.answered_by
        is_named = answered_by is not None and answered_by != self.target.id
        return self.metadata.is_misdirected and is_named

    @property
    def has_not_run(self) -> bool:
        """Whether the response proves that the request did not run and never will."""
        return self.metadata.has_not_run or self.is_from_another_target

    async def read_head(
        self, state: ForwardingState, request_id: str, is_new_conn: bool
    ) -> None:
        """Read the response head; see ``TargetConn.read_head``."""

        def matches_request(head: ResponseHead) -> bool:
            answered_id = state.field_codec.decode_response(head).request_id
            # A response without a request id can only be matched on a new
            # connection, which has carried no other request.
            return answered_id == request_id or (answered_id is None and is_new_conn)

        self.head = await self._conn.read_head(matches_request)
        self.metadata = state.field_codec.decode_response(self.head)

    async def body(self, max_bytes: int | None = None) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive.

        Parameters
        ----------
        max_bytes : int, optional
            Longest body that is accepted.

        Raises
        ------
        TargetFailed
            If the body is incomplete, invalid or too long.
        """
        try:
            async for data in self._conn.read_body(max_bytes):
                yield data
        except (OSError, InvalidResponse) as exc:
            raise TargetFailed(
                f"response body interrupted: {exc!r}", step="body", peer=self.target.id
            ) from exc
        if self.head.ends_with_connection and await self._endings.has_stopped(
            self.target
        ):
            # Nothing else tells the end of such a body from the end of its target.
            raise TargetFailed(
                "target ended with its response", step="body", peer=self.target.id
            )

    def close(self, is_complete: bool = False) -> None:
        """Release the connection; it is reused only after a complete response."""
        if self._is_closed:
            return
        self._is_closed = True
        self._call.last_byte_at = self.last_byte_at
        self._pool.release(self._conn, is_complete and self._conn.prepare_reuse())

    def settle(self) -> None:
        """Release the connection and let the pool read the rest of the response."""
        if not self._is_closed:
            self._is_closed = True
            self._call.last_byte_at = self.last_byte_at
            self._pool.drain_and_release(self._conn)


@contextlib.contextmanager
def record_losses(health: Health, target: Target) -> Iterator[None]:
    """Record failed connections and incomplete responses in the target's health."""
    try:
        yield
    except TargetUnreachable as exc:
        if exc.step == "connect":
            health.record_loss(target)
        raise
    except TargetPauses:
        # A penalty would outlast the pause.
        raise
    except TargetFailed:
        health.record_loss(target)
        raise


async def start_attempt(
    state: ForwardingState, call: Call, target: Target, options: SendOptions
) -> TargetResponse:
    """Send a request to a target and return the response with its head read.

    Raises
    ------
    TargetUnreachable
        If the request provably did not run; InputsGone if stages must be redone.
    TargetFailed
        If the request may have run and has no response that its caller may be given.
    """
    loop = asyncio.get_running_loop()
    call.last_target, call.last_byte_at = target.id, None
    if not options.has_turn and not state.rate_shares.take(target):
        raise TargetUnreachable(
            "over the target's rate limit", step="limit", peer=target.id
        )
    pool = state.pools.pool_of(target)
    conn = await pool.acquire(
        CONNECT_TIMEOUT_S,
        is_at_most_once=not call.route.may_repeat,
        request_id=call.metadata.request_id,
    )
    response = TargetResponse(target, pool, conn, loop.time(), state.endings, call)
    if not state.directory.is_accepting_work(target):
        response.close()
        raise TargetUnreachable(
            "target no longer accepts work", step="connect", peer=target.id
        )
    if state.rate_limits.pauses.left(target):
        # The pause has begun since the choice, or since a turn was reserved.
        response.close()
        raise TargetUnreachable("target pauses", step="limit", peer=target.id)
    number = call.send_tracker.register_send()
    is_open = False
    try:
        await _send(state, call, response, conn, options)
        if response.has_not_run:
            call.send_tracker.mark_not_run(number)
            _raise_refusal(state, response)
        if response.metadata.is_misdirected or not call.may_answer(response.metadata):
            _raise_unproven(state, response)
        is_open = True
    except (OSError, InvalidResponse, InvalidField) as exc:
        raise TargetFailed(
            f"no valid response: {exc!r}", step="send", peer=target.id
        ) from exc
    finally:
        if not is_open:
            response.close()
    return response


async def _send(
    state: ForwardingState,
    call: Call,
    response: TargetResponse,
    conn: TargetConn,
    options: SendOptions,
) -> None:
    metadata = ForwardMetadata(
        time_left=call.time_left,
        target=response.target.id,
        account=call.account.name if call.account else None,
        urgency_level=options.urgency_level,
        inputs=options.inputs,
        last_event_id=options.last_event_id,
    )
    head = state.field_codec.encode_request(call.request.head, metadata)
    is_new_conn = conn.is_fresh
    await conn.send(head, call.request.body)
    await response.read_head(state, call.metadata.request_id, is_new_conn)
    answered = response.metadata
    if not answered.is_misdirected:
        if answered.is_leaving:
            state.directory.mark_leaving(response.target, "its answer says so")
        if answered.cold_left is not None:
            state.rate_limits.cold.observe(response.target, answered.cold_left)
        state.rate_limits.observe(
            response.target, answered.rate_limit, answered.unreadable_rate_limit
        )
        state.rate_limits.pauses.observe(response.target, answered.pause, "request")


def _raise_refusal(state: ForwardingState, response: TargetResponse) -> NoReturn:
    """Raise the error for a refusal.

    The head holds everything that matters, so the body is not waited for.
    """
    target = response.target
    response.settle()
    _observe_misdirected(state, response)
    kind = InputsGone if response.metadata.lacks_inputs else TargetUnreachable
    raise kind(
        f"refused with status {response.head.status}", step="send", peer=target.id
    )


def _raise_unproven(state: ForwardingState, response: TargetResponse) -> NoReturn:
    """Raise the error for a status that says "not run" without a proof."""
    response.settle()
    _observe_misdirected(state, response)
    kind = TargetPauses if response.metadata.pause else TargetFailed
    raise kind(
        f"status {response.head.status} does not prove that the request did not run",
        step="head",
        peer=response.target.id,
    )


def _observe_misdirected(state: ForwardingState, response: TargetResponse) -> None:
    if response.metadata.is_misdirected:
        state.directory.mark_leaving(response.target, "another target has its address")
