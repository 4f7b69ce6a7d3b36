"""What the stand-in targets answer: pure functions of their inputs."""

from collections.abc import Callable
from typing import Any

import msgspec
import xxhash

from lagoontide.configuration.document import Document, Route, ServiceKind

__all__ = ["compute", "compute_answer", "compute_whole", "make_token", "make_tokens"]

VECTOR_SIZE = 8
DOCUMENTS = 5
DEFAULT_TOKENS = 16
WORDS = (
    "toner",
    "drum",
    "credit",
    "dock",
    "bench",
    "seal",
    "flag",
    "mast",
    "order",
    "notice",
    "prefect",
    "hoist",
    "lower",
    "dawn",
    "report",
    "courier",
)

Values = dict[str, Any]


def _hash(*parts: Any) -> int:
    data = msgspec.json.encode(parts, order="deterministic")
    return xxhash.xxh3_64_intdigest(data)


def make_token(inputs: Values, index: int) -> str:
    """Return token number ``index`` of the generation for these inputs."""
    number = _hash(inputs, index)
    return f"{WORDS[number % len(WORDS)]}{number % 97}"


def make_tokens(inputs: Values) -> list[str]:
    """Return all tokens of the generation for these inputs."""
    return [
        make_token(inputs, index)
        for index in range(int(inputs.get("max_tokens", DEFAULT_TOKENS)))
    ]


def _encode(operation: str, inputs: Values) -> Values:
    number = _hash(inputs)
    return {"vector": [(number >> (8 * i)) & 0xFF for i in range(VECTOR_SIZE)]}


def _retrieve(operation: str, inputs: Values) -> Values:
    number = _hash(inputs)
    return {"documents": [f"doc-{(number + 7 * i) % 9973}" for i in range(DOCUMENTS)]}


def _rerank(operation: str, inputs: Values) -> Values:
    documents = inputs.get("documents", [])
    return {"documents": sorted(documents, key=lambda item: _hash(item, inputs))}


def _generate(operation: str, inputs: Values) -> Values:
    return {"text": " ".join(make_tokens(inputs))}


def _serve(operation: str, inputs: Values) -> Values:
    mark = f"{operation}-{_hash(operation, inputs):016x}"
    return {"record": mark, "receipt": mark}


FUNCTIONS: dict[ServiceKind, Callable[[str, Values], Values]] = {
    ServiceKind.ENCODER: _encode,
    ServiceKind.RETRIEVER: _retrieve,
    ServiceKind.RERANKER: _rerank,
    ServiceKind.ENGINE: _generate,
    ServiceKind.PLAIN: _serve,
}


def compute(kind: ServiceKind, operation: str, inputs: Values) -> Values:
    """Return what a target of this kind answers."""
    return FUNCTIONS[kind](operation, inputs)


def compute_answer(document: Document, route: Route, body: Values) -> Values:
    """Return the right answer to a request, to compare with the one received."""
    return compute_whole(document, route, body)[0]


def compute_whole(
    document: Document, route: Route, body: Values
) -> tuple[Values, dict[str, Values]]:
    """Return the right answer to a request and the inputs of each stage."""
    calls: dict[str, Values] = {}
    outputs: dict[str, Values] = {"request": body}

    def pick(source: str) -> Any:
        origin, _, name = source.partition(".")
        return outputs[origin][name]

    for stage in route.stages:
        inputs = {name: pick(source) for name, source in stage.inputs.items()}
        inputs.update(stage.constants)
        calls[stage.name] = inputs
        kind = document.services[stage.service].kind
        outputs[stage.name] = compute(kind, stage.operation, inputs)
    return {name: pick(source) for name, source in route.answer.items()}, calls
