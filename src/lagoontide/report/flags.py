"""Values of the flags that the operators' commands share."""

import math
import os
import re
from pathlib import Path

from lagoontide.errors import UsageError

__all__ = [
    "check_request",
    "check_timeout",
    "find_token",
    "parse_entries",
    "parse_window",
    "read_body",
]

TOKEN_VARIABLE = "LAGOONTIDE_TOKEN"
ENTRIES_VARIABLE = "LAGOONTIDE_OPERATORS"
UNITS_S = {"s": 1.0, "m": 60.0, "h": 3600.0}
MAX_WINDOW_S = 21600.0
ADDRESS = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}")


def check_request(request: str) -> None:
    """Raise UsageError unless it looks like a request id."""
    if not re.fullmatch(r"[0-9A-Za-z_-]{1,64}", request):
        raise UsageError(f"request id is {request!r}; expected the X-Request-Id")


def check_timeout(timeout: float) -> float | None:
    """Return the seconds of ``--timeout``; None for 0, which leaves it to the route."""
    if timeout < 0 or not math.isfinite(timeout):
        raise UsageError(f"--timeout is {timeout!r}; expected seconds over 0")
    return timeout or None


def parse_entries(text: str, flag: str = "entries") -> tuple[str, ...]:
    """Return the addresses of ``--entries``, else of ``LAGOONTIDE_OPERATORS``."""
    if not text and flag == "entries":
        text = os.environ.get(ENTRIES_VARIABLE, "")
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    if not addresses:
        raise UsageError(f"--{flag}=IP:PORT is needed")
    for address in addresses:
        if not ADDRESS.fullmatch(address):
            raise UsageError(f"--{flag} has {address!r}; expected IP:PORT")
    return addresses


def find_token(text: str) -> str:
    """Return the token of the flag or of the environment."""
    token = text or os.environ.get(TOKEN_VARIABLE, "")
    if not token or not token.isprintable():
        raise UsageError(f"--token or the variable {TOKEN_VARIABLE} is needed")
    return token


def parse_window(text: str) -> float:
    """Return the seconds of ``--window``, as in 90s, 5m or 1h."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([smh])", text)
    seconds = float(match[1]) * UNITS_S[match[2]] if match else 0.0
    if not 0 < seconds <= MAX_WINDOW_S:
        raise UsageError(f"--window is {text!r}; expected 90s, 5m, 1h, up to 6h")
    return seconds


def read_body(text: str) -> bytes:
    """Return the body, or that of the file after an ``@``."""
    if not text.startswith("@"):
        return text.encode()
    try:
        return Path(text[1:]).read_bytes()
    except OSError as exc:
        raise UsageError(f"--body: {exc}") from exc
