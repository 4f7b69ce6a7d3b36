"""What the records of stream origins need to know of routes."""

from lagoontide.origins.ledger import DEFAULT_RETENTION_S
from lagoontide.routes.records import RouteKind
from lagoontide.routes.route_table import RouteTable

__all__ = ["resume_window"]

# From the begin of a stream at its entry to its record at others.
RECORD_SLACK_S = 5.0


def resume_window(route_table: RouteTable | None) -> float:
    """Return the seconds within which a caller may take up a stream that has begun.

    Never less than DEFAULT_RETENTION_S: a new configuration may shorten timeouts while
    callers still wait for as long as the one before it allowed.
    """
    routes = () if route_table is None else route_table.config.routes
    longest = max(
        (
            route.timeout
            for route in routes
            if route.kind is RouteKind.STREAM and route.is_resumable
        ),
        default=0.0,
    )
    return max(DEFAULT_RETENTION_S, longest + RECORD_SLACK_S)
