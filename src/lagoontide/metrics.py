"""Counters, timings and gauges, sent to a statsd server."""

from typing import Protocol

import statsd

__all__ = ["Metrics", "NoMetrics", "StatsdMetrics", "make_metrics"]

MS_PER_S = 1000.0


class Metrics(Protocol):
    """Interface for recording counters, timings and gauges."""

    def count(self, name: str, amount: int = 1) -> None:
        """Increase a counter by ``amount``."""

    def time(self, name: str, seconds: float) -> None:
        """Record a duration, in seconds."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""


class NoMetrics:
    """Metrics that discard every value."""

    def count(self, name: str, amount: int = 1) -> None:
        """See Metrics."""

    def time(self, name: str, seconds: float) -> None:
        """See Metrics."""

    def gauge(self, name: str, value: float) -> None:
        """See Metrics."""


class StatsdMetrics:
    """Metrics sent to a statsd server over UDP."""

    def __init__(self, client: statsd.StatsClient) -> None:
        self._client = client

    def count(self, name: str, amount: int = 1) -> None:
        """See Metrics."""
        self._client.incr(name, amount)

    def time(self, name: str, seconds: float) -> None:
        """See Metrics."""
        self._client.timing(name, seconds * MS_PER_S)

    def gauge(self, name: str, value: float) -> None:
        """See Metrics."""
        self._client.gauge(name, value)


def make_metrics(address: str, prefix: str) -> Metrics:
    """Return metrics sent to ``IP:PORT``, or NoMetrics if the address is empty."""
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(":")
    return StatsdMetrics(statsd.StatsClient(host, int(port), prefix=prefix))
