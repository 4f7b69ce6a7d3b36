"""HTTP requests and responses, and their header fields."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

__all__ = [
    "Fields",
    "RequestHead",
    "ResponseHead",
    "Response",
    "end_to_end_fields",
    "field_value",
    "field_values",
    "is_success",
]

Fields = list[tuple[bytes, bytes]]

SUCCESS_STATUSES = range(200, 300)
BODILESS_STATUSES = frozenset((204, 304))
# Not forwarded: fields that apply to one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP_FIELDS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and fields, in the client's spelling and order."""

    method: bytes
    path: bytes
    fields: Fields = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and fields of a response.

    Attributes
    ----------
    length : int or None
        Content-Length in bytes, or None if the response states none.
    """

    status: int
    fields: Fields = field(default_factory=list)
    reason: bytes = b""
    length: int | None = None

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body (RFC 9112, 6.3)."""
        return (
            self.length is None
            and self.status not in BODILESS_STATUSES
            and not any(field_values(self.fields, b"transfer-encoding"))
        )


@dataclass(frozen=True, slots=True)
class Response:
    """A response with its complete body."""

    status: int
    fields: Fields = field(default_factory=list)
    body: bytes = b""


def field_values(fields: Fields, name: bytes) -> Iterator[bytes]:
    """Yield every value of a field; ``name`` must be in lower case."""
    return (value for key, value in fields if key.lower() == name)


def field_value(fields: Fields, name: bytes) -> bytes | None:
    """Return the value of a field, or None if it is absent or repeated."""
    values = list(field_values(fields, name))
    return values[0] if len(values) == 1 else None


def is_success(status: int) -> bool:
    """Return whether a status code is 2xx."""
    return status in SUCCESS_STATUSES


def end_to_end_fields(fields: Fields, without: Iterable[bytes] = ()) -> Fields:
    """Return the end-to-end fields, which a proxy forwards.

    Parameters
    ----------
    without : iterable of bytes
        Names, in lower case, of further fields to leave out.
    """
    dropped = (
        HOP_BY_HOP_FIELDS | _list_members(fields, b"connection") | frozenset(without)
    )
    return [(key, value) for key, value in fields if key.lower() not in dropped]


def _list_members(fields: Fields, name: bytes) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for value in field_values(fields, name)
        for token in value.split(b",")
    )
