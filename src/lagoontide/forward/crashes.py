"""What requests have in common with others that a target's end broke off."""

import xxhash

from lagoontide.errors import TargetFailed
from lagoontide.forward.call import Call, ForwardingState
from lagoontide.targets.records import Target

__all__ = ["BODY_STEPS", "crash_keys", "has_target_ended"]

# Steps of an attempt in which a connection's end shows: before the response's head,
# and after it.
HEAD_STEP = "send"
BODY_STEPS = ("body", "end")
MAX_KEYS = 256
MAX_KEY_CHARS = 64


def crash_keys(call: Call) -> frozenset[str]:
    """Return the properties of a request that may make a target crash.

    These are the parts of its prompt that other requests may share, all but the last;
    for a request without a prompt, what it asks for.
    """
    parts = call.metadata.prompt_parts
    if parts:
        return frozenset(_part_key(part.id) for part in parts[:-1][-MAX_KEYS:])
    digest = xxhash.xxh64(call.request.head.method)
    digest.update(b"\n" + call.route.name.encode() + b"\n" + call.request.head.path)
    digest.update(b"\n" + call.request.body)
    return frozenset((f"request:{digest.hexdigest()}",))


def _part_key(part: str) -> str:
    if len(part) <= MAX_KEY_CHARS:
        return part
    return f"part:{xxhash.xxh64_hexdigest(part.encode())}"


async def has_target_ended(
    state: ForwardingState, target: Target, exc: TargetFailed
) -> bool:
    """Return whether an attempt failed because its target has ended unannounced."""
    if exc.step not in (HEAD_STEP, *BODY_STEPS):
        return False
    return await state.endings.has_ended(target)
