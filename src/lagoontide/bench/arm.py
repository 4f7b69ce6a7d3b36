"""One arm of an experiment: a whole deployment under one policy, in this process.

Entries, agents, queues and dispatch are the real ones; store, instance list
and targets are the stand-ins, and messages arrive as objects after a delay.
"""

import asyncio
import random
from dataclasses import dataclass, field

import msgspec

from lagoontide.agent.service import Agent
from lagoontide.bench.arrivals import Arrival
from lagoontide.bench.direct import DirectConn
from lagoontide.bench.policies import Tactics, make_oracle
from lagoontide.bench.scenarios import Scenario, Trouble
from lagoontide.claims.baseline import SimpleClaims
from lagoontide.configuration.document import Document
from lagoontide.configuration.holder import Holder
from lagoontide.deployments import Placement, make_account_token, place_replicas
from lagoontide.dispatch.caller import Dispatcher
from lagoontide.dispatch.kept import Keepers
from lagoontide.dispatch.messages import Done
from lagoontide.entry.door import CallerRequest
from lagoontide.entry.service import Entry
from lagoontide.errors import LagoontideError, RequestFailed, RequestRejected
from lagoontide.membership.directory import Directory
from lagoontide.metrics import NoMetrics
from lagoontide.pipeline.walk import Answer
from lagoontide.routing.choose import Choose, make_choose
from lagoontide.standins.compute import compute_answer
from lagoontide.standins.faults import FaultOrder
from lagoontide.standins.http import StandIn
from lagoontide.standins.instances import LaggingList
from lagoontide.standins.process import make_target
from lagoontide.standins.store import MemoryStore
from lagoontide.store.instances import Instance, Role

__all__ = ["Arm", "Sample", "make_arm", "run_arm"]

ENTRIES = 2
NEAR_S = 0.0002
FAR_S = 0.001
START_S = 1.5
SETTLE_S = 1.0


@dataclass(frozen=True, slots=True)
class Sample:
    """How a request went.

    Attributes
    ----------
    latency : float
        Seconds from the intended arrival to the answer or the last refusal.
    decided : float
        Seconds that its last try took by itself.
    outcome : str
        ``right``, ``wrong``, ``refused``, ``not_run``, ``failed``, ``unknown``.
    winners : tuple of str
        Attempts whose results the answer is made of.
    """

    arrival: Arrival
    latency: float
    decided: float
    outcome: str
    reason: str = ""
    step: str = ""
    request: str = ""
    winners: tuple[str, ...] = ()

    @property
    def in_time(self) -> bool:
        """Whether the right answer came by the deadline."""
        return self.outcome == "right" and self.latency <= self.arrival.deadline


@dataclass(slots=True)
class Arm:
    """The parts of a deployment."""

    document: Document
    instances: LaggingList
    targets: dict[str, StandIn] = field(default_factory=dict)
    agents: dict[str, Agent] = field(default_factory=dict)
    domains: dict[str, str] = field(default_factory=dict)
    entries: list[Entry] = field(default_factory=list)
    directories: list[Directory] = field(default_factory=list)


def make_arm(document: Document, tactics: Tactics, seed: int) -> Arm:
    """Return a deployment whose entries still have to hear of their agents."""
    arm = Arm(document, LaggingList(()))
    for place in place_replicas(document):
        _add_agent(arm, place, tactics, seed)
    for number in range(ENTRIES):
        name = f"entry-{number + 1}"
        domain = document.failure_domains[number % len(document.failure_domains)]
        arm.instances.put(Instance(name, Role.ENTRY, f"tcp://{name}", domain))
        _add_entry(arm, name, domain, tactics, seed)
    return arm


def _add_agent(arm: Arm, place: Placement, tactics: Tactics, seed: int) -> None:
    service = place.service
    target = make_target(place.name, service.kind, service.slots, seed)
    agent = Agent(
        place.name, service.name, target, service.slots, NoMetrics(), tactics.order
    )
    arm.targets[place.name] = target
    arm.agents[place.name] = agent
    arm.domains[place.name] = place.failure_domain
    arm.instances.put(
        Instance(place.name, Role.AGENT, place.name, place.failure_domain, service.name)
    )


def _add_entry(arm: Arm, name: str, domain: str, tactics: Tactics, seed: int) -> None:
    def connect(address: str) -> DirectConn:
        delay = NEAR_S if arm.domains[address] == domain else FAR_S
        return DirectConn(name, address, arm.agents[address].handle, delay)

    directory = Directory(arm.instances, connect)
    rng = random.Random(f"{seed}/{name}")
    holder = Holder()
    choose = _make_choose(arm, tactics, rng)
    dispatcher = Dispatcher(directory, choose, tactics.tail)
    claims = SimpleClaims(MemoryStore())
    entry = Entry(
        holder, dispatcher, claims, NoMetrics(), Keepers(directory), tactics.sheds
    )
    holder.adopt(1, arm.document)
    arm.entries.append(entry)
    arm.directories.append(directory)


def _make_choose(arm: Arm, tactics: Tactics, rng: random.Random) -> Choose:
    if tactics.policy is None:
        return make_oracle(arm.agents, arm.targets, rng)
    return make_choose(tactics.policy, rng)


async def run_arm(
    document: Document,
    tactics: Tactics,
    scenario: Scenario,
    arrivals: list[Arrival],
    seconds: float,
    seed: int,
) -> tuple[Arm, list[Sample]]:
    """Send the arrivals to a deployment of its own and return how each went."""
    loop = asyncio.get_running_loop()
    arm = make_arm(document, tactics, seed)
    follows = [asyncio.create_task(item.follow()) for item in arm.directories]
    start = loop.time() + START_S
    if scenario.trouble is not None:
        follows.append(
            asyncio.create_task(_make_trouble(arm, scenario.trouble, start, seed))
        )
    rng = random.Random(f"callers/{seed}")
    calls = []
    for number, arrival in enumerate(arrivals):
        await asyncio.sleep(max(0.0, start + arrival.at - loop.time()))
        entry = arm.entries[rng.randrange(ENTRIES)]
        patience = scenario.caller_retries
        mark = random.Random(f"{seed}/{number}")
        call = _call(arm, entry, arrival, start, patience, mark)
        calls.append(asyncio.create_task(call))
    samples = await asyncio.gather(*calls)
    await asyncio.sleep(SETTLE_S)
    for task in follows:
        task.cancel()
    await asyncio.gather(*follows, return_exceptions=True)
    for directory in arm.directories:
        directory.close()
    return arm, samples


async def _call(
    arm: Arm,
    entry: Entry,
    arrival: Arrival,
    start: float,
    patience: int,
    rng: random.Random,
) -> Sample:
    """Ask, and again after a refusal that says when, while time allows."""
    loop = asyncio.get_running_loop()
    while True:
        sample, retry_after = await _ask(arm, entry, arrival, start)
        if retry_after is None or not patience:
            return sample
        wait = retry_after * (0.5 + rng.random())
        if loop.time() + wait >= start + arrival.at + arrival.deadline:
            return sample
        patience -= 1
        await asyncio.sleep(wait)


async def _ask(
    arm: Arm, entry: Entry, arrival: Arrival, start: float
) -> tuple[Sample, float | None]:
    loop = asyncio.get_running_loop()
    began = loop.time()
    due = start + arrival.at + arrival.deadline
    sample = arrival.sample
    call = CallerRequest(
        sample.route.name,
        make_account_token(sample.account.name),
        msgspec.json.encode(sample.body),
        max(0.001, due - began),
        sample.priority,
    )
    answer: Answer | None = None
    error: LagoontideError | None = None
    try:
        answer = await entry.serve(call)
    except LagoontideError as exc:
        error = exc
    now = loop.time()
    latency, decided = now - start - arrival.at, now - began
    if answer is None:
        assert error is not None
        outcome = error.outcome if isinstance(error, RequestFailed) else "refused"
        retry_after = getattr(error, "retry_after", None)
        lost = Sample(
            arrival, latency, decided, outcome, _name_reason(error), error.step
        )
        return lost, retry_after
    wanted = compute_answer(arm.document, sample.route, sample.body)
    is_right = msgspec.json.encode(answer.fields) == msgspec.json.encode(wanted)
    right = "right" if is_right else "wrong"
    winners = _find_winners(answer)
    done = Sample(arrival, latency, decided, right, "", "", answer.request, winners)
    return done, None


def _name_reason(error: LagoontideError) -> str:
    """Return a reason that is the same for all requests that share it."""
    if isinstance(error, RequestRejected):
        return f"status {error.status}"
    return error.message.partition(":")[0][:60]


def _find_winners(answer: Answer) -> tuple[str, ...]:
    return tuple(
        attempt.id
        for report in answer.stages
        for attempt in report.outcome.attempts
        if attempt.outcome == Done.__name__
    )


async def _make_trouble(arm: Arm, trouble: Trouble, start: float, seed: int) -> None:
    """Slow or stall a few targets again and again until cancelled."""
    loop = asyncio.get_running_loop()
    rng = random.Random(f"trouble/{seed}")
    await asyncio.sleep(start - loop.time() + trouble.every / 2)
    while True:
        services = rng.sample(sorted(arm.document.services), trouble.targets)
        hit = [
            arm.targets[
                f"{name}-{rng.randint(1, arm.document.services[name].replicas)}"
            ]
            for name in services
        ]
        factors = [rng.uniform(*trouble.slow) if trouble.slow else 1.0 for _ in hit]
        for target, factor in zip(hit, factors, strict=True):
            _set_faults(target, factor, trouble.slow is None)
        await asyncio.sleep(trouble.lasts)
        for target in hit:
            _set_faults(target, 1.0, False)
        await asyncio.sleep(trouble.every - trouble.lasts)


def _set_faults(target: StandIn, slow: float, stalled: bool) -> None:
    target.faults.apply(FaultOrder(slow=slow, stalled=stalled))
