"""What stand-in targets run, how they misbehave, and how they register."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from lagoontide.http1.messages import Fields, field_value
from lagoontide.platform.fields import INPUTS, PROMPT_PREFIX

__all__ = ["Run", "SilentAt", "TargetFault", "encode_registration", "make_run"]


class TargetFault(StrEnum):
    """How a target mishandles its next requests."""

    NONE = "none"
    FULL = "full"
    RUNS_AND_CUTS = "runs and cuts"
    FAILS = "fails"
    NO_SEAL = "no seal"
    STALLS = "stalls"
    EXTRA_ANSWER = "extra answer"
    SILENT = "silent"


class SilentAt(StrEnum):
    """The point of a response at which a sound target falls silent."""

    HEAD = "before the head"
    FIRST_EVENT = "before the first event"
    BETWEEN = "between events"
    WITHIN = "within an event"


@dataclass(frozen=True, slots=True)
class Run:
    """A request that a target started to execute.

    Attributes
    ----------
    at : float
        Event loop time of the start.
    inputs : tuple of str
        Handles of the stage results passed with the request.
    parts : tuple of str
        Ids of the parts of its prompt.
    """

    request_id: str
    at: float
    inputs: tuple[str, ...]
    parts: tuple[str, ...] = ()


def encode_registration(
    service: str,
    address: str,
    zone: str,
    slots: int,
    born: int = 1,
    state: str = "ready",
    version: str = "v1",
) -> bytes:
    """Return the value of a target's key in the store."""
    entry = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": version,
        "slots": slots,
        "state": state,
        "cold_left_ms": 0,
        "seq": 1,
        "born": born,
    }
    return msgspec.json.encode(entry)


def make_run(request_id: str, fields: Fields) -> Run:
    """Return the record of a request that starts to run now."""
    inputs = field_value(fields, INPUTS.lower())
    handles = tuple(inputs.decode().split(",")) if inputs else ()
    prefix = field_value(fields, PROMPT_PREFIX.lower())
    parts = (
        tuple(part.rpartition(":")[0].strip() for part in prefix.decode().split(","))
        if prefix
        else ()
    )
    return Run(request_id, asyncio.get_running_loop().time(), handles, parts)
