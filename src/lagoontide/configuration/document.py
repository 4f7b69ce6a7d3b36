"""The document as processes hold it: frozen data classes, coded as msgpack."""

from enum import StrEnum

import msgspec
import xxhash

__all__ = [
    "Account",
    "Document",
    "Priority",
    "Route",
    "Service",
    "ServiceKind",
    "Stage",
    "decode_document",
    "digest_document",
    "encode_document",
]


class Priority(StrEnum):
    """How urgent a request is."""

    HIGH = "high"
    NORMAL = "normal"
    LOW = "low"


class ServiceKind(StrEnum):
    """What a pool of targets does."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    PLAIN = "plain"


class Service(msgspec.Struct, frozen=True):
    """A pool of interchangeable targets.

    Attributes
    ----------
    replicas : int
        Number of targets meant to serve.
    reports_load : bool
        Whether the targets publish their load, late.
    checks_orders : bool
        Whether the targets refuse an order with an old fencing number.
    slots : int
        Work that one target takes at the same time, at first.
    """

    name: str
    kind: ServiceKind
    replicas: int
    reports_load: bool = False
    checks_orders: bool = False
    slots: int = 8


class Stage(msgspec.Struct, frozen=True):
    """One step of a pipeline.

    Attributes
    ----------
    inputs : dict of str to str
        Input names and where each comes from: ``request.FIELD`` or
        ``STAGE.FIELD`` of an earlier stage.
    constants : dict of str to object
        Inputs whose value the document itself gives.
    repeatable : bool
        Whether running the stage twice does no harm.
    """

    name: str
    service: str
    operation: str
    inputs: dict[str, str]
    constants: dict[str, str | int | float | bool] = {}
    repeatable: bool = True


class Route(msgspec.Struct, frozen=True):
    """A pipeline that callers reach by name.

    Attributes
    ----------
    deadline : float
        Seconds from arrival to the whole answer.
    answer : dict of str to str
        Fields of the answer and the stage outputs they come from.
    """

    name: str
    deadline: float
    priority: Priority
    stages: tuple[Stage, ...]
    answer: dict[str, str]

    @property
    def is_repeatable(self) -> bool:
        """Whether every stage may run twice."""
        return all(stage.repeatable for stage in self.stages)


class Account(msgspec.Struct, frozen=True):
    """A client account.

    Attributes
    ----------
    token_hashes : tuple of str
        SHA-256 hex digests of the bearer tokens.
    weight : float
        Share of a busy target relative to other accounts.
    requests_per_second : float
        Requests admitted over all entries together.
    burst : int
        Requests admitted at once beyond the rate.
    """

    name: str
    token_hashes: tuple[str, ...]
    priorities: tuple[Priority, ...]
    routes: tuple[str, ...]
    weight: float = 1.0
    requests_per_second: float = 100.0
    burst: int = 100


class Document(msgspec.Struct, frozen=True):
    """Everything that operators decide."""

    failure_domains: tuple[str, ...]
    services: dict[str, Service]
    routes: dict[str, Route]
    accounts: dict[str, Account]


_encoder = msgspec.msgpack.Encoder(order="sorted")
_decoder = msgspec.msgpack.Decoder(Document)


def encode_document(document: Document) -> bytes:
    """Return the canonical msgpack of a document."""
    return _encoder.encode(document)


def decode_document(data: bytes) -> Document:
    """Return the document of its canonical msgpack.

    Raises
    ------
    msgspec.DecodeError
        If ``data`` is not a document.
    """
    return _decoder.decode(data)


def digest_document(data: bytes) -> int:
    """Return the 64-bit hash of an encoded document."""
    return xxhash.xxh3_64_intdigest(data)
