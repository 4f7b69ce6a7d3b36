"""Loads the platform's settings file as ``GatewaySettings``."""

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from loguru import logger
from msgspec import Meta

from lagoontide.decoding import HostPort, JsonDecoder
from lagoontide.errors import SettingsError, WireError
from lagoontide.gateway.settings import Bounds, GatewaySettings

__all__ = ["SETTINGS_ENV_VAR", "load_platform_settings"]

SETTINGS_ENV_VAR = "LAGOONTIDE_CONFIG"
MS_PER_S = 1000.0
BYTES_PER_MB = 1 << 20
# Must match ``metrics`` in deploy/system.toml.
METRICS_PORT = 9464


Port = Annotated[int, Meta(ge=1, le=65535)]
Positive = Annotated[float, Meta(gt=0.0, le=1e9)]
NotNegative = Annotated[float, Meta(ge=0.0, le=1e9)]
Options = TypeVar("Options", bound=msgspec.Struct)


class _Limits(msgspec.Struct):
    cpu_share: Positive = 1.0
    cores: Positive = 1.0
    memory_mb: Positive = 512.0
    max_fds: Annotated[int, Meta(ge=1, le=1 << 30)] = 4096


class _Bounds(msgspec.Struct):
    grace_s: Positive = 8.0
    retry_ratio: NotNegative = 0.2
    retry_window_s: Positive = 10.0
    retry_slack: NotNegative = 0.0
    config_apply_ms: Positive = 2000.0


class _StoreOptions(msgspec.Struct):
    ttl_min_ms: Positive = 1000.0


class _Options(msgspec.Struct):
    """``zone`` is the failure domain."""

    zone: str = ""
    heartbeat_ms: Positive = 1200.0
    port_range: tuple[Port, Port] | None = None
    seeds: list[Any] = []
    limits: dict[str, Any] = {}
    bounds: dict[str, Any] = {}


class _Listen(msgspec.Struct):
    front: HostPort
    ready: HostPort
    control: HostPort | None = None


class _Store(msgspec.Struct):
    address: HostPort


class _Required(msgspec.Struct):
    """What an entry cannot do without; ``node`` is the instance's name."""

    node: str
    ip: str
    listen: _Listen
    platform: _Store


_required_decoder = JsonDecoder(_Required, "settings", "settings")
_all_decoder = JsonDecoder(dict[str, Any], "settings", "settings")


def load_platform_settings(path: Path) -> GatewaySettings:
    """Load a settings file.

    An option that cannot be read has its default, and is logged.

    Raises
    ------
    SettingsError
        If something is missing without which no entry can run; names file and field.
    """
    try:
        text = path.read_bytes()
        data = _required_decoder.decode(text)
        values = _all_decoder.decode(text)
        options = _read_options(_Options, values, "")
        control = data.listen.control
        if control is None and options.port_range is None:
            raise ValueError("neither listen.control nor port_range is set")
    except (OSError, WireError, ValueError) as exc:
        raise SettingsError(
            f"invalid settings file {path}: {exc!r}", step="settings"
        ) from exc
    limits = _read_options(_Limits, options.limits, "limits.")
    bounds = _read_options(_Bounds, options.bounds, "bounds.")
    store = _read_options(_StoreOptions, values["platform"], "platform.")
    if control is not None:
        peers = _parse_address(control)
    else:
        assert options.port_range is not None
        peers = data.ip, options.port_range[0]
    return GatewaySettings(
        name=data.node,
        host=data.ip,
        failure_domain=options.zone,
        callers=_parse_address(data.listen.front),
        ready=_parse_address(data.listen.ready),
        peers=peers,
        metrics_port=METRICS_PORT,
        seeds=tuple(_read_seeds(options.seeds)),
        store=_parse_address(data.platform.address),
        lease_ttl_min=store.ttl_min_ms / MS_PER_S,
        cpu_share=limits.cpu_share * limits.cores,
        memory_bytes=limits.memory_mb * BYTES_PER_MB,
        descriptors=limits.max_fds,
        bounds=Bounds(
            grace_period=bounds.grace_s,
            retry_ratio=bounds.retry_ratio,
            retry_window=bounds.retry_window_s,
            apply_within=bounds.config_apply_ms / MS_PER_S,
            retry_slack=bounds.retry_slack,
            heartbeat=options.heartbeat_ms / MS_PER_S,
        ),
    )


def _read_options(kind: type[Options], values: dict[str, Any], place: str) -> Options:
    """Return the options among some values; log those that are not valid."""
    options = kind()
    for field in msgspec.structs.fields(kind):
        value = values.get(field.name)
        if value is None:
            continue
        try:
            setattr(options, field.name, msgspec.convert(value, field.type))
        except (msgspec.ValidationError, ValueError, ArithmeticError) as exc:
            logger.error(
                "setting {}{} has its default: {} in {!r:.80}",
                place,
                field.name,
                exc,
                value,
            )
    return options


def _read_seeds(seeds: list[Any]) -> Iterator[tuple[str, int]]:
    for seed in seeds:
        try:
            yield _parse_address(msgspec.convert(seed, HostPort))
        except msgspec.ValidationError as exc:
            logger.error("seed ignored: {} in {!r:.80}", exc, seed)


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
