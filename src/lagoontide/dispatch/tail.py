"""Tail cutting: a second attempt for a late call, and stragglers put out."""

import asyncio
from dataclasses import dataclass

from loguru import logger

from lagoontide.dispatch.messages import Cancel, Done
from lagoontide.dispatch.pace import Budget, Pace
from lagoontide.dispatch.race import Race, Try
from lagoontide.errors import PeerError
from lagoontide.membership.link import Link
from lagoontide.routing.health import (
    Standing,
    Usual,
    Verdict,
    find_out_cap,
    find_usual_silence,
    find_usual_token_time,
    judge,
)

__all__ = ["HedgeLate", "NoHedge", "Tail", "TailPolicy"]

# The targets of a pool are looked over at most this often.
REVIEW_S = 0.01
# A late call that got no second attempt is looked at again after this time.
LEAST_CHECK_S = 0.02
HEDGE_SHARE = 0.05
HEDGE_BURST = 20.0


@dataclass(frozen=True, slots=True)
class NoHedge:
    """One attempt after the other, and every target gets work: the first version."""


@dataclass(frozen=True, slots=True)
class HedgeLate:
    """A second attempt for repeatable calls that are late; stragglers are out.

    Attributes
    ----------
    hedges, puts_out : bool
        Whether each of the two is done.
    """

    hedges: bool = True
    puts_out: bool = True


TailPolicy = NoHedge | HedgeLate


class Tail:
    """Runs the attempts of calls and watches over their targets."""

    def __init__(self, policy: TailPolicy) -> None:
        self.pace = Pace()
        self._policy = policy
        self._review_at: dict[str, float] = {}
        self._hedges = Budget(HEDGE_SHARE, HEDGE_BURST, HEDGE_BURST)

    async def run(self, race: Race) -> Try:
        """Wait for the deciding attempt; start a second one if the call is late."""
        race.call.tokens.on_lead = race.give_way
        try:
            while (winner := race.winner) is None:
                handle = self._wake_when_late(race)
                await race.wake.wait()
                if handle is not None:
                    handle.cancel()
                race.wake.clear()
                if race.winner is None:
                    await self._cut(race)
            self._note_result(race, winner)
            return winner
        finally:
            race.stop()

    @property
    def may_probe(self) -> bool:
        """Whether a probe, which often needs a second attempt, can be afforded."""
        return self._hedges.level >= 1

    def review(self, service: str, links: list[Link], now: float) -> None:
        """Put stragglers of a pool out and take recovered ones back."""
        if not isinstance(self._policy, HedgeLate) or not self._policy.puts_out:
            return
        if now < self._review_at.get(service, 0.0):
            return
        self._review_at[service] = now + REVIEW_S
        pool = [link.health for link in links]
        usual = Usual(find_usual_silence(pool), find_usual_token_time(pool))
        for link in links:
            match judge(link.health, usual, now):
                case Verdict.PUT_OUT if find_out_cap(pool):
                    logger.bind(peer=link.name).info(
                        "put out: {:.1f} times as slow as its pool, silent {:.3f} s",
                        link.health.ratio,
                        link.health.silence(now),
                    )
                    link.health.put_out(now)
                case Verdict.BRING_BACK:
                    logger.bind(peer=link.name).info("takes work again")
                    link.health.bring_back()
                case _:
                    pass

    def _late_after(self, race: Race) -> float | None:
        if not isinstance(self._policy, HedgeLate):
            return None
        call = race.call
        pace = self.pace.of(call.stage.service).of(call.kind)
        if race.tries[0].link.health.standing is Standing.OUT:
            # A probe: its caller is not to pay for what it finds.
            return pace.ran.value
        return pace.hedge_after

    def _wake_when_late(self, race: Race) -> asyncio.TimerHandle | None:
        """Wake the race when it is late, and then again while nothing helps."""
        late = self._late_after(race)
        if late is None or not race.may_grow:
            return None
        loop = asyncio.get_running_loop()
        at = max(race.tries[0].started + late, loop.time() + LEAST_CHECK_S)
        return loop.call_at(at, race.wake.set)

    async def _cut(self, race: Race) -> None:
        first = race.tries[0]
        now = asyncio.get_running_loop().time()
        late = self._late_after(race)
        elapsed = now - first.started
        is_out = first.link.health.standing is Standing.OUT
        if not is_out:
            if late is None or elapsed < late - LEAST_CHECK_S:
                return
            self._note_late(race, first, elapsed)
        if not race.call.stage.repeatable:
            if is_out:
                await self._withdraw(first)
            return
        if race.may_grow and self._hedges_allowed:
            other = race.pick_other()
            if other is not None and self._hedges.take():
                race.start(other)

    def _note_late(self, race: Race, item: Try, elapsed: float) -> None:
        """Count a late call against its target once, before it has ended."""
        if not item.is_late:
            item.is_late = True
            pace = self.pace.of(race.call.stage.service).of(race.call.kind)
            item.link.health.note_ratio(elapsed / pace.ran.value)

    @property
    def _hedges_allowed(self) -> bool:
        return isinstance(self._policy, HedgeLate) and self._policy.hedges

    @staticmethod
    async def _withdraw(item: Try) -> None:
        """Ask for a call back that may still wait; one that runs goes on."""
        if item.withdrawn:
            return
        item.withdrawn = True
        try:
            await item.link.conn.tell(Cancel(item.id))
        except PeerError:
            return

    def _note_result(self, race: Race, winner: Try) -> None:
        result = winner.task.result()
        if not isinstance(result, Done):
            return
        self._hedges.earn()
        pace = self.pace.of(race.call.stage.service).of(race.call.kind)
        if winner.resumed:
            return
        if pace.ran.value:
            winner.link.health.note_ratio(max(1e-6, result.ran) / pace.ran.value)
        pace.note(result.ran, winner.ended - winner.started)
