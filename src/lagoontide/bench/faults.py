"""Promises under faults of real processes, beside a run with none."""

import itertools
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

import msgspec
import urllib3

from lagoontide.bench.faulter import Faulter, set_fault
from lagoontide.bench.fleet import start_fleet
from lagoontide.bench.processes import Fleet
from lagoontide.configuration.document import Document
from lagoontide.deployments import (
    SampleRequest,
    generate_sample_requests,
    make_account_token,
)
from lagoontide.standins.compute import compute_answer, compute_stages
from lagoontide.standins.faults import FaultOrder
from lagoontide.standins.ledger import Execution, hash_inputs

__all__ = ["run_faults"]

CALLERS = 8
ENTRIES = 3
TRIES = 6
CALL_TIMEOUT_S = 8.0
PAUSE_S = 0.3
KEYED_SHARE = 0.5
CALM_SHARE = 0.25  # Of the time, for the run without faults.
SETTLE_S = 12.0
STATUS_OK = 200


class Figures(msgspec.Struct):
    """What the bench prints; see docs/operations/outcomes.md."""

    requests: int
    executions: int
    doubles: int
    losses: int
    false_not_run: int
    mixed_answers: int
    unknowns: dict[str, int]
    faults: dict[str, int]
    attainment: float
    attainment_without_faults: float


class ProblemJson(msgspec.Struct):
    """What a caller reads of a problem."""

    detail: str = ""
    outcome: str = "lost"
    repeat_safe: bool = False


@dataclass(slots=True)
class Asked:
    """A request of a caller and what became of it.

    Attributes
    ----------
    once : set of (str, int)
        Operations and inputs of its stages that may run only once.
    """

    once: set[tuple[str, int]]
    outcomes: list[ProblemJson] = field(default_factory=list)
    is_done: bool = False
    is_right: bool = False
    in_time: bool = False


def _find_once(document: Document, sample: SampleRequest) -> set[tuple[str, int]]:
    values = compute_stages(document, sample.route, sample.body)
    return {
        (stage.operation, hash_inputs(values[stage.name].inputs))
        for stage in sample.route.stages
        if not stage.repeatable
    }


class Caller:
    """Asks one request after the other; repeats those with a key."""

    def __init__(self, fleet: Fleet, run: str, end: float) -> None:
        self.asked: list[Asked] = []
        self._fleet = fleet
        self._run = run
        self._end = end
        self._rng = random.Random(run)
        self._http = urllib3.PoolManager(maxsize=ENTRIES, retries=False)

    def run(self) -> None:
        """Ask until the end."""
        samples = generate_sample_requests(self._fleet.document, self._run)
        for number in itertools.count():
            if time.monotonic() >= self._end:
                return
            key = ""
            if self._rng.random() < KEYED_SHARE:
                key = f"{self._run}-{number}"
            self.asked.append(self._ask(next(samples), key))

    def _ask(self, sample: SampleRequest, key: str) -> Asked:
        asked = Asked(_find_once(self._fleet.document, sample))
        started = time.monotonic()
        for _ in range(TRIES if key else 1):
            entry = self._rng.choice(sorted(self._fleet.entries))
            address = self._fleet.entries[entry].address
            asked.outcomes.append(self._try(sample, key, address, asked))
            if asked.is_done:
                break
            time.sleep(PAUSE_S)
        elapsed = time.monotonic() - started
        asked.in_time = asked.is_right and elapsed <= sample.route.deadline
        return asked

    def _try(
        self, sample: SampleRequest, key: str, address: str, asked: Asked
    ) -> ProblemJson:
        headers = {
            "Authorization": f"Bearer {make_account_token(sample.account.name)}",
            "Priority": sample.priority.value,
        }
        if key:
            headers["Idempotency-Key"] = key
        try:
            response = self._http.request(
                "POST",
                f"http://{address}/v1/routes/{sample.route.name}",
                headers=headers,
                body=msgspec.json.encode(sample.body),
                timeout=CALL_TIMEOUT_S,
            )
        except urllib3.exceptions.NewConnectionError:
            return ProblemJson("no connection", "not_run", True)
        except urllib3.exceptions.HTTPError as exc:
            return ProblemJson(type(exc).__name__)
        if response.status != STATUS_OK:
            return msgspec.json.decode(response.data, type=ProblemJson)
        wanted = compute_answer(self._fleet.document, sample.route, sample.body)
        asked.is_done = True
        asked.is_right = msgspec.json.decode(response.data) == wanted
        return ProblemJson(outcome="done")


def _load(fleet: Fleet, run: str, seconds: float) -> list[Asked]:
    end = time.monotonic() + seconds
    callers = [Caller(fleet, f"{run}-{number}", end) for number in range(CALLERS)]
    threads = [threading.Thread(target=caller.run) for caller in callers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return [asked for caller in callers for asked in caller.asked]


def _read_ledgers(fleet: Fleet) -> Counter[tuple[str, int]]:
    """Count executions of all targets by operation and inputs."""
    http = urllib3.PoolManager(retries=False)
    found: Counter[tuple[str, int]] = Counter()
    for process in fleet.targets.values():
        response = http.request("GET", f"http://{process.control}/ledger")
        executions = msgspec.json.decode(response.data, type=list[Execution])
        found.update((item.operation, item.inputs) for item in executions)
    return found


def _count_unknowns(asked: list[Asked]) -> dict[str, int]:
    last = (item.outcomes[-1] for item in asked if not item.is_done)
    return dict(Counter(item.detail for item in last if item.outcome == "unknown"))


def _is_false_not_run(asked: Asked, runs: Counter[tuple[str, int]]) -> bool:
    if not all(item.repeat_safe for item in asked.outcomes):
        return False
    return any(runs[place] for place in asked.once)


def _count_attainment(asked: list[Asked]) -> float:
    return sum(item.in_time for item in asked) / max(1, len(asked))


def _measure(fleet: Fleet, seed: int, seconds: float) -> Figures:
    calm = _load(fleet, f"calm-{seed}", CALM_SHARE * seconds)
    faulter = Faulter(fleet, seed)
    faulter.start()
    asked = _load(fleet, f"faults-{seed}", (1 - CALM_SHARE) * seconds)
    faulter.stop()
    for process in fleet.targets.values():
        set_fault(process, FaultOrder(1.0, False, False, -1, 0))
    time.sleep(SETTLE_S)
    runs = _read_ledgers(fleet)
    both = [*calm, *asked]
    once = set().union(*(item.once for item in both))
    return Figures(
        requests=len(both),
        executions=sum(runs[place] for place in once),
        doubles=sum(runs[place] > 1 for place in once),
        losses=sum(
            runs[place] == 0 for item in both if item.is_done for place in item.once
        ),
        false_not_run=sum(_is_false_not_run(item, runs) for item in both),
        mixed_answers=sum(item.is_done and not item.is_right for item in both),
        unknowns=_count_unknowns(both),
        faults=dict(faulter.counts),
        attainment=_count_attainment(asked),
        attainment_without_faults=_count_attainment(calm),
    )


def run_faults(
    deployment: str, seed: int, seconds: float, as_json: bool, first_port: int
) -> int:
    """Measure and print; return 1 if a promise was broken."""
    with start_fleet(
        deployment, seed, limited=False, entries=ENTRIES, first_port=first_port
    ) as fleet:
        figures = _measure(fleet, seed, seconds)
    if as_json:
        print(msgspec.json.encode(figures).decode())
    else:
        for name in figures.__struct_fields__:
            print(f"{name:26} {getattr(figures, name)}")
    broken = (
        figures.doubles,
        figures.losses,
        figures.false_not_run,
        figures.mixed_answers,
    )
    return 1 if any(broken) else 0
