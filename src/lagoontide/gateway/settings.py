"""Settings of an entry process."""

from dataclasses import dataclass, field

__all__ = ["Address", "Bounds", "GatewaySettings"]

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the deployment sets.

    Attributes
    ----------
    grace_period : float
        Grace period: seconds from SIGTERM to SIGKILL.
    retry_ratio, retry_slack : float
        Retry budget of a service for each window: retries allowed as a ratio of its
        requests, plus a fixed number. Every send of a request but its first is a
        retry.
    retry_window : float
        Seconds of the retry budget's window.
    apply_within : float
        Seconds within which a configuration that the store has acknowledged must be in
        force.
    heartbeat : float
        Seconds from one write of a target's registration to its next.
    """

    grace_period: float = 8.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 0.0
    apply_within: float = 2.0
    heartbeat: float = 1.2


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses and resource limits of an entry.

    Attributes
    ----------
    callers, ready, peers : Address
        Addresses to listen at for callers, for the balancer's readiness probe and for
        other entries.
    seeds : tuple of Address
        Peer addresses of some other entries; may be out of date.
    metrics_port : int
        Port of the metrics endpoint; 0 disables it.
    store : Address
        Address of the platform's store.
    lease_ttl_min : float
        Shortest lease that the store grants, in seconds.
    cpu_share : float
        Processor cores that the entry may use.
    memory_bytes : float
        Memory that the entry may use.
    descriptors : int
        Descriptors that the entry may have open.
    """

    name: str
    host: str
    failure_domain: str
    callers: Address
    ready: Address
    peers: Address
    store: Address
    metrics_port: int = 0
    seeds: tuple[Address, ...] = ()
    lease_ttl_min: float = 1.0
    cpu_share: float = 1.0
    memory_bytes: float = 512e6
    descriptors: int = 4096
    bounds: Bounds = field(default_factory=Bounds)
