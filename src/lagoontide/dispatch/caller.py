"""The entry's side of a stage call: attempts until an outcome is certain."""

import asyncio

from loguru import logger

from lagoontide.dispatch.budget import RetryBudget
from lagoontide.dispatch.call import StageCall
from lagoontide.dispatch.follow import Follower, make_message
from lagoontide.dispatch.messages import Done, NotRun
from lagoontide.dispatch.outcomes import (
    Attempt,
    AttemptOutcome,
    Outcome,
    Result,
    find_outcome,
)
from lagoontide.dispatch.race import Race, Try
from lagoontide.dispatch.tail import HedgeLate, Tail, TailPolicy
from lagoontide.membership.directory import Directory
from lagoontide.membership.link import Link
from lagoontide.membership.messages import OTHER_INCARNATION
from lagoontide.routing.choose import Choose
from lagoontide.routing.health import Standing
from lagoontide.store.instances import InstanceState

__all__ = ["Dispatcher"]

MAX_ATTEMPTS = 4
NO_TARGET_PAUSE_S = 0.05


class Dispatcher:
    """Calls stages at the agents of a directory.

    Parameters
    ----------
    directory : Directory
        The agents that this entry knows.
    choose : callable
        Picks one of the candidates.
    tail : TailPolicy
        What is done about late calls.
    """

    def __init__(
        self, directory: Directory, choose: Choose, tail: TailPolicy | None = None
    ) -> None:
        self._directory = directory
        self._choose = choose
        self._retries = RetryBudget()
        self.tail = Tail(tail or HedgeLate())

    async def call(self, call: StageCall) -> Outcome:
        """Try targets until the outcome is final or the deadline has passed."""
        loop = asyncio.get_running_loop()
        attempts: list[Attempt] = []
        result: Result = NotRun("", "no target is known")
        peer = ""
        while loop.time() < call.deadline:
            # A replaced agent says hello again and is as good as a fresh one.
            spent = [x for x in attempts if x.reason != OTHER_INCARNATION]
            if len(spent) >= MAX_ATTEMPTS:
                break
            link = self._pick(
                call.stage.service,
                {item.target for item in spent},
                probes=call.stage.repeatable and self.tail.may_probe,
            )
            if link is None:
                if spent:
                    break
                await asyncio.sleep(NO_TARGET_PAUSE_S)
                continue
            race = self._start_race(call, link, attempts)
            winner = await self.tail.run(race)
            result = winner.task.result()
            peer = winner.link.name
            attempts.extend(map(_tell, race.tries))
            kind, reason = attempts[-1].outcome, attempts[-1].reason
            if not self._may_go_on(call, result):
                break
            logger.bind(request=call.request, stage=call.stage.name, peer=peer).info(
                "attempt {}: {} ({})", len(attempts), kind, reason
            )
        return Outcome(result, peer, tuple(attempts))

    def count_entries(self) -> int:
        """Return how many live entries there are, as the platform lists them."""
        entries = self._directory.peers.entries
        return sum(item.state is InstanceState.LIVE for item in entries)

    def expected_wait(self, service: str) -> float:
        """Return the seconds that a new call of a service has to wait."""
        links = self._directory.usable(service)
        fit = [link for link in links if link.health.standing is Standing.IN]
        return min((link.expected_wait for link in fit or links), default=0.0)

    def _start_race(self, call: StageCall, link: Link, before: list[Attempt]) -> Race:
        """Begin an attempt that may get a second one beside it."""
        tried = {link.name, *(item.target for item in before)}
        race = Race(
            call,
            begin=lambda link, attempt: self._attempt(call, link, attempt, tried),
            pick_other=lambda: self._pick_idle(call.stage.service, tried),
            number=len(before),
        )
        race.start(link)
        return race

    def _may_go_on(self, call: StageCall, result: Result) -> bool:
        match result:
            case Done():
                self._retries.note_success()
                return False
            case NotRun(final=final):
                return not final
            case _:
                return call.stage.repeatable and self._retries.take()

    def _pick(self, service: str, tried: set[str], probes: bool = False) -> Link | None:
        links = self._directory.usable(service)
        now = asyncio.get_running_loop().time()
        self.tail.review(service, links, now)
        fresh = [link for link in links if link.name not in tried]
        if probes and len(fresh) > 1:
            for link in fresh:
                if link.health.take_probe(now):
                    return link
        # Stragglers are better than nothing.
        fresh = [x for x in fresh if x.health.standing is Standing.IN] or fresh
        if not fresh:
            return None
        index = self._choose([link.to_candidate(now) for link in fresh])
        return fresh[index]

    def _pick_idle(self, service: str, tried: set[str]) -> Link | None:
        """Return a target for a second attempt, unless that would have to wait."""
        link = self._pick(service, tried)
        if link is None or link.health.standing is Standing.OUT:
            return None
        load = link.load
        is_busy = load.queued or load.running + link.sent_since >= load.limit
        return None if is_busy else link

    async def _attempt(
        self, call: StageCall, link: Link, attempt: str, tried: set[str]
    ) -> Result:
        def can_move() -> bool:
            links = self._directory.usable(call.stage.service)
            return any(item.name not in tried | {link.name} for item in links)

        message = make_message(call, link, attempt)
        return await Follower(call, link, message, can_move).run()


def _tell(item: Try) -> Attempt:
    """Return an attempt of a race for the request's story."""
    if item.task.cancelled() or not item.task.done():
        outcome, reason = AttemptOutcome.CANCELLED, "overtaken"
    else:
        result = item.task.result()
        outcome = find_outcome(result)
        reason = "" if isinstance(result, Done) else result.reason
    return Attempt(item.id, item.link.name, outcome, item.started, item.ended, reason)
