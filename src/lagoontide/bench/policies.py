"""The arms that an experiment may have, by name."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from lagoontide.agent.service import Agent
from lagoontide.dispatch.tail import HedgeLate, NoHedge, TailPolicy
from lagoontide.errors import SettingsError
from lagoontide.routing.choose import (
    Candidate,
    Choose,
    Default,
    FirstVersion,
    LeastOutstanding,
    Policy,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
)
from lagoontide.scheduling.tactics import ByArrival, ByShare, Order
from lagoontide.standins.http import StandIn

__all__ = ["TACTICS", "Tactics", "find_tactics", "make_oracle"]


@dataclass(frozen=True, slots=True)
class Tactics:
    """What an arm decides with.

    Attributes
    ----------
    policy : Policy or None
        How a target is chosen; None for the oracle, which sees true state.
    order : Order
        In which an agent's waiting calls start.
    tail : TailPolicy
        What an entry does about late calls.
    sheds : bool
        Whether an entry refuses at the door what it has no time for.
    """

    policy: Policy | None
    order: Order = ByArrival()
    tail: TailPolicy = NoHedge()
    sheds: bool = False


SHIPPED = Tactics(Default(), ByShare(), HedgeLate(), sheds=True)

TACTICS = {
    "default": SHIPPED,
    "oracle": Tactics(None, ByShare(), sheds=True),
    "random": Tactics(RandomChoice()),
    "round-robin": Tactics(RoundRobin()),
    "least-outstanding": Tactics(LeastOutstanding()),
    "power-of-two": Tactics(PowerOfTwo()),
    # The shipped one without one of its decisions, to see what each adds.
    "first": Tactics(FirstVersion()),
    "without-refusal": replace(SHIPPED, order=ByShare(refuses=False)),
    "without-long-lanes": replace(SHIPPED, order=ByShare(separates=False)),
    "without-shedding": replace(SHIPPED, sheds=False),
    "without-tail": replace(SHIPPED, tail=NoHedge()),
    "without-hedges": replace(SHIPPED, tail=HedgeLate(hedges=False)),
    "without-probation": replace(SHIPPED, tail=HedgeLate(puts_out=False)),
}


def find_tactics(name: str) -> Tactics:
    """Return the tactics of a name; raises SettingsError if there are none."""
    try:
        return TACTICS[name]
    except KeyError:
        known = ", ".join(TACTICS)
        raise SettingsError(f"no policy {name!r}; there are {known}") from None


def make_oracle(
    agents: Mapping[str, Agent], targets: Mapping[str, StandIn], rng: random.Random
) -> Choose:
    """Return a choice that reads agents and targets themselves, without delay."""

    def rate(candidate: Candidate) -> tuple[float, float, float]:
        load, faults = agents[candidate.name].load, targets[candidate.name].faults
        ahead = load.queued + load.running
        waiting = max(0, ahead + 1 - load.limit)
        factor = float("inf") if faults.stalled else faults.slow
        return factor * (1 + waiting / load.limit), ahead / load.limit, rng.random()

    def choose(candidates: Sequence[Candidate]) -> int:
        return min(range(len(candidates)), key=lambda i: rate(candidates[i]))

    return choose
