"""Client of the platform's list of live and leaving instances.

The list is eventually consistent: it lags behind the actual state of the instances.
"""

from enum import StrEnum
from typing import Protocol

import msgspec
import urllib3

from lagoontide.errors import StoreUnavailable
from lagoontide.httppool import HttpPool

__all__ = ["HttpInstanceSource", "Instance", "InstanceSource", "InstanceState", "Role"]

CALL_TIMEOUT_S = 2.0
STATUS_OK = 200


class Role(StrEnum):
    """Role of the Lagoontide process on an instance."""

    ENTRY = "entry"
    AGENT = "agent"


class InstanceState(StrEnum):
    """State of an instance as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """An instance in the platform's list.

    Attributes
    ----------
    address : str
        Listen address of the Lagoontide process, as ``tcp://IP:PORT``.
    service : str
        Service of the agent's target; empty for the entry role.
    """

    name: str
    role: Role
    address: str
    failure_domain: str
    service: str = ""
    state: InstanceState = InstanceState.LIVE


class InstanceSource(Protocol):
    """Source of the instance list."""

    async def list(self) -> tuple[Instance, ...]:
        """Return the current list; raises StoreUnavailable if it cannot be read."""


class HttpInstanceSource:
    """HTTP implementation of InstanceSource.

    Parameters
    ----------
    url : str
        Base URL of the service that provides the list.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = HttpPool(2)

    async def list(self) -> tuple[Instance, ...]:
        """See InstanceSource."""
        try:
            response = await self._pool.request(
                "GET", f"{self._url}/v1/instances", CALL_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError as exc:
            raise StoreUnavailable(
                f"instance list request failed: {exc}", step="instances"
            ) from exc
        if response.status != STATUS_OK:
            raise StoreUnavailable(
                f"instance list request returned HTTP status {response.status}",
                step="instances",
            )
        try:
            return msgspec.json.decode(response.data, type=tuple[Instance, ...])
        except (msgspec.DecodeError, RecursionError) as exc:
            raise StoreUnavailable(
                f"invalid instance list: {exc}", step="instances"
            ) from exc

    def close(self) -> None:
        """Release the threads and connections."""
        self._pool.close()
