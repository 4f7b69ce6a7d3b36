"""How often a process may turn to others, so that its cost stays bounded."""

import random

__all__ = [
    "connect_pause",
    "heartbeat_interval",
    "is_late",
    "list_interval",
    "spread",
    "start_delay",
]

MIN_HEARTBEAT_S = 1.0
HEARTBEATS_PER_S = 8.0
CONNECTS_PER_S = 100.0
MIN_LIST_S = 2.0
MAX_LIST_S = 900.0
LIST_BYTES_PER_S = 2000.0
JITTER = 0.25
LATE_S = 0.25


def heartbeat_interval(links: int) -> float:
    """Return seconds of silence after which a link is asked for a sign of life."""
    return max(MIN_HEARTBEAT_S, links / HEARTBEATS_PER_S)


def list_interval(size: int) -> float:
    """Return seconds between two reads of an instance list of ``size`` bytes."""
    return min(MAX_LIST_S, max(MIN_LIST_S, size / LIST_BYTES_PER_S))


def connect_pause(rng: random.Random) -> float:
    """Return seconds between two new connections."""
    return spread(1 / CONNECTS_PER_S, rng)


def start_delay(links: int, rng: random.Random) -> float:
    """Return seconds to wait before a new link's first message."""
    return rng.random() * links / CONNECTS_PER_S


def spread(seconds: float, rng: random.Random) -> float:
    """Return a duration with jitter, so that many processes fall out of step."""
    return seconds * (1 + JITTER * (2 * rng.random() - 1))


def is_late(due: float, now: float) -> bool:
    """Return whether this process itself was held up past a time that was due.

    A process that was paused has not read what its peers sent meanwhile, so
    their silence proves nothing.
    """
    return now - due > LATE_S
