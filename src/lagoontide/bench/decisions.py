"""Microbenchmarks of single decisions."""

import random
import time
from collections.abc import Callable

import msgspec

from lagoontide.admission.shedding import AccountUsage, AdmissionRequest, should_shed
from lagoontide.configuration.document import Priority
from lagoontide.routing.choose import Candidate, Default, make_choose
from lagoontide.routing.health import (
    Health,
    Usual,
    Verdict,
    find_usual_silence,
    find_usual_token_time,
    judge,
)
from lagoontide.scheduling.queue import FairQueue
from lagoontide.scheduling.waiting import Waiting

__all__ = ["DecisionFigures", "run_decisions"]

CANDIDATES = 32
QUEUED = 1000
ACCOUNTS = 50
ROUNDS = 400
REPEATS = 7
CHOICE_TARGET_US = 50.0
SCHEDULING_TARGET_US = 100.0


class DecisionFigures(msgspec.Struct):
    """Microseconds of one decision.

    Attributes
    ----------
    choice : float
        Of one target among 32, with the making of the candidates.
    review : float
        Of the stragglers among 32, which is due every 10 ms and pool.
    scheduling : float
        One call taken and one started, at 1,000 queued of 50 accounts.
    shedding : float
        Whether a request is refused at the door, with 50 accounts.
    """

    choice: float
    review: float
    scheduling: float
    shedding: float


def run_decisions(seed: int, as_json: bool) -> int:
    """Measure and print; return 1 if a target is missed."""
    rng = random.Random(seed)
    figures = DecisionFigures(
        choice=_time(_make_choice(rng)),
        review=_time(_make_review(rng)),
        scheduling=_time(_make_scheduling(rng)),
        shedding=_time(_make_shedding(rng)),
    )
    if as_json:
        print(msgspec.json.encode(figures).decode())
    else:
        for name in figures.__struct_fields__:
            print(f"{name:12} {getattr(figures, name):8.1f} us")
    missed = (
        figures.choice > CHOICE_TARGET_US or figures.scheduling > SCHEDULING_TARGET_US
    )
    return int(missed)


def _time(decide: Callable[[int], object]) -> float:
    """Return the least of several means, as others use the machine too."""
    return min(_time_once(decide, first * ROUNDS) for first in range(REPEATS))


def _time_once(decide: Callable[[int], object], first: int) -> float:
    started = time.perf_counter()
    for number in range(first, first + ROUNDS):
        decide(number)
    return (time.perf_counter() - started) / ROUNDS * 1e6


def _make_choice(rng: random.Random) -> Callable[[int], object]:
    choose = make_choose(Default(), rng)
    loads = [
        (rng.randrange(4), rng.randrange(16), rng.random(), rng.randrange(4))
        for _ in range(CANDIDATES)
    ]

    def decide(number: int) -> int:
        return choose(
            [
                Candidate(
                    name="target",
                    failure_domain="malaga",
                    queued=queued,
                    running=running,
                    limit=16,
                    age=age,
                    sent=sent,
                    service_time=0.1,
                    sent_since=1,
                    ratio=1.0,
                )
                for queued, running, age, sent in loads
            ]
        )

    return decide


def _make_review(rng: random.Random) -> Callable[[int], object]:
    pool = [Health() for _ in range(CANDIDATES)]
    for health in pool:
        health.begin(0.0)
        for _ in range(50):
            health.note_progress(rng.random())

    def decide(number: int) -> list[Verdict]:
        usual = Usual(find_usual_silence(pool), find_usual_token_time(pool))
        return [judge(health, usual, 0.0) for health in pool]

    return decide


def _make_scheduling(rng: random.Random) -> Callable[[int], object]:
    queue = FairQueue()

    def push(number: int) -> None:
        queue.push(
            Waiting(
                str(number),
                f"account-{rng.randrange(ACCOUNTS)}",
                rng.choice(list(Priority)),
                rng.random(),
                rng.random(),
                rng.random(),
                1.0 + rng.random(),
                rng.random() < 0.1,
            )
        )

    for number in range(QUEUED):
        push(-1 - number)

    def decide(number: int) -> object:
        push(number)
        return queue.pop(4)

    return decide


def _make_shedding(rng: random.Random) -> Callable[[int], object]:
    account_usage = AccountUsage()
    names = [f"account-{number}" for number in range(ACCOUNTS)]
    for name in names:
        account_usage.record(name, 1.0, rng.random(), 0.0)

    def decide(number: int) -> bool:
        use = account_usage.usage_ratio(names[number % ACCOUNTS], number * 1e-3)
        return should_shed(AdmissionRequest(Priority.NORMAL, 0.5, 1.0, 3.0, use))

    return decide
