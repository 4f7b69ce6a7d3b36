"""What requests have in common with others that a target's crash broke off."""

import xxhash

from lagoontide.errors import TargetFailed
from lagoontide.forward.call import Call
from lagoontide.http1.messages import field_value
from lagoontide.quarantine.records import REQUEST_KEY_PREFIX

__all__ = ["crash_keys", "may_show_crash"]

# Steps of an attempt in which the end of a connection shows: before the head of the
# response, and after it.
HEAD_STEP = "send"
BODY_STEPS = ("body", "end")
MAX_KEYS = 256
MAX_KEY_CHARS = 64


def crash_keys(call: Call) -> frozenset[str]:
    """Return the properties of a request that may make a target crash.

    These are the parts of its prompt that other requests may share, all but the last,
    and what it asks for as a whole: method, host, path, client account and body.
    """
    parts = call.metadata.prompt_parts
    return frozenset(
        (_request_key(call), *(_part_key(part.id) for part in parts[:-1][-MAX_KEYS:]))
    )


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


def _request_key(call: Call) -> str:
    head = call.request.head
    host = field_value(head.fields, b"host") or b""
    account = call.account.name.encode() if call.account else b""
    digest = xxhash.xxh64(b"\n".join((head.method, host, head.path, account)))
    digest.update(b"\n" + call.request.body)
    return f"{REQUEST_KEY_PREFIX}{digest.hexdigest()}"


def _part_key(part: str) -> str:
    if len(part) <= MAX_KEY_CHARS:
        return part
    return f"part:{xxhash.xxh64_hexdigest(part.encode())}"
