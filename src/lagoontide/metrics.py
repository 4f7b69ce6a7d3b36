"""Counters and timings, sent to statsd."""

from typing import Protocol

import statsd

__all__ = ["Metrics", "NoMetrics", "StatsdMetrics", "make_metrics"]

MS_PER_S = 1000.0


class Metrics(Protocol):
    """Where counters and timings go."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def time(self, name: str, seconds: float) -> None:
        """Record a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a level."""


class NoMetrics:
    """Metrics that go nowhere."""

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
    """Return metrics for a server ``IP:PORT``; none if the address is empty."""
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(":")
    return StatsdMetrics(statsd.StatsClient(host, int(port), prefix=prefix))
