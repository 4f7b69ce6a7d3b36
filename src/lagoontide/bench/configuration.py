"""What the document costs by its size: validation, difference, encoding, history."""

import asyncio
import hashlib
import itertools
import statistics
import time
from collections.abc import Callable
from typing import Any

import msgspec

from lagoontide.bench.forms import FormCost, measure_forms
from lagoontide.configuration.acceptance import Acceptance, Proposal, make_writer
from lagoontide.configuration.diff import diff_documents
from lagoontide.configuration.document import (
    Document,
    decode_document,
    encode_document,
)
from lagoontide.configuration.history import HISTORY_PREFIX
from lagoontide.configuration.model import dump_document, parse_document
from lagoontide.standins.store import MemoryStore

__all__ = ["Cost", "make_large", "measure", "run_configuration"]

SIZES = ((3, 5), (14, 5), (3, 3300), (14, 3300))
ENGINES = 5
CHANGES_PER_DAY = 9500
CHANGES = 50
REPEATS = 5
UNLIMITED_PER_S = 1e9
STAGES = (
    ("embed", "encoders", {"text": "request.text"}),
    ("search", "retrievers", {"vector": "embed.vector"}),
    ("rank", "rerankers", {"documents": "search.documents"}),
    ("lookup", "records", {"reference": "request.reference"}),
)
POOLS = {
    "encoders": "encoder",
    "retrievers": "retriever",
    "rerankers": "reranker",
    "records": "plain",
}


class Cost(msgspec.Struct):
    """Figures of one size; times in seconds, sizes in bytes.

    Attributes
    ----------
    plain_bytes, stored_bytes : int
        The document before it is deflated, and the record in the store.
    writes_per_change, reads_per_change : float
        Calls to the store.
    history_bytes_per_change : float
        Growth of the history by a change of one value.
    history_bytes_per_day : float
        The same for the changes of a day, before old ones make room.
    forms : FormCost
        The steps of a change on the console.
    """

    routes: int
    accounts: int
    plain_bytes: int
    stored_bytes: int
    validate: float
    diff: float
    encode: float
    decode: float
    accept: float
    writes_per_change: float
    reads_per_change: float
    history_bytes_per_change: float
    history_bytes_per_day: float
    forms: FormCost


def make_large(routes: int, accounts: int) -> dict[str, Any]:
    """Return a valid document as parsed TOML; each account may use every route."""
    names = [f"route-{number}" for number in range(routes)]
    pools = {
        name: {"kind": kind, "replicas": 1000, "expected": 0.01}
        for name, kind in POOLS.items()
    }
    engines = {
        f"model-{number}": {"kind": "engine", "replicas": 1000, "expected": 0.2}
        for number in range(ENGINES)
    }
    return {
        "failure_domains": [f"domain-{number}" for number in range(16)],
        "services": pools | engines,
        "routes": {
            name: _make_route(f"model-{number % ENGINES}")
            for number, name in enumerate(names)
        },
        "accounts": {
            f"account-{number}": {
                "token_hashes": [hashlib.sha256(str(number).encode()).hexdigest()],
                "priorities": ["high", "normal", "low"],
                "routes": names,
                "weight": 1.0 + number % 7,
            }
            for number in range(accounts)
        },
    }


def _make_route(engine: str) -> dict[str, Any]:
    draft = ("draft", engine, {"documents": "rank.documents"})
    return {
        "deadline": 3.0,
        "answer": {"text": "draft.text"},
        "stages": [
            {"name": name, "service": service, "operation": "run", "inputs": inputs}
            for name, service, inputs in (*STAGES, draft)
        ],
    }


def measure(routes: int, accounts: int) -> Cost:
    """Return the cost of a document of a size."""
    data = make_large(routes, accounts)
    document = parse_document(data)
    changed = _change(document, 2.5)
    encoded = encode_document(document)
    accept, writes, reads, history = asyncio.run(_measure_store(document))
    return Cost(
        routes=routes,
        accounts=accounts,
        plain_bytes=len(msgspec.msgpack.encode(document)),
        stored_bytes=len(encoded),
        validate=_time(lambda: parse_document(data)),
        diff=_time(lambda: diff_documents(document, changed)),
        encode=_time(lambda: encode_document(document)),
        decode=_time(lambda: decode_document(encoded)),
        accept=accept,
        writes_per_change=writes,
        reads_per_change=reads,
        history_bytes_per_change=history,
        history_bytes_per_day=history * CHANGES_PER_DAY,
        forms=measure_forms(document),
    )


def _change(document: Document, deadline: float) -> Document:
    data = dump_document(document)
    next(iter(data["routes"].values()))["deadline"] = deadline
    return parse_document(data)


def _time(call: Callable[[], object]) -> float:
    """Return the median time of a call in seconds."""
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        call()
        times.append(time.perf_counter() - started)
    return statistics.median(times)


async def _measure_store(document: Document) -> tuple[float, float, float, float]:
    store = MemoryStore(0, UNLIMITED_PER_S, UNLIMITED_PER_S)
    acceptance = Acceptance(store)
    first = Proposal(0, document, "operator", make_writer())
    version = (await acceptance.accept(first)).version
    changes = [_change(document, value) for value in (2.5, 2.0)]
    await acceptance.accept(Proposal(version, changes[1], "operator", make_writer()))
    version = (await acceptance.read()).version
    before = await _measure_history(store)
    store.calls.clear()
    started = time.perf_counter()
    for changed in itertools.islice(itertools.cycle(changes), CHANGES):
        proposal = Proposal(version, changed, "operator", make_writer())
        version = (await acceptance.accept(proposal)).version
    elapsed = time.perf_counter() - started
    calls = dict(store.calls)
    grown = await _measure_history(store) - before
    return (
        elapsed / CHANGES,
        calls["swap"] / CHANGES,
        calls["get"] / CHANGES,
        grown / CHANGES,
    )


async def _measure_history(store: MemoryStore) -> int:
    return sum(len(entry.value) for entry in await store.scan(HISTORY_PREFIX))


def run_configuration(json: bool) -> int:
    """Measure each size and print it."""
    costs = [measure(routes, accounts) for routes, accounts in SIZES]
    if json:
        print(msgspec.json.encode(costs).decode())
        return 0
    for cost in costs:
        print(f"{cost.routes} routes, {cost.accounts} accounts")
        figures = msgspec.structs.asdict(cost)
        forms = msgspec.structs.asdict(figures.pop("forms"))
        figures |= {f"form_{step}": value for step, value in forms.items()}
        for name, value in list(figures.items())[2:]:
            print(f"  {name:26} {value:.6g}")
    return 0
