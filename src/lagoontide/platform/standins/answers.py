"""Answers of stand-ins."""

import msgspec

from lagoontide.http1.messages import Response

__all__ = ["json_answer"]


def json_answer(value: object, status: int = 200) -> Response:
    """Return an answer with a value as JSON."""
    fields = [(b"Content-Type", b"application/json")]
    return Response(status, fields, msgspec.json.encode(value))
