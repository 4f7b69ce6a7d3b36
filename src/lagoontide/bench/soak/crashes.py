"""Targets that crash, at random or on some requests, and what entries send them."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from lagoontide.bench.soak.callers import Address, Callers
from lagoontide.bench.soak.checker import LIMIT_KNOWN_S, Changes
from lagoontide.bench.soak.records import CRASHING_PART, PROMPT_KINDS, Asked, Work
from lagoontide.platform.standins.runs import Run
from lagoontide.platform.standins.targets import TargetStandin

__all__ = ["Crashes", "check_crashes", "could_run", "is_crashing_run"]

RATE = 12.0
PAUSE_S = (0.7, 2.5)
RESTART_S = (0.3, 2.0)
VERSIONS = ("v1", "v2", "v3")
# After this many crashes under one part, and the time in which entries learn of them,
# at most MOST_LATER more requests with it may reach targets (issue 34).
CRASHES = 5
CONTACT_S = 3.0
MOST_LATER = 3
# Entries know of a target within this time of its registration.
REGISTERED_S = 0.5
# Entries tell each other of a limit's end within this time of the answer that shows it.
END_KNOWN_S = 0.3


def is_crashing_run(run: Run) -> bool:
    """Return whether a run makes its target crash."""
    return CRASHING_PART in run.parts[:-1]


@dataclass(slots=True)
class Crashes:
    """Crashes targets, and sends requests that do so beside others like them.

    It draws from numbers of its own, so that the other faults of a seed stay the same.

    Attributes
    ----------
    changes_versions : bool
        Whether targets that crash at random may start again at another version.
    """

    addresses: Callable[[], list[Address]]
    targets: Sequence[TargetStandin]
    keys: Callable[[], list[str]]
    rng: random.Random
    asked: list[Asked] = field(default_factory=list)
    crashed: int = 0
    changes_versions: bool = False

    async def run(self, seconds: float) -> None:
        """Send requests and crash targets for some time."""
        for target in self.targets:
            target.crashes_on = is_crashing_run
        callers = self._callers("p")
        await asyncio.gather(callers.run(seconds), self._crash_at_random(seconds))
        callers.close()

    async def run_calm(self, seconds: float) -> None:
        """Send the same requests, but crash nothing else."""
        callers = self._callers("q")
        await callers.run(seconds)
        callers.close()

    @staticmethod
    def crashing_runs(targets: Iterable[TargetStandin]) -> int:
        """Return how many runs made targets crash."""
        return sum(is_crashing_run(run) for target in targets for run in target.log)

    def _callers(self, name: str) -> Callers:
        rng = random.Random(self.rng.random())
        return Callers(
            self.addresses, self.keys(), RATE, rng, name, PROMPT_KINDS, self.asked
        )

    async def _crash_at_random(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            target = self.rng.choice(self.targets)
            if target.is_up:
                target.restart_after = self.rng.uniform(*RESTART_S)
                target.keeps_id = self.rng.random() < 0.3
                if self.changes_versions:
                    target.next_version = self.rng.choice(VERSIONS)
                target.crash()
                self.crashed += 1


def could_run(item: Asked, targets: Sequence[TargetStandin], changes: Changes) -> bool:
    """Return whether any target of a request's service could take it as it was sent.

    One that is down, has left, or names a rate limit that the checker holds entries to
    could not. Nor could one whose limit has ended, for a moment, while others begin to
    name theirs: all entries hear of the end from the first answer.
    """
    left_at = changes.gone_at
    limits = [
        limit for limit in changes.limits if limit.since <= item.sent_at < limit.until
    ]
    limited = {limit.target for limit in limits}
    if any(item.sent_at < limit.since + LIMIT_KNOWN_S for limit in limits):
        limited |= _not_known_unlimited(item.sent_at, targets, changes)
    service = "engine" if item.kind.work is Work.STREAM else "plain"
    return any(
        target.service == service
        and target.name not in limited
        and left_at.get(target.name, item.sent_at) >= item.sent_at
        and not any(
            since <= item.sent_at < until + REGISTERED_S for since, until in target.down
        )
        for target in targets
    )


def _not_known_unlimited(
    sent_at: float, targets: Iterable[TargetStandin], changes: Changes
) -> set[str]:
    """Return the targets of which entries may still believe that they name a limit."""
    names = set()
    for target in targets:
        ended_at = changes.unlimited_at.get(target.name)
        if ended_at is not None:
            heard = (at for at in target.arrived_at if at > ended_at)
            if sent_at < min(heard, default=float("inf")) + END_KNOWN_S:
                names.add(target.name)
    return names


def check_crashes(targets: Iterable[TargetStandin], since: float) -> list[str]:
    """Return the broken bound on runs that crash targets, if it is.

    Parameters
    ----------
    since : float
        Loop time from which all entries were undisturbed.
    """
    runs = sorted(
        run.at for target in targets for run in target.log if is_crashing_run(run)
    )
    if len(runs) < CRASHES:
        return []
    known_at = max(runs[CRASHES - 1] + CONTACT_S, since)
    later = sum(at > known_at for at in runs)
    if later <= MOST_LATER:
        return []
    return [f"BUDGET: {later} runs crashed targets after {CRASHES}, {len(runs)} in all"]
