"""Responses that stand-ins send."""

from collections.abc import Iterable

import msgspec

from lagoontide.http1.messages import Response

__all__ = ["json_response"]


def json_response(
    value: object, status: int = 200, fields: Iterable[tuple[bytes, bytes]] = ()
) -> Response:
    """Return a response whose body is a value encoded as JSON."""
    json_fields = [(b"Content-Type", b"application/json"), *fields]
    return Response(status, json_fields, msgspec.json.encode(value))
