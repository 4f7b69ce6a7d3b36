"""Runs the arms of an experiment side by side on one clock and prints figures."""

import asyncio
from pathlib import Path

import msgspec
from loguru import logger

from lagoontide.bench.arm import run_arm
from lagoontide.bench.arrivals import add_drafts, make_arrivals
from lagoontide.bench.figures import ArmFigures, measure
from lagoontide.bench.policies import find_tactics
from lagoontide.bench.scenarios import find_scenario
from lagoontide.bench.virtual import run_virtual
from lagoontide.deployments import load_deployment
from lagoontide.errors import SettingsError

__all__ = ["Experiment", "RunFigures", "run_bench", "run_experiment"]


class Experiment(msgspec.Struct, frozen=True):
    """What is run.

    Attributes
    ----------
    clock : str
        ``virtual``, or ``real`` to see that both give the same figures.
    """

    deployment: str
    scenario: str
    policies: tuple[str, ...]
    seed: int
    seconds: float
    clock: str = "virtual"


class RunFigures(msgspec.Struct):
    """An experiment and the figures of its arms."""

    experiment: Experiment
    arms: dict[str, ArmFigures]


def run_experiment(experiment: Experiment) -> RunFigures:
    """Run all arms at the same time, each with agents and stand-ins of its own."""
    logger.remove()
    match experiment.clock:
        case "virtual":
            return run_virtual(_run(experiment))
        case "real":
            return asyncio.run(_run(experiment))
        case other:
            raise SettingsError(f"no clock {other!r}; there are virtual and real")


async def _run(experiment: Experiment) -> RunFigures:
    document = load_deployment(experiment.deployment)
    scenario = find_scenario(experiment.scenario)
    if scenario.drafts:
        document = add_drafts(document)
    seconds, seed = experiment.seconds, experiment.seed
    arrivals = make_arrivals(document, scenario, seconds, seed)
    arms = await asyncio.gather(
        *(
            run_arm(document, find_tactics(name), scenario, arrivals, seconds, seed)
            for name in experiment.policies
        )
    )
    return RunFigures(
        experiment,
        {
            name: measure(arm, samples, scenario, seconds)
            for name, (arm, samples) in zip(experiment.policies, arms, strict=True)
        },
    )


def run_bench(experiment: Experiment, as_json: bool, out: str) -> int:
    """Run, print and keep the figures; return 1 if an answer was wrong or doubled."""
    figures = run_experiment(experiment)
    data = msgspec.json.encode(figures)
    if out:
        Path(out).write_bytes(msgspec.json.format(data, indent=1))
    if as_json:
        print(data.decode())
    else:
        print_table(figures)
    return int(any(arm.wrong or arm.doubles for arm in figures.arms.values()))


def print_table(figures: RunFigures) -> None:
    """Print the main figures of each arm as a line."""
    names = ("attainment", "goodput", "p50", "p99", "p999", "cost", "extra")
    print(f"{'policy':24}" + "".join(f"{name:>11}" for name in names))
    for policy, arm in figures.arms.items():
        print(f"{policy:24}" + "".join(f"{getattr(arm, x):11.4f}" for x in names))
    for policy, arm in figures.arms.items():
        window = arm.window
        print(
            f"{policy}: in the window goodput {window.goodput:.1f}, attainment "
            f"{window.attainment:.4f}, high {window.high_attainment:.4f}; recovery "
            f"{arm.recovery:.1f} s; refusals p99 {arm.refusal_p99:.4f} s; short p99 "
            f"{arm.lengths['short'].p99:.3f} s; without the heaviest account "
            f"{arm.within_share.attainment:.4f}; {arm.refused}"
        )
