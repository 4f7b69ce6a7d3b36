"""All scenarios with several seeds, as medians beside their targets."""

from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median

import msgspec

from lagoontide.bench.figures import ArmFigures
from lagoontide.bench.run import Experiment, RunFigures, run_experiment

__all__ = ["Finding", "run_campaign"]

SHIPPED = "default"
LEAST = "least-outstanding"
ORACLE = "oracle"
# The arms that the findings need; more of them only take longer.
SCENARIOS = {
    "steady": (SHIPPED, ORACLE),
    "swing": (SHIPPED, ORACLE),
    "short": (SHIPPED,),
    "mixed": (SHIPPED,),
    "healthy": (SHIPPED,),
    "slowed": (SHIPPED, LEAST),
    "stalled": (SHIPPED, LEAST),
    "skewed-accounts": (SHIPPED, LEAST),
    "ceremony": (SHIPPED, LEAST, ORACLE),
}

# Figures of one seed: of each scenario, by policy.
Runs = dict[str, dict[str, ArmFigures]]
Value = Callable[[Runs], float]


class Finding(msgspec.Struct):
    """A target of the project and the median over the seeds beside it."""

    name: str
    target: str
    value: float
    is_met: bool


def run_campaign(
    deployment: str, seeds: int, seconds: float, workers: int, out: str
) -> int:
    """Run all, print the findings and keep every figure in a file."""
    experiments = [
        Experiment(deployment, scenario, policies, seed, seconds)
        for seed in range(1, seeds + 1)
        for scenario, policies in SCENARIOS.items()
    ]
    with ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(run_experiment, experiments))
    if out:
        Path(out).write_bytes(msgspec.json.encode(results))
    _print_medians(results)
    by_seed = [_collect(results, seed) for seed in range(1, seeds + 1)]
    for finding in _find(by_seed):
        mark = "met" if finding.is_met else "NOT MET"
        print(f"{finding.name:52} {finding.value:9.4f}  {finding.target:8} {mark}")
    broken = sum(
        arm.wrong + arm.doubles for run in results for arm in run.arms.values()
    )
    print(f"wrong answers and doubles: {broken}")
    return int(broken > 0)


def _collect(results: Iterable[RunFigures], seed: int) -> Runs:
    return {
        run.experiment.scenario: run.arms
        for run in results
        if run.experiment.seed == seed
    }


def _print_medians(results: list[RunFigures]) -> None:
    names = ("attainment", "goodput", "p50", "p99", "p999", "cost", "extra")
    print(f"{'scenario':16}{'policy':20}" + "".join(f"{x:>11}" for x in names))
    pairs = [(x, policy) for x, policies in SCENARIOS.items() for policy in policies]
    for scenario, policy in pairs:
        arms = [
            run.arms[policy] for run in results if run.experiment.scenario == scenario
        ]
        values = (median(getattr(arm, name) for arm in arms) for name in names)
        print(f"{scenario:16}{policy:20}" + "".join(f"{x:11.4f}" for x in values))


def _find(runs: list[Runs]) -> Iterable[Finding]:
    def at_most(name: str, bound: float, value: Callable[[Runs], float]) -> Finding:
        result = median(map(value, runs))
        return Finding(name, f"<= {bound:g}", result, result <= bound)

    def at_least(name: str, bound: float, value: Callable[[Runs], float]) -> Finding:
        result = median(map(value, runs))
        return Finding(name, f">= {bound:g}", result, result >= bound)

    yield at_most(
        "steady: attainment behind the oracle, points",
        0.5,
        lambda x: (
            100 * (x["steady"][ORACLE].attainment - x["steady"][SHIPPED].attainment)
        ),
    )
    yield at_least(
        "swing: goodput in the window, of the oracle's",
        0.95,
        lambda x: (
            x["swing"][SHIPPED].window.goodput / x["swing"][ORACLE].window.goodput
        ),
    )
    yield at_least(
        "swing: attainment of high priority in the window",
        0.99,
        lambda x: x["swing"][SHIPPED].window.high_attainment,
    )
    yield at_most(
        "swing: seconds back to normal", 2.0, lambda x: x["swing"][SHIPPED].recovery
    )
    yield at_most(
        "mixed: p99 of short work, of that without drafts",
        1.25,
        lambda x: (
            x["mixed"][SHIPPED].lengths["short"].p99
            / x["short"][SHIPPED].lengths["short"].p99
        ),
    )
    for name in ("slowed", "stalled"):
        yield at_most(f"{name}: p99, of the healthy run's", 1.3, _p99_of_healthy(name))
        yield at_least(
            f"{name}: p99 of least outstanding, of ours", 3.0, _p99_of_least(name)
        )
        yield at_most(f"{name}: extra target work", 0.05, _extra(name))
    yield at_most(
        "skewed-accounts: others behind a run without flood, points",
        1.0,
        lambda x: (
            100
            * (
                x["healthy"][SHIPPED].within_share.attainment
                - x["skewed-accounts"][SHIPPED].within_share.attainment
            )
        ),
    )
    for name in ("steady", "slowed", "stalled", "swing"):
        yield at_most(f"cost: {name}, of the healthy least", 1.05, _cost(name))


def _p99_of_healthy(name: str) -> Value:
    return lambda runs: runs[name][SHIPPED].p99 / runs["healthy"][SHIPPED].p99


def _p99_of_least(name: str) -> Value:
    return lambda runs: runs[name][LEAST].p99 / runs[name][SHIPPED].p99


def _extra(name: str) -> Value:
    return lambda runs: runs[name][SHIPPED].extra


def _cost(name: str) -> Value:
    return lambda runs: (
        runs[name][SHIPPED].cost / min(arm.cost for arm in runs["healthy"].values())
    )
