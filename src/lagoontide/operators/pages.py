"""HTML pages of the operators' port: one base template and its navigation.

A slice makes its own ``Pages`` over its ``templates`` folder; a template begins
with ``{% extends "base.html" %}`` and fills the blocks ``title`` and ``content``.
"""

from dataclasses import dataclass
from datetime import UTC, datetime
from http import HTTPStatus
from typing import Any

import jinja2

from lagoontide.operators.app import OperatorRequest, OperatorResponse

__all__ = ["NAVIGATION", "Link", "Pages", "make_pages", "redirect"]

SECURITY_HEADERS = (
    (
        "Content-Security-Policy",
        "default-src 'none'; style-src 'unsafe-inline'; img-src data:; "
        "form-action 'self'; base-uri 'none'; frame-ancestors 'none'",
    ),
    ("X-Content-Type-Options", "nosniff"),
    ("Referrer-Policy", "same-origin"),
    ("Cache-Control", "no-store"),
)


@dataclass(frozen=True, slots=True)
class Link:
    """An item of the navigation."""

    title: str
    path: str


NAVIGATION = (
    Link("Overview", "/"),
    Link("Routes", "/routes"),
    Link("Accounts", "/accounts"),
    Link("Services and drain", "/services"),
    Link("Policies", "/policies"),
    Link("History", "/history"),
    Link("Burn", "/report/burn"),
)


class Pages:
    """Renders templates, with all values escaped."""

    def __init__(self, environment: jinja2.Environment) -> None:
        self._environment = environment

    def send(
        self,
        req: OperatorRequest,
        template: str,
        status: HTTPStatus = HTTPStatus.OK,
        **values: Any,
    ) -> OperatorResponse:
        """Return a page for a request."""
        text = self._environment.get_template(template).render(
            req=req, navigation=NAVIGATION, **values
        )
        return OperatorResponse(
            status, "text/html; charset=utf-8", text.encode(), SECURITY_HEADERS
        )


def make_pages(package: str) -> Pages:
    """Return the pages of a package with a ``templates`` folder."""
    loader = jinja2.ChoiceLoader(
        [
            jinja2.PackageLoader(package),
            jinja2.PackageLoader("lagoontide.operators"),
        ]
    )
    environment = jinja2.Environment(
        loader=loader,
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    environment.filters["when"] = _show_time
    return Pages(environment)


def _show_time(at: float) -> str:
    """Return seconds since the epoch as UTC; nothing for 0."""
    if not at:
        return "-"
    return datetime.fromtimestamp(at, UTC).strftime("%Y-%m-%d %H:%M:%S")


def redirect(path: str, *headers: tuple[str, str]) -> OperatorResponse:
    """Return a response that sends the browser to another page by GET."""
    return OperatorResponse(
        HTTPStatus.SEE_OTHER,
        "text/plain",
        b"see other\n",
        (("Location", path), ("Cache-Control", "no-store"), *headers),
    )
