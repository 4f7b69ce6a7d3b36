"""Sends one request to an entry, as a caller does."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import urllib3

from lagoontide.errors import PeerError

__all__ = ["CallerReply", "EXIT_BY_OUTCOME", "send_request", "stream_request"]

NDJSON = "application/x-ndjson"
STATUS_OK = 200
TIMEOUT_S = 60.0
# Seconds that the answer may travel after the caller's own time is up.
GRACE_S = 5.0
EXIT_BY_OUTCOME = {"": 0, "not_run": 1, "failed": 3, "unknown": 4}


@dataclass(frozen=True, slots=True)
class CallerReply:
    """What came back.

    Attributes
    ----------
    outcome : str
        Empty for an answer, else ``not_run``, ``failed`` or ``unknown``.
    """

    status: int
    request: str
    outcome: str
    text: str


class _Problem(msgspec.Struct):
    outcome: str = "unknown"


class _Line(msgspec.Struct):
    problem: _Problem | None = None


def _open(
    address: str,
    route: str,
    body: bytes,
    headers: dict[str, str],
    timeout: float | None,
) -> urllib3.BaseHTTPResponse:
    url = f"http://{address}/v1/routes/{route}"
    headers = {"Content-Type": "application/json", **headers}
    if timeout is not None:
        headers["Request-Timeout"] = f"{timeout:g}"
    try:
        return urllib3.PoolManager(retries=False).request(
            "POST",
            url,
            body=body,
            headers=headers,
            timeout=(timeout or TIMEOUT_S) + GRACE_S,
            preload_content=False,
        )
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        raise PeerError(
            f"cannot reach the entry: {exc}", step="request", peer=address
        ) from exc


def send_request(
    address: str,
    route: str,
    body: bytes,
    headers: dict[str, str],
    timeout: float | None = None,
) -> CallerReply:
    """Return the whole answer or the problem; raises PeerError."""
    response = _open(address, route, body, headers, timeout)
    try:
        data = response.data
    except urllib3.exceptions.HTTPError as exc:
        raise PeerError(f"the answer broke off: {exc}", peer=address) from exc
    text = data.decode("utf-8", "replace")
    request = response.headers.get("X-Request-Id", "")
    outcome = "" if response.status == STATUS_OK else _read_outcome(data)
    return CallerReply(response.status, request, outcome, text)


def _read_outcome(data: bytes) -> str:
    try:
        return msgspec.json.decode(data, type=_Problem).outcome
    except (msgspec.DecodeError, RecursionError):
        return "unknown"


def stream_request(
    address: str,
    route: str,
    body: bytes,
    headers: dict[str, str],
    timeout: float | None = None,
) -> Iterator[CallerReply]:
    """Yield a reply for each line; only the last may carry an outcome."""
    headers = {**headers, "Accept": NDJSON}
    response = _open(address, route, body, headers, timeout)
    if response.status != STATUS_OK:
        data = response.data
        text = data.decode("utf-8", "replace")
        yield CallerReply(response.status, "", _read_outcome(data), text)
        return
    rest = b""
    for chunk in response.stream():
        *lines, rest = (rest + chunk).split(b"\n")
        for line in lines:
            problem = msgspec.json.decode(line, type=_Line).problem
            outcome = problem.outcome if problem else ""
            text = line.decode("utf-8", "replace")
            yield CallerReply(response.status, "", outcome, text)
