"""Callers, entries, agents, targets and the store in one process, with faults."""

import asyncio
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

import msgspec

from lagoontide.agent.service import Agent
from lagoontide.claims.messages import ClaimAsk, ReleaseAsk
from lagoontide.claims.service import PartitionClaims
from lagoontide.configuration.document import (
    Account,
    Document,
    Priority,
    Route,
    Service,
    ServiceKind,
    Stage,
)
from lagoontide.configuration.holder import Holder
from lagoontide.deployments import hash_token
from lagoontide.dispatch.caller import Dispatcher
from lagoontide.dispatch.kept import Keepers
from lagoontide.entry.door import CallerRequest
from lagoontide.entry.service import Entry
from lagoontide.errors import RequestFailed, RequestRejected, StoreUnavailable
from lagoontide.membership.directory import Directory
from lagoontide.metrics import NoMetrics
from lagoontide.routing.choose import Default, make_choose
from lagoontide.standins.compute import compute_answer
from lagoontide.standins.engine import Engine
from lagoontide.standins.instances import LaggingList
from lagoontide.standins.plain import PlainTarget
from lagoontide.standins.profiles import EngineProfile, Profile
from lagoontide.standins.store import MemoryStore
from lagoontide.store.instances import Instance, Role
from lagoontide.wire.router import Router
from tests.support.network import Network, Weather

TOKEN = "t"
ONCE = "issue"
REPLICAS = 3
SLOTS = 4
SERVICES = {
    "lookup": Service("lookup", ServiceKind.PLAIN, REPLICAS),
    "credit": Service("credit", ServiceKind.PLAIN, REPLICAS),
    "model": Service("model", ServiceKind.ENGINE, REPLICAS),
}


def _stage(name, service, operation, repeatable=True):
    return Stage(name, service, operation, {"mark": "request.mark"}, {}, repeatable)


ROUTES = {
    "issue": Route(
        "issue",
        3.0,
        Priority.NORMAL,
        (
            _stage("find", "lookup", "find"),
            _stage("pay", "credit", ONCE, repeatable=False),
            _stage("note", "lookup", "note"),
        ),
        {"receipt": "pay.receipt", "note": "note.record"},
    ),
    "draft": Route(
        "draft",
        3.0,
        Priority.NORMAL,
        (_stage("find", "lookup", "find"), _stage("write", "model", "write")),
        {"text": "write.text"},
    ),
}
DOCUMENT = Document(
    ("a",),
    SERVICES,
    ROUTES,
    {
        "office": Account(
            "office",
            (hash_token(TOKEN),),
            tuple(Priority),
            tuple(ROUTES),
            requests_per_second=1e6,
            burst=1_000_000,
        )
    },
)


class Witness:
    """A target that notes which mark each request came with."""

    def __init__(self, target, marks):
        self.target = target
        self._marks = marks

    async def run(self, work):
        self._note(work)
        return await self.target.run(work)

    async def stream(self, work, on_tokens):
        self._note(work)
        return await self.target.stream(work, on_tokens)

    async def cancel(self, attempt):
        await self.target.cancel(attempt)

    def _note(self, work):
        self._marks[work.request] = msgspec.json.decode(work.body)["mark"]


class NodeStore:
    """The store as one process meets it: slow when paused, answers lost."""

    def __init__(self, world, node):
        self._world = world
        self._node = node

    def __getattr__(self, name):
        async def call(*args):
            world = self._world
            await world.network.pass_pause(self._node)
            # What was sent takes effect also when its sender dies.
            work = asyncio.ensure_future(getattr(world.store, name)(*args))
            world.tasks.add(work)
            work.add_done_callback(world.forget)
            result = await asyncio.shield(work)
            await world.network.pass_pause(self._node)
            if world.rng.random() < world.lost_answers:
                raise StoreUnavailable("the answer was lost", step=name)
            return result

        return call


@dataclass
class Node:
    """One entry process."""

    name: str
    entry: Entry
    directory: Directory
    claims: PartitionClaims
    tasks: list


@dataclass
class Result:
    """What one caller got, try by try."""

    route: str
    mark: str
    key: str
    outcomes: list = field(default_factory=list)
    answer: dict | None = None
    tokens: list = field(default_factory=list)
    disorder: bool = False


class World:
    """All parts; ``check`` compares what callers were told with the ledgers."""

    def __init__(self, seed, make_agent=Agent, make_claims=PartitionClaims):
        self.rng = random.Random(seed)
        self.network = Network(self.rng, Weather())
        self.store = MemoryStore(latency=0.002, writes_per_s=1e6, reads_per_s=1e6)
        self.lost_answers = 0.0
        self.instances = LaggingList((), lag=1.0)
        self.marks = {}
        self.told = {}
        self.results = []
        self.callers = set()
        self.tasks = set()
        self.targets = {}
        self.agents = {}
        self.entries = {}
        self.started = 0
        self._make_agent = make_agent
        self._make_claims = make_claims
        self._starts = Counter()
        for service in SERVICES.values():
            for number in range(REPLICAS):
                self._add_target(f"{service.name}-{number}", service)
        for name in ("entry-0", "entry-1"):
            self.start_entry(name)

    def forget(self, task):
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()

    def _add_target(self, name, service):
        if service.kind is ServiceKind.ENGINE:
            target = Engine(name, EngineProfile(0.0, 0.01, 0.0), SLOTS, self.rng)
        else:
            target = PlainTarget(name, service.kind, Profile(0.02), SLOTS, self.rng)
        self.targets[name] = target
        self.start_agent(name)
        self.instances.put(
            Instance(name, Role.AGENT, f"tcp://{name}", "a", service.name)
        )

    def start_agent(self, name):
        """Start an agent, in place of the one that ran there."""
        old = self.agents.get(name)
        if old is not None:
            old._start_next = lambda: None  # What its target has goes on there.
        witness = Witness(self.targets[name], self.marks)
        service = name.partition("-")[0]
        agent = self._make_agent(name, service, witness, SLOTS, NoMetrics())
        self.agents[name] = agent
        self.network.handlers[f"tcp://{name}"] = agent.handle

    def start_entry(self, name):
        """Start an entry, in place of the one that ran there."""
        old = self.entries.pop(name, None)
        if old is not None:
            self._stop_entry(old)
        self._starts[name] += 1
        source = f"{name}/{self._starts[name]}"
        address = f"tcp://{name}"
        directory = Directory(
            self.instances, lambda peer: self.network.connect(peer, source), source
        )
        store = NodeStore(self, source)
        claims = self._make_claims(store, directory.peers, lambda: address)
        router = Router()
        for kind in (ClaimAsk, ReleaseAsk):
            router.register(kind, claims.handle)
        holder = Holder()
        dispatcher = Dispatcher(directory, make_choose(Default(), self.rng))
        entry = Entry(holder, dispatcher, claims, NoMetrics(), Keepers(directory))
        holder.adopt(1, DOCUMENT)
        entry.subscribe(lambda story: self.told.setdefault(story.request, story))
        self.network.handlers[address] = router.handle
        self.instances.put(Instance(name, Role.ENTRY, address, "a"))
        tasks = [
            asyncio.create_task(directory.follow()),
            asyncio.create_task(claims.keep_lease()),
        ]
        self.entries[name] = Node(source, entry, directory, claims, tasks)

    def _stop_entry(self, node):
        node.directory.close()
        node.claims.close()
        for task in node.tasks:
            task.cancel()

    def submit(self, route, key=""):
        """Let one caller ask, and repeat its request if it has a key."""
        self.started += 1
        result = Result(route, f"mark-{self.started}", key)
        self.results.append(result)
        task = asyncio.create_task(self._call(result))
        self.callers.add(task)
        task.add_done_callback(self.callers.discard)

    async def _call(self, result):
        for _ in range(6 if result.key else 1):
            node = self.entries[self.rng.choice(sorted(self.entries))]
            outcome = await self._ask(node, result)
            result.outcomes.append(outcome)
            if outcome == "done":
                return
            await asyncio.sleep(self.rng.random())

    async def _ask(self, node, result):
        have = []

        def on_tokens(offset, tokens):
            result.disorder |= offset != len(have)
            have.extend(tokens)

        body = msgspec.json.encode({"mark": result.mark})
        call = CallerRequest(result.route, TOKEN, body, key=result.key)
        serve = asyncio.create_task(node.entry.serve(call, on_tokens))
        node.tasks.append(serve)
        try:
            answer = await asyncio.shield(serve)
        except RequestFailed as exc:
            return f"{exc.outcome}{'/safe' if exc.repeat_safe else ''}"
        except RequestRejected as exc:
            return f"error {exc.status}"
        except asyncio.CancelledError:
            return "lost"
        result.answer = msgspec.json.decode(msgspec.json.encode(answer.fields))
        result.tokens = have
        return "done"

    def heal(self):
        """Take all faults away."""
        self.network.weather = Weather()
        self.network.paused.clear()
        self.network.cut.clear()
        self.store.faults.down = False
        self.store.faults.slow = 1.0
        self.lost_answers = 0.0
        for target in self.targets.values():
            target.faults.down = target.faults.stalled = False
            target.faults.cut_after = -1
            target.faults.drop_answers = 0
            target.faults._changed.set()
            target.faults._changed = asyncio.Event()

    async def finish(self):
        """Heal, let everything end and stop."""
        self.heal()
        while self.callers:
            await asyncio.sleep(1.0)
        await asyncio.sleep(15.0)
        for node in self.entries.values():
            self._stop_entry(node)
        await asyncio.sleep(0.1)

    def executions(self):
        """Return the requests of the non-repeatable work that took effect."""
        return [
            item.request
            for target in self.targets.values()
            for item in target.ledger.executions
            if item.operation == ONCE
        ]

    def check(self):
        """Return every promise that was broken."""
        once = self.executions()
        runs = Counter(self.marks[request] for request in once)
        any_run = {
            item.request
            for target in self.targets.values()
            for item in target.ledger.executions
        }
        broken = [
            f"{mark} ran {times} times" for mark, times in runs.items() if times > 1
        ]
        broken += [
            f"{request} was told not run and ran"
            for request, story in self.told.items()
            if story.outcome == "not_run" and request in any_run
        ]
        for result in self.results:
            broken += self._check_result(result, runs)
        return broken

    def _check_result(self, result, runs):
        route = DOCUMENT.routes[result.route]
        last = result.outcomes[-1]
        safe = all("safe" in item or item == "not_run" for item in result.outcomes)
        if safe and runs[result.mark]:
            yield f"{result.mark} was called safe to repeat and ran"
        if last != "done":
            return
        wanted = compute_answer(DOCUMENT, route, {"mark": result.mark})
        if result.answer != wanted:
            yield f"{result.mark} got {result.answer}"
        if result.route == "issue" and runs[result.mark] != 1:
            yield f"{result.mark} was answered and ran {runs[result.mark]} times"
        text = " ".join(result.tokens)
        # A repeat that gets the kept answer gets it whole, not token by token.
        if result.disorder or (result.tokens and text != wanted["text"]):
            yield f"{result.mark} got tokens {text!r}"

    def summary(self):
        """Return outcomes by route, counted."""
        counts = defaultdict(Counter)
        for result in self.results:
            counts[result.route][result.outcomes[-1]] += 1
        return {route: dict(found) for route, found in counts.items()}
