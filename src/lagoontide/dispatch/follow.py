"""One attempt, from the message that is sent to an outcome that is certain."""

import asyncio
from collections.abc import Callable

from lagoontide.dispatch.call import StageCall
from lagoontide.dispatch.messages import (
    Call,
    Cancel,
    Done,
    Failed,
    NotRun,
    Pending,
    Reply,
    Settle,
    Tokens,
    Unknown,
    digest,
    is_whole,
)
from lagoontide.dispatch.outcomes import Result
from lagoontide.errors import PeerError, PeerTimeout
from lagoontide.membership.link import Link
from lagoontide.wire.conn import Exchange

__all__ = ["Follower", "make_message"]

SILENCE_S = 0.5
SETTLE_S = 0.5
SETTLE_TRIES = 3
STALL_S = 1.0


def make_message(call: StageCall, link: Link, attempt: str) -> Call:
    """Return the message of an attempt at the agent of a link."""
    return Call(
        attempt=attempt,
        request=call.request,
        stage=call.stage.name,
        incarnation=link.incarnation,
        operation=call.stage.operation,
        account=call.account,
        weight=call.weight,
        priority=call.priority,
        budget=call.deadline - asyncio.get_running_loop().time(),
        repeatable=call.stage.repeatable,
        streams=call.streams,
        body=call.body,
        digest=digest(call.body),
        resume=tuple(call.tokens.settled),
        size=call.size,
        epoch=link.epoch,
    )


class Follower:
    """Waits for the last reply of one attempt and asks when it stays away.

    Parameters
    ----------
    can_move : callable
        Whether another target could go on with a stalled generation.
    """

    def __init__(
        self, call: StageCall, link: Link, message: Call, can_move: Callable[[], bool]
    ) -> None:
        self._call = call
        self._link = link
        self._message = message
        self._can_move = can_move
        self._ask_now = False
        self._running = False
        self._moved_at = 0.0
        self._tokens_at: float | None = None
        self.dropped = 0

    async def run(self) -> Result:
        """Send the message and return how the attempt ended."""
        message = self._message
        if message.budget <= 0:
            return NotRun(message.attempt, "the deadline passed before it was sent")
        tokens = self._call.tokens
        tokens.begin(message.attempt)
        result: Result | None = None
        try:
            result = await self._send()
            return result
        finally:
            if isinstance(result, Done):
                tokens.finish(message.attempt)
            else:
                tokens.end(message.attempt)

    async def _send(self) -> Result:
        message = self._message
        try:
            exchange = await self._link.conn.open(message)
        except PeerError as exc:
            # The socket took nothing, so nothing can arrive.
            return NotRun(message.attempt, str(exc))
        self._link.sent += 1
        self._link.sent_since += 1
        try:
            with exchange:
                return await self._follow(exchange)
        except asyncio.CancelledError:
            await self._cancel()
            raise
        finally:
            self._link.sent -= 1

    async def _follow(self, exchange: Exchange) -> Result:
        loop = asyncio.get_running_loop()
        self._moved_at = loop.time()
        while (left := self._call.deadline - loop.time()) > 0:
            reply = await self._next(exchange, left)
            final = None if reply is None else self._take(reply)
            if final is not None:
                return final
            if self._is_stalled() and self._can_move():
                await self._cancel()
                count = self._call.tokens.count(self._message.attempt)
                return Failed(self._message.attempt, f"stalled after {count} tokens")
        return await self._give_up()

    async def _next(self, exchange: Exchange, left: float) -> Reply | None:
        """Return the next reply, or what the agent says after a silence."""
        if not self._ask_now:
            try:
                return await exchange.next(min(left, SILENCE_S))
            except PeerTimeout:
                pass
        self._ask_now = False
        return await self._settle(min(left, SETTLE_S))

    async def _settle(self, timeout: float) -> Reply | None:
        message = self._message
        have = self._call.tokens.count(message.attempt)
        question = Settle(message.attempt, message.incarnation, message.epoch, have)
        try:
            return await self._link.conn.ask(question, timeout)
        except PeerTimeout:
            return None
        except PeerError:
            # It cannot be sent; without a pause this would be asked in a loop.
            await asyncio.sleep(timeout)
            return None

    def _take(self, reply: Reply) -> Result | None:
        """Return the outcome if this reply decides it."""
        if reply.attempt != self._message.attempt:
            self.dropped += 1
            return None
        match reply:
            case Tokens(offset=offset, tokens=tokens):
                self._note_tokens(len(tokens))
                self._note_progress()
                self._ask_now = not self._take_tokens(offset, tokens)
                return None
            case Pending(load=load, running=running):
                self._running = running
                self._link.observe(load)
                return None
            case Done():
                return self._take_done(reply)
            case NotRun(reason=reason, load=load):
                self._link.observe(load)
                self._link.refuse(reason)
                self._note_progress()
            case Failed(load=load):
                self._link.observe(load)
                self._note_progress()
            case Unknown(reason=reason):
                self._link.refuse(reason)
        return reply

    def _take_tokens(self, offset: int, tokens: list[str]) -> bool:
        return self._call.tokens.take(self._message.attempt, offset, tokens)

    def _note_tokens(self, count: int) -> None:
        """Tell the target's health how long this many tokens took."""
        now = asyncio.get_running_loop().time()
        if self._tokens_at is not None:
            self._link.health.note_tokens(count, now - self._tokens_at)
        self._tokens_at = now

    def _note_progress(self) -> None:
        now = asyncio.get_running_loop().time()
        self._moved_at = now
        self._link.health.note_progress(now)

    def _take_done(self, reply: Done) -> Result | None:
        self._link.observe(reply.load)
        if not is_whole(reply):
            # The agent has it whole; the next silence ends in asking for it.
            self.dropped += 1
            return None
        self._note_progress()
        if reply.tokens:
            self._take_tokens(reply.offset, reply.tokens)
        return reply

    def _is_stalled(self) -> bool:
        """Whether a generation that had begun gives no tokens any more."""
        started = self._running or bool(self._call.tokens.settled)
        silent = asyncio.get_running_loop().time() - self._moved_at
        return (
            self._call.streams
            and self._call.stage.repeatable
            and started
            and silent >= STALL_S
        )

    async def _give_up(self) -> Result:
        """Say that nobody waits any more, and what is known of the attempt."""
        attempt = self._message.attempt
        await self._cancel()
        if not self._call.stage.repeatable:
            for _ in range(SETTLE_TRIES):
                reply = await self._settle(SETTLE_S / SETTLE_TRIES)
                final = None if reply is None else self._take(reply)
                if final is not None:
                    return final
        return Unknown(attempt, "no answer by the deadline")

    async def _cancel(self) -> None:
        message = self._message
        try:
            await self._link.conn.tell(
                Cancel(message.attempt, message.incarnation, message.epoch)
            )
        except PeerError:
            return  # It then ends by itself.
