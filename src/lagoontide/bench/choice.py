"""What the choice of a target costs a request, on these sources and on others."""

import json
import os
import random
import subprocess
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from statistics import median
from types import SimpleNamespace
from typing import Any

from lagoontide.forward.selection import candidates
from lagoontide.routes.records import RouteKind
from lagoontide.targets.choose import choose_engine_target, choose_lowest_cost
from lagoontide.targets.directory import Directory
from lagoontide.targets.endings import Endings
from lagoontide.targets.health import Health
from lagoontide.targets.load import Loads
from lagoontide.targets.pools import Pools
from lagoontide.targets.rate_limits import RateLimits
from lagoontide.targets.rate_shares import RateShares
from lagoontide.targets.records import Target, TargetState

__all__ = ["run_choice"]

TARGETS = (30, 300)
DOMAINS = 3
ENTRIES = 40
# A target that limits its rate makes each choice ask for the turns of all of them.
KINDS = ("plain", "engine", "limited")
LIMIT_PER_S = 50.0
PARTS = (("a1", 500), ("b2", 400), ("c3", 300))
SAMPLES = 10
ROUNDS = {30: 400, 300: 40}
REPEATS = 5
CHILD_TIMEOUT_S = 60.0
# A choice may cost this much more than on the other sources.
MAX_RATIO = 1.1
RATIO_TARGETS = 300
SOURCES = Path(__file__).resolve().parents[2]


def run_choice(against: Path, turns: int, seed: int) -> int:
    """Print the costs on both sources; return 1 if these cost too much more.

    Parameters
    ----------
    against : Path
        ``src`` of the other sources, such as in a worktree of an earlier commit.
    turns : int
        Measurements of each, one after the other, each in a process of its own.
    """
    found: dict[Path, dict[str, list[float]]] = {}
    for _ in range(turns):
        for sources in (against, SOURCES):
            costs = found.setdefault(sources, defaultdict(list))
            for name, cost in _measure_in_child(sources, seed).items():
                costs[name].append(cost)
    is_too_much = False
    for name in found[SOURCES]:
        before, after = (median(found[which][name]) for which in (against, SOURCES))
        print(
            f"{name:12} {before:8.1f} us before, {after:8.1f} us here, "
            f"ratio {after / before:.2f} (medians of {turns} turns)"
        )
        is_checked = name.endswith(f" {RATIO_TARGETS}")
        is_too_much |= is_checked and after > MAX_RATIO * before
    return int(is_too_much)


def _measure_in_child(sources: Path, seed: int) -> dict[str, float]:
    done = subprocess.run(
        [sys.executable, "-P", __file__, str(seed)],
        env=os.environ | {"PYTHONPATH": str(sources)},
        capture_output=True,
        check=True,
        timeout=CHILD_TIMEOUT_S,
    )
    costs: dict[str, float] = json.loads(done.stdout)
    return costs


def _measure(seed: int) -> dict[str, float]:
    """Return the microseconds of one choice, by kind and number of targets."""
    return {
        f"{kind} {number}": _time(
            _make_choice(kind, number, random.Random(seed)), ROUNDS[number]
        )
        for number in TARGETS
        for kind in KINDS
    }


def _make_choice(kind: str, number: int, rng: random.Random) -> Callable[[], Any]:
    clock = time.monotonic
    directory, health = Directory(clock), Health(clock)
    limits = RateLimits(clock)
    names = tuple(f"entry-{place}" for place in range(ENTRIES))
    shares = RateShares(limits, names[0], lambda: names, clock)
    loads, streams = Loads(clock), Loads(clock)
    for place in range(number):
        domain = f"z{place % DOMAINS}"
        target = Target(
            f"t{place}", "s", "h", place, domain, TargetState.READY, born=1, slots=8
        )
        directory.put(target)
        for _ in range(SAMPLES):
            health.record_response(target, rng.uniform(0.05, 0.1), rng.random() < 0.05)
        loads.begin(target, rng.randrange(4))
        if kind == "limited" and place == 0:
            limits.observe(target, LIMIT_PER_S)
    state: Any = SimpleNamespace(
        directory=directory,
        health=health,
        rate_shares=shares,
        rate_limits=limits,
        endings=Endings(directory, Pools(lambda name: 1, lambda: 1), clock),
    )
    route = SimpleNamespace(kind=RouteKind.STREAM, may_repeat=True)
    call: Any = SimpleNamespace(service="s", has_begun=False, version=None, route=route)

    def choose() -> object:
        targets = candidates(state, call, ())
        if kind == "engine":
            return choose_engine_target(targets, PARTS, loads, health, {}, streams)
        return choose_lowest_cost(targets, loads, health, "z0", rng)

    return choose


def _time(choose: Callable[[], object], rounds: int) -> float:
    """Return the least of several means, as others use the machine too."""
    return min(_time_once(choose, rounds) for _ in range(REPEATS))


def _time_once(choose: Callable[[], object], rounds: int) -> float:
    started = time.perf_counter()
    for _ in range(rounds):
        choose()
    return (time.perf_counter() - started) / rounds * 1e6


if __name__ == "__main__":
    print(json.dumps(_measure(int(sys.argv[1]))))
