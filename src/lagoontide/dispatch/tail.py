"""Tail cutting: a second attempt for a late call, and stragglers put out."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from lagoontide.dispatch.call import StageCall
from lagoontide.dispatch.messages import Cancel, Done, Failed, NotRun, Unknown
from lagoontide.dispatch.pace import Budget, Pace
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

__all__ = ["HedgeLate", "NoHedge", "Race", "Tail", "TailPolicy", "Try"]

Result = Done | NotRun | Failed | Unknown
Begin = Callable[[Link, str], Coroutine[Any, Any, Result]]
PickOther = Callable[[], Link | None]

# The targets of a pool are looked over at most this often.
REVIEW_S = 0.01
# A late call that got no second attempt is looked at again after this time.
LEAST_CHECK_S = 0.02
HEDGE_SHARE = 0.05
HEDGE_BURST = 20.0
MAX_ACTIVE = 2
MAX_TRIES = 4


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


@dataclass(slots=True)
class Try:
    """One attempt of a race."""

    id: str
    link: Link
    task: asyncio.Task[Result]
    started: float
    resumed: bool = False
    ended: float = 0.0
    withdrawn: bool = False
    is_late: bool = False

    @property
    def is_done(self) -> bool:
        """Whether it has ended with a result that is one."""
        return not self.task.cancelled() and isinstance(self.task.result(), Done)


@dataclass(slots=True)
class Race:
    """Attempts of one call that run side by side; the first result wins.

    Attributes
    ----------
    number : int
        Of its next attempt within the call.
    leader : str
        The attempt whose tokens the caller gets; empty while that is open.
    """

    call: StageCall
    begin: Begin
    pick_other: PickOther
    number: int
    tries: list[Try] = field(default_factory=list)
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    leader: str = ""

    def start(self, link: Link) -> None:
        """Begin one more attempt."""
        loop = asyncio.get_running_loop()
        attempt = f"{self.call.attempt_prefix}.{self.number}"
        self.number += 1
        link.health.begin(loop.time())
        task = loop.create_task(self.begin(link, attempt))
        item = Try(attempt, link, task, loop.time(), bool(self.call.tokens.settled))
        task.add_done_callback(lambda _: self._note_end(item))
        self.tries.append(item)
        link.health.watchers.add(self.wake)

    @property
    def may_grow(self) -> bool:
        """Whether one more attempt may begin; one that was refused does not count."""
        active = [item.id for item in self.tries if not item.task.done()]
        if self.leader in active:
            return False
        return len(active) < MAX_ACTIVE and len(self.tries) < MAX_TRIES

    def give_way(self, leader: str) -> None:
        """Cancel all attempts but the one whose tokens the caller gets."""
        self.leader = leader
        for item in self.tries:
            if item.id != leader and not item.task.done():
                item.task.cancel()

    def _note_end(self, item: Try) -> None:
        item.ended = asyncio.get_running_loop().time()
        item.link.health.end()
        self.wake.set()

    @property
    def winner(self) -> Try | None:
        """The attempt that decides, or None while one may still succeed."""
        ended = [item for item in self.tries if item.task.done()]
        if len(ended) < len(self.tries):
            return next((item for item in ended if item.is_done), None)
        ended = [item for item in ended if not item.task.cancelled()]
        # A result decides; then what is least certain: another's NotRun says
        # nothing of it.
        return max(ended, key=lambda item: _weight(item.task.result()))

    def stop(self) -> None:
        """Cancel the attempts that still run; each tells its agent so."""
        for item in self.tries:
            item.link.health.watchers.discard(self.wake)
            if not item.task.done():
                item.ended = asyncio.get_running_loop().time()
                item.task.cancel()


def _weight(result: Result) -> int:
    match result:
        case Done():
            return 3
        case Unknown():
            return 2
        case Failed():
            return 1
        case _:
            return 0


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
