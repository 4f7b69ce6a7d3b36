"""HTTP application of the operators' port, to which slices add their pages."""

import hashlib
import hmac
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import msgspec
from loguru import logger

from lagoontide.errors import LagoontideError, RequestError
from lagoontide.httpd import read_body

__all__ = [
    "Handler",
    "OperatorRequest",
    "OperatorResponse",
    "OperatorsApp",
    "send_json",
]

MAX_BODY_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """A request of an operator, signed in.

    Attributes
    ----------
    operator : str
        Name of the operator; empty on a page that needs no sign-in.
    path : str
        The part of the path behind the handler's prefix.
    """

    operator: str
    method: str
    path: str
    query: dict[str, list[str]]
    headers: dict[str, str]
    body: bytes


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
    """

    def __init__(self, tokens: dict[str, str]) -> None:
        self._tokens = tokens
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

    def identify(self, token: str) -> str:
        """Return the operator of a token, or an empty string."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        matches = (
            name
            for known, name in self._tokens.items()
            if hmac.compare_digest(known, digest)
        )
        return next(matches, "")

    def __call__(
        self, environ: dict[str, Any], start: Callable[..., Any]
    ) -> Iterator[bytes]:
        """Answer one request, as WSGI has it."""
        try:
            response = self._respond(environ)
        except RequestError as exc:
            response = send_json(
                {"detail": exc.message, "step": exc.step}, HTTPStatus(exc.status)
            )
        except LagoontideError as exc:
            response = send_json(
                {"detail": exc.message, "step": exc.step},
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
        except Exception:
            logger.exception("an operators' page failed")
            response = send_json(
                {"detail": "internal error"}, HTTPStatus.INTERNAL_SERVER_ERROR
            )
        head = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start(f"{response.status.value} {response.status.phrase}", head)
        return iter((response.body,))

    def _respond(self, environ: dict[str, Any]) -> OperatorResponse:
        path = environ["PATH_INFO"]
        for mount in self._mounts:
            if path.startswith(mount.prefix):
                return mount.handler(self._make_request(environ, mount))
        raise RequestError(HTTPStatus.NOT_FOUND, f"no path {path!r}")

    def _make_request(self, environ: dict[str, Any], mount: _Mount) -> OperatorRequest:
        scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        operator = self.identify(token) if scheme.lower() == "bearer" else ""
        if not operator and not mount.is_open:
            raise RequestError(
                HTTPStatus.UNAUTHORIZED, "an operator's bearer token is needed"
            )
        headers = {
            name.removeprefix("HTTP_").replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        if "CONTENT_TYPE" in environ:
            headers["content-type"] = environ["CONTENT_TYPE"]
        return OperatorRequest(
            operator=operator,
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"].removeprefix(mount.prefix),
            query=parse_qs(environ.get("QUERY_STRING", "")),
            headers=headers,
            body=read_body(environ, MAX_BODY_BYTES),
        )
