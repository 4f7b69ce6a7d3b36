"""The callers' side of an entry: HTTP in, JSON or problem+json out."""

import queue
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any

import msgspec

from lagoontide.entry.door import CallerRequest
from lagoontide.entry.headers import (
    parse_key,
    parse_priority,
    parse_timeout,
    parse_token,
)
from lagoontide.entry.service import Entry
from lagoontide.errors import LagoontideError, RequestFailed, RequestRejected
from lagoontide.httpd import LoopBridge, read_body, skip_unread_body
from lagoontide.pipeline.walk import Answer, Fields

__all__ = ["CallersApp", "Problem", "make_app", "to_problem"]

ROUTE_PREFIX = "/v1/routes/"
NDJSON = "application/x-ndjson"
OUTCOME_STATUS = {
    "not_run": HTTPStatus.SERVICE_UNAVAILABLE,
    "failed": HTTPStatus.BAD_GATEWAY,
    "unknown": HTTPStatus.GATEWAY_TIMEOUT,
}

StartResponse = Callable[..., Any]
Environ = dict[str, Any]


class Problem(msgspec.Struct, omit_defaults=True):
    """An error as the caller gets it (RFC 9457).

    Attributes
    ----------
    outcome : str
        ``not_run``, ``failed`` or ``unknown``.
    repeat_safe : bool
        Whether the caller may send the request again without a key.
    request : str
        Id under which the entry keeps the request's trace.
    """

    title: str
    status: int
    detail: str
    outcome: str
    repeat_safe: bool
    step: str = ""
    peer: str = ""
    request: str = ""


class StreamLine(msgspec.Struct, omit_defaults=True):
    """A line of a streamed answer: tokens, the answer or a problem."""

    offset: int | None = None
    tokens: list[str] | None = None
    answer: Fields | None = None
    problem: Problem | None = None


def to_problem(exc: LagoontideError) -> Problem:
    """Return what the caller is told of an error."""
    outcome, safe = "failed", False
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    match exc:
        case RequestRejected():
            outcome, safe, status = "not_run", True, HTTPStatus(exc.status)
        case RequestFailed():
            outcome, safe = exc.outcome, exc.repeat_safe
            status = OUTCOME_STATUS[outcome]
    return Problem(
        status.phrase,
        status.value,
        exc.message,
        outcome,
        safe,
        exc.step,
        exc.peer,
        exc.request,
    )


class _Body:
    """An answer's parts; says when the server is done with them."""

    def __init__(self, parts: Iterator[bytes], on_end: Callable[[], None]) -> None:
        self._parts = parts
        self._on_end = on_end

    def __iter__(self) -> Iterator[bytes]:
        return self._parts

    def close(self) -> None:
        """See PEP 3333."""
        self._on_end()


class CallersApp:
    """WSGI application of the callers' port.

    Attributes
    ----------
    active : set
        One mark for each request whose answer is not written yet.
    is_leaving : bool
        Whether callers are told to close their connections.

    Parameters
    ----------
    entry : Entry
        Lives on the loop of the bridge.
    max_body : int
        Bytes of a request's body at most.
    """

    def __init__(self, entry: Entry, bridge: LoopBridge, max_body: int) -> None:
        self._entry = entry
        self._bridge = bridge
        self._max_body = max_body
        self.active: set[object] = set()
        self.is_leaving = False

    def __call__(self, environ: Environ, start: StartResponse) -> Iterable[bytes]:
        """Answer one request; see PEP 3333."""
        self.active.add(token := object())
        return _Body(
            self._answer(environ, self._mark(start)),
            lambda: self.active.discard(token),
        )

    def _mark(self, start: StartResponse) -> StartResponse:
        """Have callers open a new connection elsewhere once this entry leaves."""
        if not self.is_leaving:
            return start
        return lambda status, headers: start(
            status, [*headers, ("Connection", "close")]
        )

    def _answer(self, environ: Environ, start: StartResponse) -> Iterator[bytes]:
        path = environ["PATH_INFO"]
        try:
            if path == "/livez":
                return _send_text(start, HTTPStatus.OK, "live")
            if path == "/readyz":
                return self._send_ready(start)
            if not path.startswith(ROUTE_PREFIX):
                raise RequestRejected(HTTPStatus.NOT_FOUND, f"no path {path!r}")
            if environ["REQUEST_METHOD"] != "POST":
                raise RequestRejected(HTTPStatus.METHOD_NOT_ALLOWED, "use POST")
            call = self._parse(environ, path.removeprefix(ROUTE_PREFIX))
            if NDJSON in environ.get("HTTP_ACCEPT", ""):
                return self._send_stream(start, call)
            return _send_answer(start, self._bridge.call(self._entry.serve(call)))
        except LagoontideError as exc:
            return _send_problem(start, exc)

    def _send_ready(self, start: StartResponse) -> Iterator[bytes]:
        if self._entry.is_ready:
            return _send_text(start, HTTPStatus.OK, "ready")
        return _send_text(start, HTTPStatus.SERVICE_UNAVAILABLE, "not ready")

    def _parse(self, environ: Environ, route: str) -> CallerRequest:
        return CallerRequest(
            route=route,
            token=parse_token(environ.get("HTTP_AUTHORIZATION", "")),
            body=self._read_body(environ),
            timeout=parse_timeout(environ.get("HTTP_REQUEST_TIMEOUT")),
            priority=parse_priority(environ.get("HTTP_PRIORITY")),
            key=parse_key(environ.get("HTTP_IDEMPOTENCY_KEY")),
        )

    def _read_body(self, environ: Environ) -> bytes:
        try:
            body = read_body(environ, self._max_body + 1)
        except (OSError, ValueError) as exc:
            skip_unread_body(environ)
            raise RequestRejected(
                HTTPStatus.REQUEST_TIMEOUT,
                f"the body did not arrive: {exc}",
                step="body",
            ) from exc
        declared = environ.get("CONTENT_LENGTH")
        if declared and len(body) < min(int(declared), self._max_body):
            raise RequestRejected(
                HTTPStatus.BAD_REQUEST,
                f"the body was cut: {len(body)} of {declared} bytes",
                step="body",
            )
        if len(body) > self._max_body:
            raise RequestRejected(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"the body is over {self._max_body} bytes",
            )
        return body

    def _send_stream(
        self, start: StartResponse, call: CallerRequest
    ) -> Iterator[bytes]:
        """Send tokens as they come, then the answer or the problem."""
        lines: queue.SimpleQueue[StreamLine | None] = queue.SimpleQueue()

        def on_tokens(offset: int, tokens: list[str]) -> None:
            lines.put(StreamLine(offset=offset, tokens=tokens))

        async def run() -> None:
            try:
                answer = await self._entry.serve(call, on_tokens)
                lines.put(StreamLine(answer=answer.fields))
            except LagoontideError as exc:
                lines.put(StreamLine(problem=to_problem(exc)))
            finally:
                lines.put(None)

        self._bridge.submit(run())
        start(_status_line(HTTPStatus.OK), [("Content-Type", NDJSON)])
        return (msgspec.json.encode(line) + b"\n" for line in iter(lines.get, None))


def make_app(entry: Entry, bridge: LoopBridge, max_body: int) -> CallersApp:
    """Return the WSGI application of the callers' port."""
    return CallersApp(entry, bridge, max_body)


def _status_line(status: HTTPStatus) -> str:
    return f"{status.value} {status.phrase}"


def _send(
    start: StartResponse,
    status: HTTPStatus,
    kind: str,
    body: bytes,
    *headers: tuple[str, str],
) -> Iterator[bytes]:
    length = ("Content-Length", str(len(body)))
    start(_status_line(status), [("Content-Type", kind), length, *headers])
    return iter((body,))


def _send_text(start: StartResponse, status: HTTPStatus, text: str) -> Iterator[bytes]:
    return _send(start, status, "text/plain", f"{text}\n".encode())


def _send_answer(start: StartResponse, answer: Answer) -> Iterator[bytes]:
    body = msgspec.json.encode(answer.fields)
    header = ("X-Request-Id", answer.request)
    return _send(start, HTTPStatus.OK, "application/json", body, header)


def _send_problem(start: StartResponse, exc: LagoontideError) -> Iterator[bytes]:
    problem = to_problem(exc)
    headers = [("X-Request-Id", exc.request)] if exc.request else []
    retry_after = getattr(exc, "retry_after", None)
    if retry_after is not None:
        headers.append(("Retry-After", f"{retry_after:.3f}"))
    return _send(
        start,
        HTTPStatus(problem.status),
        "application/problem+json",
        msgspec.json.encode(problem),
        *headers,
    )
