"""Records of the routing configuration."""

from dataclasses import dataclass, field
from enum import StrEnum

from lagoontide.http1.server import HttpLimits

__all__ = [
    "Account",
    "PieceSettings",
    "Route",
    "RouteKind",
    "RoutingConfig",
    "Service",
    "Stage",
    "TrafficShare",
]


class RouteKind(StrEnum):
    """Whether requests of a route may be repeated or are streamed."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class TrafficShare:
    """A weighted share of a route's traffic that goes to one service."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Stage:
    """A preparatory stage, which has to complete before a request can run.

    Attributes
    ----------
    after : tuple of int
        Indexes of the stages whose results are its inputs.
    result_bytes : float
        Approximate size of one result.
    """

    service: str
    after: tuple[int, ...] = ()
    result_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class Route:
    """A route, selected by host and path prefix.

    Attributes
    ----------
    prefix : str
        Path prefix; it begins and ends with a slash.
    timeout : float
        Maximum seconds that a caller waits.
    objective : float
        Seconds within which a response earns its full credit.
    priority : int
        0 is the highest.
    max_attempts : int
        Maximum number of targets that may have run one request; sends that are
        proven not to have run do not count.
    allows_anonymous : bool
        Whether requests without an API key are accepted.
    is_resumable : bool
        Whether another target may continue an interrupted stream.
    max_event_gap : float
        Seconds within which each event of a stream should follow the previous one.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[TrafficShare, ...]
    timeout: float
    objective: float
    priority: int = 5
    max_attempts: int = 1
    stages: tuple[Stage, ...] = ()
    allows_anonymous: bool = False
    is_resumable: bool = False
    max_event_gap: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.REPEATABLE


@dataclass(frozen=True, slots=True)
class PieceSettings:
    """Capacity and cost of a service's targets for pieces, the units of stage work.

    Attributes
    ----------
    slots : int
        Maximum number of concurrent calls at one target.
    batch : int
        Maximum number of pieces in one call.
    call_time, piece_time : float
        Approximate seconds that a call takes, and that each of its pieces adds.
    result_memory_bytes : float
        Memory for results at one target.
    result_ttl : float
        Seconds from the end of a call until the target drops its results.
    """

    slots: int
    batch: int
    call_time: float
    piece_time: float
    result_memory_bytes: float
    result_ttl: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the limits of its targets.

    Attributes
    ----------
    max_conns : int
        Maximum number of connections that one target accepts from all entries
        together.
    cold_rate : float or None
        Requests a second that a cold target takes from all entries together.
    piece_settings : PieceSettings or None
        Set if the service's targets run pieces of stages.
    """

    name: str
    max_conns: int = 100
    cold_rate: float | None = None
    piece_settings: PieceSettings | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; its priority, if set, takes precedence over the route's."""

    name: str
    keys: frozenset[str]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """A complete routing configuration.

    Attributes
    ----------
    version : int
        Set by the operators; it only increases.
    accounts : tuple of Account
        Empty if requests carry no API keys.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    accounts: tuple[Account, ...] = ()
    limits: HttpLimits = HttpLimits()
