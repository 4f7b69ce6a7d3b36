"""Sound targets that fall silent beside planned work, which excuses no lost request."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from lagoontide.bench.soak.callers import PATIENCE_MS, Address, Callers
from lagoontide.bench.soak.faults import Faults, Hurt
from lagoontide.bench.soak.records import Asked
from lagoontide.platform.standins.runs import TargetFault
from lagoontide.platform.standins.settings import GRACE_S
from lagoontide.platform.standins.targets import TargetStandin

__all__ = ["Silences", "check_lost"]

RATE = 40.0
PAUSE_S = (0.05, 0.3)
MOST_SILENT = 6
# Timeout of the stand-ins' routes (``make_configuration``).
ROUTE_TIMEOUT_S = 2.0
# A caller may see the end of a deadline or timeout early by this time.
EARLY_S = 0.05
# A request that was not passed on may end unanswered for so long (RULES, LOST).
LOSS_SLACK_S = 0.5
SERVER_ERRORS = frozenset((500, 502))


@dataclass(slots=True)
class Silences:
    """Silences targets and changes configurations; no other target fault is about.

    It draws from numbers of its own, so that the other faults of a seed stay the same.

    Attributes
    ----------
    plans : sequence of callable
        Planned work on entries; each does some and returns what it did.
    stopped_at : mapping
        Loop times at which entries were told to stop, by address.
    """

    addresses: Callable[[], list[Address]]
    faults: Faults
    rng: random.Random
    plans: Sequence[Hurt] = ()
    stopped_at: Mapping[Address, Sequence[float]] = field(default_factory=dict)
    asked: list[Asked] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Send requests beside silences for some time; at the end all is healed."""
        rng = random.Random(self.rng.random())
        keys = self.faults.valid_keys()
        callers = Callers(self.addresses, keys, RATE, rng, "s", asked=self.asked)
        await asyncio.gather(callers.run(seconds), self._disturb(seconds))
        callers.close()
        # This cuts links, so that it comes after the last answer.
        self.faults.heal()

    def check(self) -> list[str]:
        """Return the requests that were lost, one line each."""
        return check_lost(self.asked, self.faults.targets, self.stopped_at)

    async def _disturb(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        steps = [
            self._silence,
            self._silence,
            self.faults.change_configuration,
            self.faults.trouble_store,
            *(lambda plan=plan: plan(self.rng) for plan in self.plans),
        ]
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            self.faults.done.append(self.rng.choice(steps)())

    def _silence(self) -> str:
        chosen = self.rng.choice(self.faults.targets)
        has_others = self.rng.random() < 0.5
        for target in self.faults.targets:
            if target is chosen or (
                target.service == chosen.service and not has_others
            ):
                target.draw_silence(self.rng)
                target.fault = TargetFault.SILENT
                target.faults_left = self.rng.randint(1, MOST_SILENT)
        return "silence"


def check_lost(
    asked: Iterable[Asked],
    targets: Iterable[TargetStandin],
    stopped_at: Mapping[Address, Sequence[float]],
) -> list[str]:
    """Return the requests that silences and planned work do not excuse.

    Parameters
    ----------
    stopped_at : mapping
        Loop times at which entries were told to stop, by address.
    """
    runs: Counter[str] = Counter()
    for target in targets:
        runs.update(target.requests)
    return [
        f"LOST: {item.id} {reason} after {item.ended_at - item.sent_at:.2f} s"
        for item in asked
        if not _is_drained(item, stopped_at)
        for reason in _losses(item, runs[item.id])
    ]


def _losses(item: Asked, runs: int) -> Iterator[str]:
    lasted = item.ended_at - item.sent_at
    if item.has_left:
        if lasted >= PATIENCE_MS / 1000:
            yield "had no answer"
    elif item.is_whole:
        if item.status in SERVER_ERRORS:
            yield f"got {item.status}"
    elif item.has_broken_off or lasted >= _allowed_time(item) - EARLY_S:
        return
    elif runs or lasted > LOSS_SLACK_S:
        yield "ended without an answer"


def _allowed_time(item: Asked) -> float:
    """Return the seconds after which a request may end without an answer."""
    return min(ROUTE_TIMEOUT_S, item.time_left)


def _is_drained(item: Asked, stopped_at: Mapping[Address, Sequence[float]]) -> bool:
    """Return whether its entry cut it at the end of the grace period."""
    return any(
        at + GRACE_S * 5 / 6 <= item.ended_at <= at + GRACE_S + 1.0
        for at in stopped_at.get(item.entry, ())
    )
