"""HTTP application of the operators' port, to which slices add their pages."""

import hmac
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs, quote, urlsplit

import msgspec
from loguru import logger

from lagoontide.errors import LagoontideError, RequestRejected
from lagoontide.httpd import read_body
from lagoontide.operators.sessions import Session, Sessions

__all__ = [
    "Handler",
    "OperatorRequest",
    "OperatorResponse",
    "OperatorsApp",
    "send_json",
]

MAX_BODY_BYTES = 4 << 20
MAX_FIELDS = 1000
FORM_TYPE = "application/x-www-form-urlencoded"
HTML_TYPE = "text/html"
SAFE_METHODS = frozenset({"GET", "HEAD"})


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A request of an operator, signed in.

    Attributes
    ----------
    operator : str
        Name of the operator; empty on a page that needs no sign-in.
    path : str
        The part of the path behind the handler's prefix.
    csrf : str
        What a form on the answered page has to send in its field ``csrf``; empty
        for a bearer token, which a browser does not send by itself.
    form : dict of str to list of str
        Fields of a form's body.
    """

    operator: str
    method: str
    path: str
    query: dict[str, list[str]]
    headers: dict[str, str]
    body: bytes
    csrf: str = ""
    form: dict[str, list[str]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """What an operator gets."""

    status: HTTPStatus
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


Handler = Callable[[OperatorRequest], OperatorResponse]


@dataclass(frozen=True, slots=True)
class _Mount:
    prefix: str
    handler: Handler
    is_open: bool


def send_json(value: Any, status: HTTPStatus = HTTPStatus.OK) -> OperatorResponse:
    """Return a response whose body is a value as JSON."""
    return OperatorResponse(status, "application/json", msgspec.json.encode(value))


class OperatorsApp:
    """WSGI application; handlers run in the HTTP server's threads.

    Parameters
    ----------
    tokens : dict of str to str
        Operators' names by the SHA-256 hex digest of their bearer token.
    secret : str
        Key of the browsers' sessions; see Sessions.
    """

    def __init__(self, tokens: dict[str, str], secret: str = "") -> None:
        self.sessions = Sessions(tokens, secret)
        self._mounts: list[_Mount] = []

    def mount(self, prefix: str, handler: Handler, *, is_open: bool = False) -> None:
        """Serve the paths that begin with ``prefix``; the longest prefix wins.

        Parameters
        ----------
        is_open : bool
            Whether it needs no bearer token; such a handler signs in itself.
        """
        self._mounts.append(_Mount(prefix, handler, is_open))
        self._mounts.sort(key=lambda item: len(item.prefix), reverse=True)

    def __call__(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Answer one request, as WSGI has it."""
        response = self._respond(environ)
        head = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start(f"{response.status.value} {response.status.phrase}", head)
        return iter((response.body,))

    def _respond(self, environ: dict[str, Any]) -> OperatorResponse:
        try:
            return self._dispatch(environ)
        except RequestRejected as exc:
            if exc.status == HTTPStatus.UNAUTHORIZED and _wants_page(environ):
                return _send_to_sign_in(environ)
            return _send_error(environ, HTTPStatus(exc.status), exc.message, exc.step)
        except LagoontideError as exc:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return _send_error(environ, status, exc.message, exc.step)
        except Exception:
            logger.exception("an operators' page failed")
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            return _send_error(environ, status, "internal error", "")

    def _dispatch(self, environ: dict[str, Any]) -> OperatorResponse:
        path = environ["PATH_INFO"]
        for mount in self._mounts:
            if path.startswith(mount.prefix):
                return mount.handler(self._make_request(environ, mount))
        raise RequestRejected(HTTPStatus.NOT_FOUND, f"no path {path!r}")

    def _make_request(self, environ: dict[str, Any], mount: _Mount) -> OperatorRequest:
        session = self._sign_in(environ)
        if session is None and not mount.is_open:
            raise RequestRejected(
                HTTPStatus.UNAUTHORIZED, "an operator's bearer token is needed"
            )
        body = _read_whole(environ)
        form = _parse_form(environ, body)
        method = environ["REQUEST_METHOD"]
        if method not in SAFE_METHODS:
            _check_origin(environ)
            if session is not None and session.csrf:
                _check_csrf(session, form)
        return OperatorRequest(
            operator=session.operator if session else "",
            method=method,
            path=environ["PATH_INFO"].removeprefix(mount.prefix),
            query=parse_qs(environ.get("QUERY_STRING", "")),
            headers=_read_headers(environ),
            body=body,
            csrf=session.csrf if session else "",
            form=form,
        )

    def _sign_in(self, environ: dict[str, Any]) -> Session | None:
        scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        if scheme.lower() == "bearer":
            operator = self.sessions.identify(token)
            return Session(operator, "") if operator else None
        return self.sessions.read(environ.get("HTTP_COOKIE", ""))


def _read_headers(environ: dict[str, Any]) -> dict[str, str]:
    headers = {
        name.removeprefix("HTTP_").replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers


def _read_whole(environ: dict[str, Any]) -> bytes:
    """Return the body; one that is too long is refused, never cut."""
    body = read_body(environ, MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        raise RequestRejected(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f"the body is over {MAX_BODY_BYTES} bytes",
        )
    return body


def _parse_form(environ: dict[str, Any], body: bytes) -> dict[str, list[str]]:
    if not environ.get("CONTENT_TYPE", "").startswith(FORM_TYPE):
        return {}
    try:
        return parse_qs(
            body.decode(), keep_blank_values=True, max_num_fields=MAX_FIELDS
        )
    except ValueError as exc:
        raise RequestRejected(
            HTTPStatus.BAD_REQUEST, f"the form cannot be read: {exc}"
        ) from exc


def _check_origin(environ: dict[str, Any]) -> None:
    origin = environ.get("HTTP_ORIGIN", "")
    if origin and urlsplit(origin).netloc != environ.get("HTTP_HOST", ""):
        raise RequestRejected(
            HTTPStatus.FORBIDDEN, f"a form of {origin!r} may not be sent here"
        )


def _check_csrf(session: Session, form: dict[str, list[str]]) -> None:
    sent = form.get("csrf", [""])[0]
    if not hmac.compare_digest(sent.encode(), session.csrf.encode()):
        raise RequestRejected(
            HTTPStatus.FORBIDDEN,
            "the form does not belong to this session; load its page again",
        )


def _wants_page(environ: dict[str, Any]) -> bool:
    return HTML_TYPE in environ.get("HTTP_ACCEPT", "")


def _send_to_sign_in(environ: dict[str, Any]) -> OperatorResponse:
    from lagoontide.operators.pages import redirect

    path = environ["PATH_INFO"] if environ["REQUEST_METHOD"] == "GET" else "/"
    return redirect(f"/sign-in?next={quote(path, safe='/')}")


def _send_error(
    environ: dict[str, Any], status: HTTPStatus, detail: str, step: str
) -> OperatorResponse:
    if not _wants_page(environ):
        return send_json({"detail": detail, "step": step}, status)
    from lagoontide.operators.pages import make_pages

    req = OperatorRequest("", "GET", "", {}, {}, b"")
    return make_pages("lagoontide.operators").send(
        req, "error.html", status, heading=status.phrase, detail=detail, step=step
    )
