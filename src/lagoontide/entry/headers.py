"""Headers of callers' requests; a wrong one is refused with what is allowed."""

import re
from http import HTTPStatus

from lagoontide.configuration.document import Priority
from lagoontide.errors import RequestRejected

__all__ = ["parse_key", "parse_priority", "parse_timeout", "parse_token"]

MAX_TIMEOUT_S = 60.0
MIN_TIMEOUT_S = 0.001
KEY_PATTERN = re.compile(r"[A-Za-z0-9_.:-]{1,128}")


def parse_token(header: str) -> str:
    """Return the bearer token of ``Authorization``, or an empty string."""
    scheme, _, token = header.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def parse_timeout(header: str | None) -> float | None:
    """Return the seconds of ``Request-Timeout``, or None."""
    if header is None:
        return None
    try:
        seconds = float(header)
    except ValueError:
        seconds = -1.0
    if not MIN_TIMEOUT_S <= seconds <= MAX_TIMEOUT_S:
        raise RequestRejected(
            HTTPStatus.BAD_REQUEST,
            f"Request-Timeout is {header!r}; allowed are seconds from "
            f"{MIN_TIMEOUT_S} to {MAX_TIMEOUT_S}",
        )
    return seconds


def parse_priority(header: str | None) -> Priority | None:
    """Return the priority that is asked for, or None."""
    if header is None:
        return None
    try:
        return Priority(header)
    except ValueError:
        allowed = ", ".join(Priority)
        raise RequestRejected(
            HTTPStatus.BAD_REQUEST, f"Priority is {header!r}; allowed are {allowed}"
        ) from None


def parse_key(header: str | None) -> str:
    """Return the idempotency key, or an empty string."""
    if header is None:
        return ""
    if not KEY_PATTERN.fullmatch(header):
        raise RequestRejected(
            HTTPStatus.BAD_REQUEST,
            f"Idempotency-Key is {header[:140]!r}; allowed are 1 to 128 letters, "
            "digits and _.:-",
        )
    return header
