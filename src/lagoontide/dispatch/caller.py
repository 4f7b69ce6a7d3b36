"""The entry's side of a stage call: attempts until an outcome is certain."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from lagoontide.configuration.document import Priority, Stage
from lagoontide.dispatch.messages import (
    Call,
    Cancel,
    Done,
    Failed,
    NotRun,
    Pending,
    Settle,
    Tokens,
    Unknown,
    digest,
    is_whole,
)
from lagoontide.errors import PeerError, PeerTimeout
from lagoontide.membership.directory import Directory, Link
from lagoontide.routing.choose import Choose
from lagoontide.wire.conn import Exchange

__all__ = ["Attempt", "Dispatcher", "Outcome", "StageCall"]

MAX_ATTEMPTS = 4
SILENCE_S = 0.5
SETTLE_S = 0.5
NO_TARGET_PAUSE_S = 0.05

OnTokens = Callable[[int, list[str]], None]


@dataclass(slots=True)
class StageCall:
    """What an entry wants of a service.

    Attributes
    ----------
    deadline : float
        Loop time by which the outcome is due.
    tokens : list of str
        Tokens received so far, over all attempts.
    size : int
        Tokens that the work may give at most; 0 if that is no matter.
    """

    request: str
    stage: Stage
    account: str
    weight: float
    priority: Priority
    deadline: float
    body: bytes
    streams: bool = False
    on_tokens: OnTokens | None = None
    tokens: list[str] = field(default_factory=list)
    size: int = 0


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try of a stage call, for the request's story."""

    id: str
    target: str
    outcome: str
    started: float
    ended: float
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a stage call ended, at which peer and after which attempts."""

    result: Done | NotRun | Failed | Unknown
    peer: str
    attempts: tuple[Attempt, ...]


class Dispatcher:
    """Calls stages at the agents of a directory.

    Parameters
    ----------
    directory : Directory
        The agents that this entry knows.
    choose : callable
        Picks one of the candidates.
    """

    def __init__(self, directory: Directory, choose: Choose) -> None:
        self._directory = directory
        self._choose = choose

    async def call(self, call: StageCall) -> Outcome:
        """Try targets until the outcome is final or the deadline has passed."""
        loop = asyncio.get_running_loop()
        attempts: list[Attempt] = []
        result: Done | NotRun | Failed | Unknown = NotRun("", "no target is known")
        peer = ""
        while len(attempts) < MAX_ATTEMPTS and loop.time() < call.deadline:
            link = self._pick(call.stage.service, {item.target for item in attempts})
            if link is None:
                if attempts:
                    break
                await asyncio.sleep(NO_TARGET_PAUSE_S)
                continue
            started = loop.time()
            peer = link.name
            attempt = f"{call.request}.{call.stage.name}.{len(attempts)}"
            result = await self._attempt(call, link, attempt)
            reason = "" if isinstance(result, Done) else result.reason
            kind = type(result).__name__
            attempts.append(Attempt(attempt, peer, kind, started, loop.time(), reason))
            if not self._may_go_on(call, result):
                break
            logger.bind(request=call.request, stage=call.stage.name, peer=peer).info(
                "attempt {}: {} ({})", len(attempts), kind, reason
            )
        return Outcome(result, peer, tuple(attempts))

    @staticmethod
    def _may_go_on(call: StageCall, result: Done | NotRun | Failed | Unknown) -> bool:
        match result:
            case Done():
                return False
            case NotRun():
                return True
            case _:
                return call.stage.repeatable

    def _pick(self, service: str, tried: set[str]) -> Link | None:
        links = self._directory.usable(service)
        fresh = [link for link in links if link.name not in tried]
        if not fresh:
            return None
        now = asyncio.get_running_loop().time()
        index = self._choose([link.to_candidate(now) for link in fresh])
        return fresh[index]

    async def _attempt(
        self, call: StageCall, link: Link, attempt: str
    ) -> Done | NotRun | Failed | Unknown:
        message = self._make_message(call, link, attempt)
        link.sent += 1
        link.sent_since += 1
        try:
            with await link.conn.open(message) as exchange:
                return await self._follow(call, link, message, exchange)
        except PeerError as exc:
            return NotRun(attempt, str(exc))
        finally:
            link.sent -= 1

    @staticmethod
    def _make_message(call: StageCall, link: Link, attempt: str) -> Call:
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
            resume=tuple(call.tokens),
            size=call.size,
        )

    async def _follow(
        self, call: StageCall, link: Link, message: Call, exchange: Exchange
    ) -> Done | NotRun | Failed | Unknown:
        """Wait for the last reply; ask about the attempt after each silence."""
        loop = asyncio.get_running_loop()
        while (left := call.deadline - loop.time()) > 0:
            try:
                reply = await exchange.next(min(left, SILENCE_S))
            except PeerTimeout:
                reply = await self._settle(link, message, left)
            match reply:
                case Tokens(offset=offset, tokens=tokens):
                    self._take_tokens(call, offset, tokens)
                case Pending(load=load):
                    link.observe(load)
                case Done() if not is_whole(reply):
                    return Failed(reply.attempt, "the result arrived cut", reply.load)
                case Done(load=load) | NotRun(load=load) | Failed(load=load):
                    link.observe(load)
                    return reply
                case Unknown():
                    return reply
        await link.conn.tell(Cancel(message.attempt))
        final = await self._settle(link, message, SETTLE_S)
        if isinstance(final, Done | NotRun | Failed):
            return final
        return Unknown(message.attempt, "no answer by the deadline")

    @staticmethod
    async def _settle(
        link: Link, message: Call, left: float
    ) -> Done | NotRun | Failed | Unknown | Pending | None:
        question = Settle(message.attempt, message.incarnation)
        try:
            return await link.conn.ask(question, min(SETTLE_S, left))
        except PeerError:
            return None

    @staticmethod
    def _take_tokens(call: StageCall, offset: int, tokens: list[str]) -> None:
        """Keep the tokens that are new; a repeated one is passed on once."""
        have = len(call.tokens)
        fresh = tokens[have - offset :] if offset <= have else []
        if not fresh:
            return
        call.tokens.extend(fresh)
        if call.on_tokens is not None:
            call.on_tokens(have, fresh)
