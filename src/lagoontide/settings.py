"""Daemon settings, read from TOML files and validated when a process starts."""

import re
import tomllib
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from lagoontide.errors import SettingsError

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "LogSettings",
    "StatsdSettings",
    "load_settings",
]

IP_PORT_PATTERN = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$"
HTTP_URL_PATTERN = r"^http://(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$"

Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Address = Annotated[str, Meta(pattern=IP_PORT_PATTERN)]
OptionalAddress = Annotated[str, Meta(pattern=rf"^$|{IP_PORT_PATTERN}")]
Url = Annotated[str, Meta(pattern=HTTP_URL_PATTERN)]
TokenHash = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
SessionKey = Annotated[str, Meta(pattern=r"^$|^.{32,256}$")]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
OptionalSeconds = Annotated[float, Meta(ge=0, le=86400)]
ThreadCount = Annotated[int, Meta(ge=1, le=1024)]
ByteCount = Annotated[int, Meta(ge=1024, le=1 << 30)]

SettingsT = TypeVar("SettingsT")


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Format and minimum level of a process's log."""

    format: Annotated[str, Meta(pattern="^(text|json)$")] = "text"
    level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class StatsdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address and prefix of the statsd server; an empty address disables metrics."""

    address: OptionalAddress = ""
    prefix: Annotated[str, Meta(pattern=r"^[a-z][a-z0-9_.]*$")] = "lagoontide"


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an entry.

    Attributes
    ----------
    callers, operators : str
        ``IP:PORT`` on which the HTTP servers for callers and operators listen.
    peers : str
        ``IP:PORT`` on which connections from other entries are accepted.
    store, instances : str
        URLs of the platform's key-value store and list of instances.
    stale_after : float
        Seconds since the store last confirmed the configuration after which the entry
        reports itself as not ready; 0 disables the check.
    operator_tokens : dict of str to str
        Operator names, keyed by the SHA-256 hex digest of their bearer token.
    session_key : str
        Secret that signs console sessions; must be the same on all entries.
    threads : int
        Number of callers' requests handled at the same time.
    max_body, max_header : int
        Largest accepted body and header of a caller's request, in bytes.
    silence : float
        Idle timeout of a caller's connection, in seconds.
    linger : float
        Seconds at the start of a graceful stop during which new requests are still
        served, because callers and load balancers have not noticed the stop yet.
    drain : float
        Maximum duration of a graceful stop, in seconds.
    report : bool
        Whether finished requests are recorded for the report and traces.
    """

    name: Name
    failure_domain: Name
    callers: Address
    operators: Address
    peers: Address
    store: Url
    instances: Url
    stale_after: OptionalSeconds = 0.0
    operator_tokens: dict[TokenHash, Name] = {}
    session_key: SessionKey = ""
    threads: ThreadCount = 64
    max_body: ByteCount = 1 << 20
    max_header: ByteCount = 16 << 10
    silence: Seconds = 5.0
    linger: Seconds = 2.0
    drain: Seconds = 30.0
    report: bool = True
    log: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an agent.

    Attributes
    ----------
    service : str
        Name of the service that the target provides.
    listen : str
        ``IP:PORT`` on which connections from entries and other agents are accepted.
    target : str
        URL of the target that the agent fronts.
    store, instances : str
        URLs of the platform's key-value store and list of instances.
    slots : int
        Initial limit on concurrent calls to the target.
    drain : float
        Maximum duration of a graceful stop, in seconds.
    """

    name: Name
    failure_domain: Name
    service: Name
    listen: Address
    target: Url
    store: Url
    instances: Url
    slots: Annotated[int, Meta(ge=1, le=4096)] = 8
    drain: Seconds = 30.0
    log: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()


def load_settings(path: Path, kind: type[SettingsT]) -> SettingsT:
    """Read and validate a TOML settings file.

    Parameters
    ----------
    path : Path
        The file to read.
    kind : type
        The settings class to convert its content to.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is not valid. The message names the
        file, the key, its value and the constraint.
    """
    try:
        data = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}", step="settings") from exc
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as exc:
        raise SettingsError(
            _format_error(path, data, str(exc)), step="settings"
        ) from None


def _format_error(path: Path, data: dict[str, Any], problem: str) -> str:
    message, _, location = problem.partition(" - at ")
    key = location.strip("`").removeprefix("$.")
    if not key or key == "$":
        return f"{path}: {message}"
    return f"{path}: {key} = {_get_value(data, key)!r}: {message}"


def _get_value(data: Any, key: str) -> Any:
    for part in re.split(r"\.", key):
        data = data.get(part) if isinstance(data, dict) else None
    return data
