"""What requests have in common with others that a target's crash broke off."""

import xxhash

from lagoontide.errors import TargetFailed
from lagoontide.forward.call import Call

__all__ = ["crash_keys", "may_show_crash"]

# Steps of an attempt in which the end of a connection shows: before the head of the
# response, and after it.
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


def may_show_crash(call: Call, exc: TargetFailed) -> bool:
    """Return whether a failed attempt may be the cause of its target's crash.

    A prompt makes a target crash when its response begins. If the connection was closed
    before its head, the request was still waiting; if it was reset, the head may have
    been lost. The single response to other requests comes at their end.
    """
    if exc.step in BODY_STEPS:
        return True
    was_reset = isinstance(exc.__cause__, ConnectionResetError)
    return exc.step == HEAD_STEP and (was_reset or not call.metadata.prompt_parts)


def _part_key(part: str) -> str:
    if len(part) <= MAX_KEY_CHARS:
        return part
    return f"part:{xxhash.xxh64_hexdigest(part.encode())}"
