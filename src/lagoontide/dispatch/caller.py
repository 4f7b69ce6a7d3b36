"""The entry's side of a stage call: attempts until an outcome is certain."""

import asyncio
from dataclasses import dataclass

from loguru import logger

from lagoontide.dispatch.budget import RetryBudget
from lagoontide.dispatch.follow import (
    Follower,
    OnTokens,
    Result,
    StageCall,
    make_message,
)
from lagoontide.dispatch.messages import Done, NotRun
from lagoontide.membership.directory import Directory, Link
from lagoontide.routing.choose import Choose

__all__ = ["Attempt", "Dispatcher", "OnTokens", "Outcome", "StageCall"]

MAX_ATTEMPTS = 4
NO_TARGET_PAUSE_S = 0.05


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

    result: Result
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
        self._retries = RetryBudget()

    async def call(self, call: StageCall) -> Outcome:
        """Try targets until the outcome is final or the deadline has passed."""
        loop = asyncio.get_running_loop()
        attempts: list[Attempt] = []
        result: Result = NotRun("", "no target is known")
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
            result = await self._attempt(call, link, attempt, attempts)
            reason = "" if isinstance(result, Done) else result.reason
            kind = type(result).__name__
            attempts.append(Attempt(attempt, peer, kind, started, loop.time(), reason))
            if not self._may_go_on(call, result):
                break
            logger.bind(request=call.request, stage=call.stage.name, peer=peer).info(
                "attempt {}: {} ({})", len(attempts), kind, reason
            )
        return Outcome(result, peer, tuple(attempts))

    def _may_go_on(self, call: StageCall, result: Result) -> bool:
        match result:
            case Done():
                self._retries.note_success()
                return False
            case NotRun():
                return True
            case _:
                return call.stage.repeatable and self._retries.take()

    def _pick(self, service: str, tried: set[str]) -> Link | None:
        links = self._directory.usable(service)
        fresh = [link for link in links if link.name not in tried]
        if not fresh:
            return None
        now = asyncio.get_running_loop().time()
        index = self._choose([link.to_candidate(now) for link in fresh])
        return fresh[index]

    async def _attempt(
        self, call: StageCall, link: Link, attempt: str, before: list[Attempt]
    ) -> Result:
        tried = {link.name, *(item.target for item in before)}

        def can_move() -> bool:
            links = self._directory.usable(call.stage.service)
            return any(item.name not in tried for item in links)

        message = make_message(call, link, attempt)
        return await Follower(call, link, message, can_move).run()
