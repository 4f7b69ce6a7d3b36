"""What the stand-in targets answer: pure functions of their inputs."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import xxhash

from lagoontide.configuration.document import Document, Route, ServiceKind

__all__ = [
    "StageValues",
    "compute",
    "compute_answer",
    "compute_stages",
    "make_token",
    "make_tokens",
]

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


@dataclass(frozen=True, slots=True)
class StageValues:
    """What a stage is given and what it answers."""

    inputs: Values
    outputs: Values


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


def _check(value: Any, kind: type, what: str) -> None:
    if not isinstance(value, kind) or not value:
        raise ValueError(f"{what} is {value!r:.40}; a {kind.__name__} is needed")


def _encode(operation: str, inputs: Values) -> Values:
    _check(inputs.get("text"), str, "text")
    number = _hash(inputs)
    return {"vector": [(number >> (8 * i)) & 0xFF for i in range(VECTOR_SIZE)]}


def _retrieve(operation: str, inputs: Values) -> Values:
    _check(inputs.get("vector"), list, "vector")
    number = _hash(inputs)
    return {"documents": [f"doc-{(number + 7 * i) % 9973}" for i in range(DOCUMENTS)]}


def _rerank(operation: str, inputs: Values) -> Values:
    documents = inputs.get("documents", [])
    _check(documents, list, "documents")
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


def compute_stages(
    document: Document, route: Route, body: Values
) -> dict[str, StageValues]:
    """Return the right inputs and outputs of each stage, by its name."""
    values: dict[str, StageValues] = {}

    def pick(source: str) -> Any:
        origin, _, name = source.partition(".")
        return (body if origin == "request" else values[origin].outputs)[name]

    for stage in route.stages:
        inputs = {name: pick(source) for name, source in stage.inputs.items()}
        inputs.update(stage.constants)
        kind = document.services[stage.service].kind
        outputs = compute(kind, stage.operation, inputs)
        values[stage.name] = StageValues(inputs, outputs)
    return values


def compute_answer(document: Document, route: Route, body: Values) -> Values:
    """Return the right answer to a request, to compare with the one received."""
    values = compute_stages(document, route, body)
    outputs = {name: item.outputs for name, item in values.items()}
    outputs["request"] = body
    sources = (
        (name, *source.partition(".")[::2]) for name, source in route.answer.items()
    )
    return {name: outputs[origin][field] for name, origin, field in sources}
