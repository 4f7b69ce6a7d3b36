"""Prometheus metrics of an entry, and a log line for each request that ended."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from lagoontide.forward.call import Call
from lagoontide.forward.observe import describe_outcome, end_reason
from lagoontide.forward.outcome import EndReason, Outcome
from lagoontide.http1.server import Request

if TYPE_CHECKING:
    from lagoontide.gateway.gateway import Gateway

__all__ = ["GatewayMetrics"]

LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)
LOOP_LAG_BUCKETS_S = (0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 1.0)
# Outcomes that need no investigation: one in LOG_SAMPLE_INTERVAL of them is logged.
SAMPLED_OUTCOMES = frozenset(("answered_2xx", "streamed"))
LOG_SAMPLE_INTERVAL = 4
# Bounds label cardinality: route, account and service names beyond this many in all
# share OVERFLOW_LABEL.
MAX_LABEL_VALUES = 200
OVERFLOW_LABEL = "other"
GAUGE_INTERVAL_S = 1.0

GAUGES = {
    "configuration_version": "Version of the configuration in force; 0 for none.",
    "configuration_age_seconds": "Seconds since it came into force.",
    "store_up": "Whether the store's last call was answered.",
    "store_silent_seconds": "Seconds since the store's last answer.",
    "store_call_seconds": "Seconds since the oldest call to the store began.",
    "store_era": "Era of the store, which rises when it is restored from a copy.",
    "store_revision": "Revision of the store up to which all is known.",
    "store_fed": "Whether hubs tell of the store's changes.",
    "store_followers": "Entries that are told of them by this one.",
    "peers_live": "Entries that take work, this one included.",
    "targets": "Targets that are known.",
    "targets_ended": "Targets found ended unannounced so far.",
    "suspect_keys": "Keys of requests that may have made a target crash.",
    "quarantines": "Combinations of keys that are rejected.",
    "origins": "Streams whose version is on record.",
    "origins_unsent": "Those of them that the store lacks.",
    "origins_dropped": "Those dropped early so far, as there were too many.",
    "targets_limited": "Targets that name a rate limit.",
    "targets_pausing": "Targets that have asked for no requests for a while.",
    "target_pauses": "Pauses that targets have asked for so far.",
    "connections_callers": "Open connections of callers.",
    "callers_bytes_held": "Bytes held for connections of callers.",
    "callers_given_up": "Connections given up so far, as too much was held.",
    "requests_in_flight": "Requests under way.",
    "target_connections_opened": "Connections to targets made so far.",
    "pieces_waiting": "Pieces of stages that are in no call, at owners here.",
    "piece_calls": "Calls to stage targets made by owners here.",
    "pieces": "Pieces made by owners here.",
    "forecast_factor": "Time that stages take over the time forecast.",
    "background_failures": "Unexpected errors of background tasks so far.",
    "items_failed": "Changes of the store that could not be applied so far.",
    "log_lines_dropped": "Log lines that standard output did not take.",
}


class GatewayMetrics:
    """Metrics registry of an entry; a ``lagoontide.forward.observe.Observer``."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "lagoontide_requests",
            "Requests that have ended.",
            ("route", "account", "outcome"),
            registry=self.registry,
        )
        self._sends = Counter(
            "lagoontide_sends",
            "Sends of requests to targets, the refused ones included.",
            ("service",),
            registry=self.registry,
        )
        self._early_ends = Counter(
            "lagoontide_answers_ended_early",
            "Answers that ended early or never came, refusals left out.",
            ("reason",),
            registry=self.registry,
        )
        for reason in EndReason:
            self._early_ends.labels(reason.value)
        self._latency = Histogram(
            "lagoontide_request_seconds",
            "Seconds from a request's first byte to its end.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._first_event = Histogram(
            "lagoontide_first_event_seconds",
            "Seconds from a stream request's first byte to its first event.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._loop_lag = Histogram(
            "lagoontide_loop_lag_seconds",
            "Seconds by which a timer of the event loop was late.",
            buckets=LOOP_LAG_BUCKETS_S,
            registry=self.registry,
        )
        self._gauges = {
            name: Gauge(f"lagoontide_{name}", text, registry=self.registry)
            for name, text in GAUGES.items()
        }
        self._label_values: set[str] = set()
        self._sampled = 0
        self._version = 0
        self._version_at = 0.0

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def record_outcome(
        self, req: Request, call: Call | None, outcome: Outcome | None, seconds: float
    ) -> None:
        """Record the metrics of a request that has ended; log it, successes sampled."""
        name, detail = describe_outcome(outcome)
        route = self._limit_label(call.route.name if call else "")
        account = self._limit_label(call.account.name if call and call.account else "")
        self._requests.labels(route, account, name).inc()
        self._latency.labels(route).observe(seconds)
        if call is not None:
            self._sends.labels(self._limit_label(call.service)).inc(
                call.send_tracker.sends
            )
            first = call.timeline.get("first_event")
            if first is not None:
                self._first_event.labels(route).observe(first / 1000.0)
        end = end_reason(outcome)
        if end is not None:
            self._early_ends.labels(end.value).inc()
        if name in SAMPLED_OUTCOMES:
            self._sampled += 1
            if self._sampled % LOG_SAMPLE_INTERVAL:
                return
        logger.bind(
            request=call.metadata.request_id if call else "",
            route=route,
            account=account,
            service=call.service if call else "",
            outcome=name,
            ms=round(seconds * 1000),
            sends=call.send_tracker.sends if call else 0,
            timeline=call.timeline if call else "",
            choices=call.choices if call else "",
            path="" if call else req.head.path[:80].decode("latin-1"),
            **_describe_end(end, call),
        ).info("request ended: {}", detail or name)

    async def watch(self, gateway: "Gateway", lines_dropped: Callable[[], int]) -> None:
        """Update the gauges and measure event loop lag until cancelled.

        Parameters
        ----------
        lines_dropped : callable
            Returns how many log lines have been dropped so far.
        """
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + GAUGE_INTERVAL_S
            await asyncio.sleep(GAUGE_INTERVAL_S)
            self._loop_lag.observe(max(0.0, loop.time() - due))
            for name, value in self._read_gauges(gateway, loop.time()).items():
                self._gauges[name].set(value)
            self._gauges["log_lines_dropped"].set(lines_dropped())

    def _read_gauges(self, gateway: "Gateway", now: float) -> dict[str, float]:
        route_table, follower = gateway.state.route_table, gateway.follower
        version = route_table.version if route_table else 0
        if version != self._version:
            self._version, self._version_at = version, now
        owners = gateway.dispatcher.owners
        return {
            "background_failures": sum(gateway.supervisor.failures.values()),
            "items_failed": gateway.store_view.failed_items,
            "configuration_version": version,
            "configuration_age_seconds": now - self._version_at if version else 0.0,
            "store_up": follower.is_up,
            "store_silent_seconds": now - follower.last_response_at,
            "store_call_seconds": follower.call_age,
            "store_era": gateway.store_era,
            "store_revision": follower.as_of.number,
            "store_fed": gateway.peer_sync.is_relayed(),
            "store_followers": gateway.peer_sync.relay.followers,
            "peers_live": len(gateway.mesh.live()),
            "targets": len(gateway.state.directory),
            "targets_ended": gateway.state.endings.count,
            "suspect_keys": len(gateway.state.guard.ledger.suspects),
            "quarantines": len(gateway.state.guard.ledger.blocks),
            "origins": len(gateway.state.origins),
            "origins_unsent": gateway.state.origins.unsent_count,
            "origins_dropped": gateway.state.origins.dropped,
            "targets_limited": gateway.state.rate_limits.limited_targets,
            "targets_pausing": gateway.state.rate_limits.pauses.count,
            "target_pauses": gateway.state.rate_limits.pauses.begun,
            "connections_callers": gateway.callers.connection_count,
            "callers_bytes_held": gateway.callers.holdings.held,
            "callers_given_up": gateway.callers.given_up,
            "requests_in_flight": gateway.callers.in_flight,
            "target_connections_opened": gateway.state.pools.opened,
            "pieces_waiting": sum(owner.waiting for owner in owners),
            "piece_calls": sum(owner.calls_made for owner in owners),
            "pieces": sum(owner.pieces_made for owner in owners),
            "forecast_factor": gateway.calibration.factor,
        }

    def _limit_label(self, name: str) -> str:
        if name in self._label_values or len(self._label_values) < MAX_LABEL_VALUES:
            self._label_values.add(name)
            return name
        return OVERFLOW_LABEL


def _describe_end(end: EndReason | None, call: Call | None) -> dict[str, Any]:
    """Return the log fields of an answer that ended early; none for others."""
    if end is None:
        return {}
    if call is None:
        return {"end": end.value}
    now = asyncio.get_running_loop().time()
    last = call.last_byte_at
    return {
        "end": end.value,
        "config_version": call.config_version,
        "last_target": call.last_target,
        "last_byte_age": None if last is None else round(now - last, 3),
        "left_ms": round(call.time_left * 1000),
    }
