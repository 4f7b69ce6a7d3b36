"""Responses that stand-ins send."""

import msgspec

from lagoontide.http1.messages import Response

__all__ = ["json_response"]


def json_response(value: object, status: int = 200) -> Response:
    """Return a response whose body is a value encoded as JSON."""
    fields = [(b"Content-Type", b"application/json")]
    return Response(status, fields, msgspec.json.encode(value))
