"""Messages between entries about the versions that began streams."""

import msgspec

from lagoontide.decoding import Number

__all__ = ["MESSAGES", "AgedOrigin", "Batch", "OriginReply", "OriginRequest"]

# Request ids by version and by service.
Batch = dict[str, dict[str, list[str]]]
# Request id, service, version and seconds since this was learned.
AgedOrigin = tuple[str, str, str, Number]


class OriginRequest(msgspec.Struct, frozen=True, array_like=True, tag="origin"):
    """Asks for the version that began the stream of a request."""

    request_id: str
    service: str


class OriginReply(msgspec.Struct, frozen=True, array_like=True, tag="origin-reply"):
    """Answers an ``OriginRequest``; without a version if it is not known."""

    version: str | None = None


MESSAGES = (OriginRequest, OriginReply)
