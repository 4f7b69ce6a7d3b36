"""Settings of the daemons: TOML files, checked when a process starts."""

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

IP_PORT = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$"
HTTP_URL = r"^http://(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$"

Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Address = Annotated[str, Meta(pattern=IP_PORT)]
OptionalAddress = Annotated[str, Meta(pattern=rf"^$|{IP_PORT}")]
Url = Annotated[str, Meta(pattern=HTTP_URL)]
TokenHash = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
SessionKey = Annotated[str, Meta(pattern=r"^$|^.{32,256}$")]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
OptionalSeconds = Annotated[float, Meta(ge=0, le=86400)]
Threads = Annotated[int, Meta(ge=1, le=1024)]
Bytes = Annotated[int, Meta(ge=1024, le=1 << 30)]

Settings = TypeVar("Settings")


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a process logs."""

    format: Annotated[str, Meta(pattern="^(text|json)$")] = "text"
    level: Annotated[str, Meta(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class StatsdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics go; an empty address sends none."""

    address: OptionalAddress = ""
    prefix: Annotated[str, Meta(pattern=r"^[a-z][a-z0-9_.]*$")] = "lagoontide"


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of an entry.

    Attributes
    ----------
    callers, operators : str
        ``IP:PORT`` of the two HTTP ports.
    peers : str
        ``IP:PORT`` for other entries.
    store, instances : str
        URLs of the platform's services.
    operator_tokens : dict of str to str
        Operators' names by the SHA-256 hex digest of their bearer token.
    session_key : str
        Secret that signs the console's sessions; the same at all entries.
    stale_after : float
        Seconds without word of the store after which it is not ready; 0 means
        never.
    max_body : int
        Bytes of a caller's body.
    silence : float
        Seconds that a caller's connection may be silent.
    linger : float
        Seconds of a graceful stop in which new requests are still served, for
        callers and balancers that do not know yet.
    drain : float
        Seconds that a graceful stop may take.
    report : bool
        Whether ended requests are counted for the report and traces.
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
    threads: Threads = 64
    max_body: Bytes = 1 << 20
    max_header: Bytes = 16 << 10
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
    listen : str
        ``IP:PORT`` for entries and other agents.
    store, instances : str
        URLs of the platform's services.
    target : str
        URL of the target beside it.
    slots : int
        Calls that the target has at the same time, at first.
    drain : float
        Seconds that a graceful stop may take.
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


def load_settings(path: Path, kind: type[Settings]) -> Settings:
    """Return the settings of a TOML file.

    Raises
    ------
    SettingsError
        Naming the file, the key, its value and what is allowed.
    """
    try:
        data = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}", step="settings") from exc
    try:
        return msgspec.convert(data, kind)
    except msgspec.ValidationError as exc:
        raise SettingsError(_describe(path, data, str(exc)), step="settings") from None


def _describe(path: Path, data: dict[str, Any], problem: str) -> str:
    message, _, place = problem.partition(" - at ")
    key = place.strip("`").removeprefix("$.")
    if not key or key == "$":
        return f"{path}: {message}"
    return f"{path}: {key} = {_look_up(data, key)!r}: {message}"


def _look_up(data: Any, key: str) -> Any:
    for part in re.split(r"\.", key):
        data = data.get(part) if isinstance(data, dict) else None
    return data
