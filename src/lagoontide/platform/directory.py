"""Decoding of target registrations in the platform's store."""

import re

import msgspec

from lagoontide.decoding import HostPort, Int64, JsonDecoder, Number, wire_errors
from lagoontide.store.revision_store import Revision
from lagoontide.targets.records import Target, TargetState

__all__ = [
    "EVACUATIONS_PREFIX",
    "TARGETS_PREFIX",
    "decode_target",
    "evacuated_domain",
    "target_id",
]

TARGETS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"
MS_PER_S = 1000.0
# A target's id is sent in a field of each request.
VALID_ID = re.compile(r"[!-~]{1,200}")
STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}


class _Registration(msgspec.Struct):
    """An entry of a target, which names none unless it is complete.

    ``zone`` is the failure domain; the target's id is in the key only. ``born`` is not
    among the fields listed there.
    """

    service: str
    address: HostPort
    zone: str
    state: str
    version: str
    slots: Int64
    cold_left_ms: Number
    seq: Int64
    born: Int64 = 0


_decoder = JsonDecoder(_Registration, "registration of a target", "directory")


def target_id(key: str) -> str | None:
    """Return the target id in a store key, or None if the key is not a target's."""
    if not key.startswith(TARGETS_PREFIX):
        return None
    return key[len(TARGETS_PREFIX) :] or None


def evacuated_domain(key: str) -> str | None:
    """Return the failure domain that a key evacuates, or None for other keys."""
    if not key.startswith(EVACUATIONS_PREFIX):
        return None
    return key[len(EVACUATIONS_PREFIX) :] or None


def decode_target(name: str, value: bytes, revision: Revision) -> Target:
    """Decode a registration; raises WireError if it is malformed."""
    data = _decoder.decode(value)
    with wire_errors(f"registration of target {name!r:.80}", value, "directory"):
        if not VALID_ID.fullmatch(name):
            raise ValueError("the id cannot be sent in a field")
        if min(data.slots, data.seq, data.born) < 0:
            raise ValueError("a count is negative")
        host, _, port = data.address.rpartition(":")
        return Target(
            id=name,
            service=data.service,
            host=host,
            port=int(port),
            failure_domain=data.zone,
            state=STATES[data.state],
            born=data.born,
            slots=data.slots,
            revision=revision,
            version=data.version,
            cold_left=max(0.0, data.cold_left_ms / MS_PER_S),
        )
