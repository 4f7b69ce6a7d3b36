"""Ports for the platform's readiness probe and for metrics."""

from collections.abc import Callable

from loguru import logger

from lagoontide.http1.holdings import PROBE_CONN_LIMITS
from lagoontide.http1.messages import Response
from lagoontide.http1.server import HttpLimits, Listener, Request, ResponseWriter

__all__ = ["Probes"]

# Probes and requests for metrics have no body.
PROBE_LIMITS = HttpLimits(max_body_bytes=16 << 10)
METRICS_PATH = b"/metrics"


class Probes:
    """Answers probes and requests for metrics, each at a port of its own.

    Parameters
    ----------
    ready_path : bytes
        Path of the readiness probe.
    is_ready : callable
        Returns whether the probe succeeds.
    render_metrics : callable
        Returns the metrics in the text format of Prometheus.
    """

    def __init__(
        self,
        ready_path: bytes,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self._ready_path = ready_path
        self._is_ready = is_ready
        self._render_metrics = render_metrics
        self._ready, self._metrics = (
            Listener(self._handle, lambda: PROBE_LIMITS, PROBE_CONN_LIMITS)
            for _ in range(2)
        )

    async def start(self, ready: tuple[str, int], metrics: tuple[str, int]) -> None:
        """Start listening; metrics are left out if their port is 0 or in use."""
        await self._ready.start(*ready)
        if metrics[1]:
            try:
                await self._metrics.start(*metrics)
            except OSError as exc:
                logger.error("metrics listener failed to start: {}", exc)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._ready.close()
        await self._metrics.close()

    async def _handle(self, req: Request, reply: ResponseWriter) -> None:
        if req.head.path == self._ready_path:
            await reply.send(Response(200 if self._is_ready() else 503))
        elif req.head.path == METRICS_PATH:
            fields = [(b"Content-Type", b"text/plain; version=0.0.4")]
            await reply.send(Response(200, fields, self._render_metrics()))
        else:
            logger.info("probe of unknown path {!r}", req.head.path[:80])
            await reply.send(Response(404))
