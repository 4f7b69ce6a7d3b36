"""Decoding of the operators' configuration from the platform's store."""

from graphlib import CycleError, TopologicalSorter
from typing import Any

import msgspec

from lagoontide.decoding import Int64, JsonDecoder, Number, wire_errors
from lagoontide.http1.server import HttpLimits
from lagoontide.routes.records import (
    Account,
    PieceSettings,
    Route,
    RouteKind,
    RoutingConfig,
    Service,
    Stage,
    TrafficShare,
)

__all__ = ["CONFIGURATION_KEY", "decode_config"]

CONFIGURATION_KEY = "op/config"

KINDS = {
    "safe": RouteKind.REPEATABLE,
    "unsafe": RouteKind.ONCE,
    "stream": RouteKind.STREAM,
}
MS_PER_S = 1000.0
BYTES_PER_MB = 1e6


class _Stage(msgspec.Struct):
    service: str
    after: list[Int64] = []
    bytes: Number = 0.0


class _Share(msgspec.Struct):
    service: str
    weight: Number = 0.0


class _Route(msgspec.Struct):
    """Has ``service``, ``traffic_split`` or both; the split takes precedence."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Number
    target_latency_ms: Number = 1000.0
    priority: Int64 = 5
    service: str = ""
    traffic_split: list[_Share] = []
    max_attempts: Int64 = 1
    stages: list[_Stage] = []
    allow_anonymous: bool = False
    resume_streams: bool = False
    gap_target_ms: Number = 0.0


class _PieceSettings(msgspec.Struct):
    slots: Int64 = 1
    batch: Int64 = 1
    call_ms: Number = 100.0
    item_ms: Number = 10.0
    headroom_mb: Number = 1.0
    handle_s: Number = 1.0


class _Service(msgspec.Struct):
    name: str
    max_conns: Int64 = 100
    cold_per_s: Number = 0.0
    pieces: _PieceSettings | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: Int64 | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: Int64 = 32 << 10
    max_body_bytes: Int64 = 8 << 20
    header_timeout_ms: Number = 5000.0
    idle_timeout_ms: Number = 30000.0


class _Configuration(msgspec.Struct):
    version: Int64
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder = JsonDecoder(_Configuration, "configuration", "configuration", strict=False)


def decode_config(value: bytes) -> RoutingConfig:
    """Decode the configuration stored under ``CONFIGURATION_KEY``.

    Raises
    ------
    WireError
        If the value is not a valid configuration; the text names the place.
    """
    data = _decoder.decode(value)
    with wire_errors("configuration", value, "configuration"):
        return RoutingConfig(
            version=data.version,
            routes=tuple(map(_to_route, data.routes)),
            services={item.name: _to_service(item) for item in data.services},
            accounts=tuple(
                Account(item.name, frozenset(item.api_keys), item.priority)
                for item in data.tenants
            ),
            limits=_to_limits(data.limits),
        )


def _to_route(data: _Route) -> Route:
    shares: Any = [
        TrafficShare(item.service, item.weight) for item in data.traffic_split
    ]
    if not shares:
        shares = [TrafficShare(data.service, 1.0)]
    return Route(
        name=data.name,
        host=data.host,
        prefix=data.prefix,
        kind=KINDS[data.kind],
        shares=tuple(shares),
        timeout=data.timeout_ms / MS_PER_S,
        objective=data.target_latency_ms / MS_PER_S,
        priority=data.priority,
        max_attempts=max(1, data.max_attempts),
        stages=_to_stages(data),
        allows_anonymous=data.allow_anonymous,
        is_resumable=data.resume_streams,
        max_event_gap=data.gap_target_ms / MS_PER_S,
    )


def _to_stages(data: _Route) -> tuple[Stage, ...]:
    """Return the stages of a route; raises ValueError if they are no acyclic graph."""
    # A stage that is named twice gives its results once.
    needs = {index: set(item.after) for index, item in enumerate(data.stages)}
    for index, after in needs.items():
        if unknown := after - needs.keys():
            raise ValueError(
                f"route {data.name!r:.80}, stage {index}: no stages {sorted(unknown)}"
            )
    try:
        TopologicalSorter(needs).prepare()
    except CycleError as exc:
        raise ValueError(
            f"route {data.name!r:.80}: stages {exc.args[1]} need each other"
        ) from exc
    return tuple(
        Stage(item.service, tuple(sorted(needs[index])), item.bytes)
        for index, item in enumerate(data.stages)
    )


def _to_service(data: _Service) -> Service:
    return Service(
        name=data.name,
        max_conns=max(1, data.max_conns),
        cold_rate=data.cold_per_s if data.cold_per_s > 0.0 else None,
        piece_settings=None if data.pieces is None else _to_piece_settings(data.pieces),
    )


def _to_piece_settings(data: _PieceSettings) -> PieceSettings:
    return PieceSettings(
        slots=data.slots,
        batch=max(1, data.batch),
        call_time=data.call_ms / MS_PER_S,
        piece_time=data.item_ms / MS_PER_S,
        result_memory_bytes=data.headroom_mb * BYTES_PER_MB,
        result_ttl=data.handle_s,
    )


def _to_limits(data: _Limits) -> HttpLimits:
    return HttpLimits(
        max_head_bytes=data.max_header_bytes,
        max_body_bytes=data.max_body_bytes,
        head_timeout=data.header_timeout_ms / MS_PER_S,
        idle_timeout=data.idle_timeout_ms / MS_PER_S,
    )
