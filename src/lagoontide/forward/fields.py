"""Meaning of request and response header fields, independent of their names."""

from dataclasses import dataclass
from typing import Protocol

from lagoontide.http1.messages import RequestHead, ResponseHead

__all__ = [
    "FieldCodec",
    "ForwardMetadata",
    "InvalidField",
    "PromptPart",
    "RequestMetadata",
    "ResponseMetadata",
]


class InvalidField(Exception):
    """A header field is invalid; the message names it."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests that start with the same parts share them."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Values of the header fields of a caller's request.

    Attributes
    ----------
    timeout : float or None
        Seconds that the caller is prepared to wait.
    key : str or None
        The caller's API key.
    piece_counts : tuple of int
        Number of pieces of each stage of the route.
    last_event_id : int or None
        Id of the event after which a stream is to be resumed.
    resumes : str or None
        Id of the request that brought the stream's first event; None if that is not
        said, or not readable.
    """

    request_id: str
    timeout: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""
    last_event_id: int | None = None
    resumes: str | None = None


@dataclass(frozen=True, slots=True)
class ForwardMetadata:
    """Values sent to a target in addition to the caller's own header fields.

    Attributes
    ----------
    time_left : float
        Seconds after which the response is of no use.
    target : str
        Id of the intended target; any other target refuses the request.
    urgency_level : int or None
        1 (most urgent) to 5; None for requests that are not streamed.
    inputs : tuple of str
        Handles of stage results that the target fetches first.
    """

    time_left: float
    target: str
    account: str | None = None
    urgency_level: int | None = None
    inputs: tuple[str, ...] = ()
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Values of the header fields of a target's response.

    Attributes
    ----------
    request_id : str or None
        Id of the request that it answers.
    has_not_run : bool
        Whether it states that the request did not run and never will.
    is_sealed : bool
        Whether it carries the target's seal.
    promises_not_run : bool
        Whether its status tells callers that the request did not run and never will,
        which only ``has_not_run`` or ``answered_by`` can prove.
    answered_by : str or None
        Id of the target that answered; None if it is not named.
    is_misdirected : bool
        Whether the target says that it is not the one the request is meant for.
    lacks_inputs : bool
        Whether stage results that the request refers to are gone.
    is_encoded : bool
        Whether the body has a content encoding, which no caller asked for.
    rate_limit : float or None
        Requests a second that the target takes from all entries together.
    cold_left : float or None
        Seconds for which the target stays cold; None if it does not say so.
    unreadable_rate_limit : str
        Text of the rate limit if it is invalid.
    is_leaving : bool
        Whether the target says that it is leaving.
    pause : float or None
        Seconds for which the target asks for no requests; None if it does not.
    """

    request_id: str | None
    has_not_run: bool
    is_sealed: bool
    promises_not_run: bool = False
    answered_by: str | None = None
    is_misdirected: bool = False
    lacks_inputs: bool = False
    is_encoded: bool = False
    rate_limit: float | None = None
    unreadable_rate_limit: str = ""
    cold_left: float | None = None
    is_leaving: bool = False
    pause: float | None = None


class FieldCodec(Protocol):
    """Reads and writes header fields under their names on the wire."""

    def decode_request(self, head: RequestHead) -> RequestMetadata:
        """Return the values of a request's fields; raises InvalidField."""

    def encode_request(
        self, head: RequestHead, metadata: ForwardMetadata
    ) -> RequestHead:
        """Return the request head to send to a target."""

    def decode_response(self, head: ResponseHead) -> ResponseMetadata:
        """Return the values of a response's fields."""
