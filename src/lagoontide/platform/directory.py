"""Decoding of target registrations in the platform's store."""

import msgspec

from lagoontide.errors import WireError
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
STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}


class _Registration(msgspec.Struct):
    """``zone`` is the failure domain; the target's id is in the key only."""

    service: str
    address: str
    zone: str
    state: str
    version: str
    slots: int = 1
    born: int = 0
    cold_left_ms: float = 0.0


_decoder = msgspec.json.Decoder(_Registration)


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
    try:
        data = _decoder.decode(value)
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
    except (msgspec.DecodeError, KeyError, ValueError) as exc:
        raise WireError(
            f"invalid registration of target {name!r}: {exc!r} in {value[:80]!r}",
            step="directory",
        ) from exc
