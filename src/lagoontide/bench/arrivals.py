"""Seeded arrivals of a scenario, and the load that a deployment can take."""

import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from lagoontide.bench.scenarios import Scenario, Step
from lagoontide.configuration.document import (
    Account,
    Document,
    Route,
    ServiceKind,
    Stage,
)
from lagoontide.deployments import SampleRequest, make_sample_request
from lagoontide.standins.compute import DEFAULT_TOKENS, Values, compute_stages
from lagoontide.standins.engine import BLOCK_CHARS
from lagoontide.standins.profiles import PROFILES, EngineProfile

__all__ = [
    "DRAFT_SUFFIX",
    "Arrival",
    "add_drafts",
    "find_capacity",
    "make_arrivals",
]

DRAFT_SUFFIX = "-long"
DRAFT_FACTORS = (20, 35, 50)
DRAFT_DEADLINE_S = 60.0
MAX_DRAFT_TOKENS = 1000

Pair = tuple[Account, Route]
Draw = Callable[[float, list[Pair]], SampleRequest]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request and the second of the run at which it is meant to arrive.

    Attributes
    ----------
    timeout : float or None
        Seconds that the caller gives it; None for the route's deadline.
    """

    at: float
    sample: SampleRequest
    timeout: float | None = None
    is_flood: bool = False

    @property
    def is_draft(self) -> bool:
        """Whether it is one of the drafts that run many times as long."""
        return DRAFT_SUFFIX in self.sample.route.name

    @property
    def deadline(self) -> float:
        """Seconds from the intended arrival to the answer."""
        limit = self.sample.route.deadline
        return min(limit, self.timeout) if self.timeout else limit


def add_drafts(document: Document) -> Document:
    """Return the document with a copy of a generating route for each long draft."""
    base = next(
        route
        for route in document.routes.values()
        if route.is_repeatable and _tokens_of(document, route)
    )
    tokens = _tokens_of(document, base)
    names = [f"{base.name}{DRAFT_SUFFIX}-{factor}" for factor in DRAFT_FACTORS]
    routes = {
        name: _lengthen(document, base, name, min(MAX_DRAFT_TOKENS, factor * tokens))
        for name, factor in zip(names, DRAFT_FACTORS, strict=True)
    }
    accounts = {
        name: msgspec.structs.replace(account, routes=(*account.routes, *names))
        for name, account in document.accounts.items()
    }
    return msgspec.structs.replace(
        document, routes=document.routes | routes, accounts=accounts
    )


def _lengthen(document: Document, route: Route, name: str, tokens: int) -> Route:
    stages = tuple(
        msgspec.structs.replace(
            stage, constants=stage.constants | {"max_tokens": tokens}
        )
        if _is_engine(document, stage)
        else stage
        for stage in route.stages
    )
    return msgspec.structs.replace(
        route, name=name, stages=stages, deadline=DRAFT_DEADLINE_S
    )


def _is_engine(document: Document, stage: Stage) -> bool:
    return document.services[stage.service].kind is ServiceKind.ENGINE


def _tokens_of(document: Document, route: Route) -> int:
    return sum(
        int(stage.constants.get("max_tokens", DEFAULT_TOKENS))
        for stage in route.stages
        if _is_engine(document, stage)
    )


def find_capacity(document: Document, pairs: list[Pair]) -> float:
    """Return requests per second at which the busiest pool has no time left.

    Parameters
    ----------
    pairs : list of (Account, Route)
        The mix, each pair as often as the others.
    """
    busy: dict[str, float] = defaultdict(float)
    for number, (account, route) in enumerate(pairs):
        sample = make_sample_request(account, route, f"capacity-{number}")
        values = compute_stages(document, route, sample.body)
        for stage in route.stages:
            inputs = values[stage.name].inputs
            busy[stage.service] += _target_seconds(document, stage, inputs)
    return min(
        document.services[name].replicas * len(pairs) / seconds
        for name, seconds in busy.items()
    )


def _target_seconds(document: Document, stage: Stage, inputs: Values) -> float:
    service = document.services[stage.service]
    if service.kind is not ServiceKind.ENGINE:
        return PROFILES[service.kind].mean / service.slots
    profile = EngineProfile()
    blocks = -(-len(msgspec.json.encode(inputs)) // BLOCK_CHARS)
    tokens = int(inputs.get("max_tokens", DEFAULT_TOKENS))
    return blocks * profile.prefill_block + tokens * profile.token_cost(service.slots)


def make_arrivals(
    document: Document, scenario: Scenario, seconds: float, seed: int
) -> list[Arrival]:
    """Return the arrivals of a run in order of time."""
    rng = random.Random(f"arrivals/{seed}")
    pairs = [
        (account, document.routes[name])
        for account in document.accounts.values()
        for name in account.routes
        if DRAFT_SUFFIX not in name
    ]
    capacity = find_capacity(document, pairs)
    numbers = itertools.count()

    def draw(at: float, choices: list[Pair]) -> SampleRequest:
        weights = [account.weight / len(account.routes) for account, _ in choices]
        account, route = rng.choices(choices, weights)[0]
        return make_sample_request(account, route, f"{seed}-{next(numbers)}")

    arrivals = [
        Arrival(at, draw(at, pairs))
        for at in _times(rng, scenario.steps, capacity, seconds)
    ]
    arrivals += _draft_arrivals(document, scenario, seconds, rng, draw)
    arrivals += _extra_arrivals(scenario, pairs, capacity, seconds, rng, draw)
    return sorted(arrivals, key=lambda item: item.at)


def _draft_arrivals(
    document: Document,
    scenario: Scenario,
    seconds: float,
    rng: random.Random,
    draw: Draw,
) -> Iterator[Arrival]:
    if not scenario.drafts:
        return
    pairs = [
        (account, document.routes[name])
        for account in document.accounts.values()
        for name in account.routes
        if DRAFT_SUFFIX in name
    ]
    capacity = find_capacity(document, pairs)
    for at in _times(rng, (Step(0.0, scenario.drafts),), capacity, seconds):
        yield Arrival(at, draw(at, pairs))


def _extra_arrivals(
    scenario: Scenario,
    pairs: list[Pair],
    capacity: float,
    seconds: float,
    rng: random.Random,
    draw: Draw,
) -> Iterator[Arrival]:
    if scenario.flood is not None:
        heavy = max((account for account, _ in pairs), key=lambda item: item.weight)
        mine = [pair for pair in pairs if pair[0] is heavy]
        steps = (Step(0.0, 0.0), Step(scenario.flood.at, scenario.flood.load))
        for at in _times(rng, steps, capacity, seconds):
            yield Arrival(at, draw(at, mine), is_flood=True)
    if scenario.wall is not None:
        wall = scenario.wall
        start = wall.at * seconds
        for _ in range(round(wall.seconds * capacity)):
            at = start + rng.random() * wall.lasts
            yield Arrival(at, draw(at, pairs), timeout=start + wall.due - at)


def _times(
    rng: random.Random, steps: tuple[Step, ...], capacity: float, seconds: float
) -> Iterator[float]:
    """Yield Poisson arrivals of a varying rate, by thinning."""
    highest = max(step.load for step in steps) * capacity
    at = 0.0
    while (at := at + rng.expovariate(highest)) < seconds:
        if rng.random() * highest <= _load_at(steps, at, seconds) * capacity:
            yield at


def _load_at(steps: tuple[Step, ...], at: float, seconds: float) -> float:
    load = steps[0].load
    for step in steps:
        since = at - step.at * seconds
        if since < 0:
            break
        done = min(1.0, since / step.ramp) if step.ramp else 1.0
        load += (step.load - load) * done
    return load
