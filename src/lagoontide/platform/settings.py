"""Loads the platform's settings file as ``GatewaySettings``."""

from pathlib import Path

import msgspec

from lagoontide.errors import SettingsError
from lagoontide.gateway.settings import Bounds, GatewaySettings

__all__ = ["SETTINGS_ENV_VAR", "load_platform_settings"]

SETTINGS_ENV_VAR = "LAGOONTIDE_CONFIG"
MS_PER_S = 1000.0
# Must match ``metrics`` in deploy/system.toml.
METRICS_PORT = 9464


class _Limits(msgspec.Struct):
    cpu_share: float = 1.0
    cores: int = 1


class _Bounds(msgspec.Struct):
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 0.0
    config_apply_ms: float = 2000.0


class _Store(msgspec.Struct):
    address: str
    ttl_min_ms: float = 1000.0


class _Settings(msgspec.Struct):
    """``node`` is the instance's name; ``zone`` is its failure domain."""

    node: str
    ip: str
    zone: str
    listen: dict[str, str]
    platform: _Store
    port_range: tuple[int, int]
    seeds: list[str] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    heartbeat_ms: float = 1200.0
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def load_platform_settings(path: Path) -> GatewaySettings:
    """Load a settings file; raises SettingsError naming the file and the field."""
    try:
        data = msgspec.json.decode(path.read_bytes(), type=_Settings)
        host, port = _parse_address(data.platform.address)
        return GatewaySettings(
            name=data.node,
            host=data.ip,
            failure_domain=data.zone,
            callers=_parse_address(data.listen["front"]),
            ready=_parse_address(data.listen["ready"]),
            peers=_parse_address(data.listen["control"])
            if "control" in data.listen
            else (data.ip, data.port_range[0]),
            metrics_port=METRICS_PORT,
            seeds=tuple(_parse_address(seed) for seed in data.seeds),
            store=(host, port),
            lease_ttl_min=data.platform.ttl_min_ms / MS_PER_S,
            cpu_share=data.limits.cpu_share * data.limits.cores,
            bounds=Bounds(
                grace_period=data.bounds.grace_s,
                retry_ratio=data.bounds.retry_ratio,
                retry_window=data.bounds.retry_window_s,
                apply_within=data.bounds.config_apply_ms / MS_PER_S,
                retry_slack=data.bounds.retry_slack,
                heartbeat=data.heartbeat_ms / MS_PER_S,
            ),
        )
    except (OSError, msgspec.DecodeError, KeyError, ValueError) as exc:
        raise SettingsError(
            f"invalid settings file {path}: {exc!r}", step="settings"
        ) from exc


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
