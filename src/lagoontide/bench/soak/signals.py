"""Targets that pause, or say that they leave, rightly or wrongly, and who obeys."""

import asyncio
import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

from lagoontide.bench.soak.faults import Faults
from lagoontide.bench.soak.records import Asked
from lagoontide.platform.standins.signals import LEAVES, SignallingTarget
from lagoontide.platform.standins.targets import TargetStandin

__all__ = ["Signals", "check_signals"]

PAUSE_S = (0.2, 0.8)
MOST_REFUSED = 4
TAKE_BACK_SHARE = 0.5
TAKE_BACK_S = (0.2, 1.0)
# Texts of Retry-After and the seconds they mean; some mean none.
HUGE_S = 86400.0
RETRY_AFTERS = {"0.4": 0.4, "1.5": 1.5, "3": 3.0, "86400": HUGE_S}
RETRY_AFTERS |= dict.fromkeys(("0", "-1", "nan", "soon", "", "1e9"), 0.0)
CALM_RETRY_AFTER = "1.5"
# Values of Server-Leaving; only one field with the value 1 says something.
LEAVINGS = (LEAVES, LEAVES, LEAVES, ("0",), ("yes",), ("1", "1"), ("",))
# Bounds on requests that one entry sends on (issue 38).
ON_ITS_WAY_S = 0.5
MOST_IN_PAUSE = 2
DRAIN_S = 2.0


@dataclass(slots=True)
class Signals:
    """Lets targets pause and say that they leave.

    It draws from numbers of its own, so that the other faults of a seed stay the same.
    """

    faults: Faults
    rng: random.Random

    async def run(self, seconds: float) -> None:
        """Let targets say so for some time; at the end none refuses any more."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            target = self.rng.choice(self._targets())
            step = self.rng.choice([self._pause, self._leave])
            if done := step(target):
                self.faults.done.append(done)
        for target in self._targets():
            target.pauses_left = 0

    def run_calm(self) -> None:
        """Let one target of each service that has more than two pause or leave."""
        ready: dict[str, list[SignallingTarget]] = {}
        for target in self._targets():
            if target.name not in self.faults.changes.gone_at:
                ready.setdefault(target.service, []).append(target)
        for targets in ready.values():
            # The first names a limit, the last serves.
            if len(targets) > 2 and self.rng.random() < 0.5:
                self._refuse(targets[1], CALM_RETRY_AFTER)
            elif len(targets) > 2:
                self._say_leaving(targets[1])

    def _targets(self) -> list[SignallingTarget]:
        return [
            target
            for target in self.faults.targets
            if isinstance(target, SignallingTarget)
        ]

    def _pause(self, target: SignallingTarget) -> str:
        text = self.rng.choice(list(RETRY_AFTERS))
        if RETRY_AFTERS[text] == HUGE_S:
            if not self.faults.can_spare(target):
                return ""
            now = asyncio.get_running_loop().time()
            self.faults.changes.said_at[target.name] = now
        self._refuse(target, text)
        return f"target pauses for {text!r}"

    def _refuse(self, target: SignallingTarget, text: str) -> None:
        target.retry_after, target.pause_s = text, RETRY_AFTERS[text]
        target.pauses_left = self.rng.randint(1, MOST_REFUSED)

    def _leave(self, target: SignallingTarget) -> str:
        values = self.rng.choice(LEAVINGS)
        takes_back = self.rng.random() < TAKE_BACK_SHARE
        wait = self.rng.uniform(*TAKE_BACK_S)
        if values != LEAVES:
            target.leaving = values
        elif self.faults.can_spare(target):
            self._say_leaving(target)
        else:
            return ""
        if takes_back:
            asyncio.get_running_loop().call_later(wait, setattr, target, "leaving", ())
        return f"target says leaving {values}, takes back: {takes_back}"

    def _say_leaving(self, target: SignallingTarget) -> None:
        now = asyncio.get_running_loop().time()
        self.faults.changes.said_at[target.name] = now
        target.leaving = LEAVES


def check_signals(
    asked: Iterable[Asked], targets: Iterable[TargetStandin], since: float
) -> list[str]:
    """Return which targets got requests against what they had said, one line each.

    Parameters
    ----------
    since : float
        Loop time from which all entries were undisturbed.
    """
    requests = {item.id: item for item in asked}
    found: dict[str, None] = {}
    for target in targets:
        if isinstance(target, SignallingTarget):
            found |= dict.fromkeys(_check_pauses(requests, target, since))
            found |= dict.fromkeys(_check_leaving(requests, target, since))
    return list(found)


def _check_pauses(
    requests: Mapping[str, Asked], target: SignallingTarget, since: float
) -> Iterator[str]:
    for pause in target.paused:
        told = requests.get(pause.request_id)
        if told is None or pause.at < since or _has_left_at(told, pause.at):
            continue
        until = min(pause.at + pause.seconds, _next_start(target, pause.at))
        late = [
            name
            for at, name in target.reached
            if pause.at + ON_ITS_WAY_S < at < until
            and (item := requests.get(name)) is not None
            and item.entry == told.entry
        ]
        if len(late) > MOST_IN_PAUSE:
            yield f"BUDGET: {target.name} paused for {pause.seconds} s and got {late}"


def _check_leaving(
    requests: Mapping[str, Asked], target: SignallingTarget, since: float
) -> Iterator[str]:
    for said_at, told_name in target.said_leaving:
        told = requests.get(told_name)
        if told is None or said_at < since or _has_left_at(told, said_at):
            continue
        until = _next_start(target, said_at)
        for at, name in target.reached:
            item = requests.get(name)
            if item is None or item.entry != told.entry:
                continue
            if item.sent_at > said_at + DRAIN_S and at < until:
                yield f"DRAIN: {name} reached {target.name} after it said it leaves"


def _has_left_at(told: Asked, at: float) -> bool:
    """Return whether the answer may have come after its caller had gone."""
    is_gone = told.has_left or told.has_broken_off
    return is_gone and told.ended_at < at + ON_ITS_WAY_S


def _next_start(target: SignallingTarget, at: float) -> float:
    """Return when the target crashed next; its next incarnation has said nothing."""
    return min((crash for crash in target.crashed_at if crash > at), default=1e18)
