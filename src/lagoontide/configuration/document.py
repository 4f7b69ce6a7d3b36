"""The document as processes hold it: frozen data classes, coded as msgpack."""

import zlib
from enum import StrEnum

import msgspec
import xxhash

from lagoontide.decoding import decode_nested

__all__ = [
    "Account",
    "CutOff",
    "Document",
    "Policies",
    "Priority",
    "Route",
    "Service",
    "ServiceKind",
    "Stage",
    "decode_bytes",
    "decode_document",
    "digest_document",
    "encode_document",
    "pack_bytes",
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


class CutOff(StrEnum):
    """What an entry goes on serving that has had no word of the store for long."""

    SERVE = "serve"
    REPEATABLE = "repeatable"
    STOP = "stop"


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
    expected : float
        Seconds that an idle target needs for one call; 0 if not stated.
    draining : tuple of str
        Targets, by instance name, that get no new work.
    """

    name: str
    kind: ServiceKind
    replicas: int
    reports_load: bool = False
    checks_orders: bool = False
    slots: int = 8
    expected: float = 0.0
    draining: tuple[str, ...] = ()


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
    expected : float
        Seconds that it needs on an idle target; 0 takes its service's.
    """

    name: str
    service: str
    operation: str
    inputs: dict[str, str]
    constants: dict[str, str | int | float | bool] = {}
    repeatable: bool = True
    expected: float = 0.0


class Route(msgspec.Struct, frozen=True):
    """A pipeline that callers reach by name.

    Attributes
    ----------
    deadline : float
        Seconds from arrival to the whole answer.
    answer : dict of str to str
        Fields of the answer and the stage outputs they come from.
    objective : float
        Share of requests meant to be answered right and in time, over the
        window of the policies.
    """

    name: str
    deadline: float
    priority: Priority
    stages: tuple[Stage, ...]
    answer: dict[str, str]
    objective: float = 0.99

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
    objective : float or None
        Share of the account's requests meant to be right and in time; None for
        the objectives of the routes alone.
    """

    name: str
    token_hashes: tuple[str, ...]
    priorities: tuple[Priority, ...]
    routes: tuple[str, ...]
    weight: float = 1.0
    requests_per_second: float = 100.0
    burst: int = 100
    objective: float | None = None


class Policies(msgspec.Struct, frozen=True):
    """What holds for the whole deployment.

    Attributes
    ----------
    objective_window : float
        Seconds over which objectives count.
    cut_off_after : float
        Seconds without word of the store, its own or through peers, after which
        an entry counts as cut off.
    cut_off : CutOff
        Whether it then serves on, serves routes without non-repeatable stages
        only, or refuses all requests as not run.
    """

    objective_window: float = 30 * 86400.0
    cut_off_after: float = 30.0
    cut_off: CutOff = CutOff.SERVE

    def allows(self, route: Route, age: float) -> bool:
        """Return whether a route is served ``age`` seconds after word of the store."""
        if age <= self.cut_off_after:
            return True
        match self.cut_off:
            case CutOff.SERVE:
                return True
            case CutOff.REPEATABLE:
                return route.is_repeatable
            case CutOff.STOP:
                return False


class Document(msgspec.Struct, frozen=True):
    """Everything that operators decide."""

    failure_domains: tuple[str, ...]
    services: dict[str, Service]
    routes: dict[str, Route]
    accounts: dict[str, Account]
    policies: Policies = Policies()


PACK_FROM_BYTES = 64 << 10
MAX_DOCUMENT_BYTES = 16 << 20
ZLIB_LEVEL = 1
ZLIB_HEAD = b"\x78"

_encoder = msgspec.msgpack.Encoder(order="sorted")
_decoder = msgspec.msgpack.Decoder(Document)


def encode_document(document: Document) -> bytes:
    """Return the canonical msgpack of a document, deflated if it is large."""
    return pack_bytes(_encoder.encode(document))


def pack_bytes(data: bytes) -> bytes:
    """Return the msgpack of a document, deflated if it is large."""
    if len(data) < PACK_FROM_BYTES:
        return data
    return zlib.compress(data, ZLIB_LEVEL)


def decode_document(data: bytes) -> Document:
    """Return the document of its encoding.

    Raises
    ------
    msgspec.DecodeError
        If ``data`` is not a document.
    """
    return decode_nested(_decoder, decode_bytes(data))


def decode_bytes(data: bytes) -> bytes:
    """Return the msgpack of an encoded document; raises msgspec.DecodeError."""
    if not data.startswith(ZLIB_HEAD):
        return data
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as exc:
        raise msgspec.DecodeError(f"the document cannot be inflated: {exc}") from exc
    if not unpacker.eof:
        raise msgspec.DecodeError(
            f"the document is cut or over {MAX_DOCUMENT_BYTES} bytes"
        )
    return plain


def digest_document(data: bytes) -> int:
    """Return the 64-bit hash of an encoded document."""
    return xxhash.xxh3_64_intdigest(data)
