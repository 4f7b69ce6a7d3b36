"""Header fields of requests and responses, by their names on the platform."""

import re

from loguru import logger

from lagoontide.forward.fields import (
    ForwardMetadata,
    InvalidField,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)
from lagoontide.http1.messages import (
    Fields,
    RequestHead,
    ResponseHead,
    end_to_end_fields,
    field_value,
    field_values,
)

__all__ = [
    "PlatformFieldCodec",
    "decode_leaving",
    "decode_pause",
    "decode_rate_limit",
]

REQUEST_ID = b"X-Lagoontide-Request-Id"
DEADLINE = b"X-Lagoontide-Deadline-Ms"
TARGET = b"X-Lagoontide-Expect-Instance"
ACCOUNT = b"X-Lagoontide-Tenant"
URGENCY = b"X-Lagoontide-Request-Urgency"
INPUTS = b"X-Lagoontide-Inputs"
LAST_EVENT = b"Last-Event-Id"
RESUMES = b"Resumes"
# Prompt tokens and output tokens, in that order.
TOKEN_COUNTS = b"X-Lagoontide-Token-Counts"
PROMPT_PREFIX = b"X-Lagoontide-Prompt-Prefix"
PIECES = b"X-Lagoontide-Pieces"
PIECE_KEY = b"X-Lagoontide-Piece-Key"
RESPONSE_SEAL = b"X-Lagoontide-Response-Seal"
NOT_RUN = b"X-Lagoontide-Not-Executed"
INSTANCE = b"X-Lagoontide-Instance-Id"
RATE_LIMIT = b"Server-Limit"
COLD = b"X-Lagoontide-Cold-Ms"
LEAVING = b"Server-Leaving"
RETRY_AFTER = b"Retry-After"
AUTHORIZATION = b"Authorization"
BEARER_PREFIX = "bearer "

# Fields that only lagoontide may send to a target; a caller's own are removed.
RESERVED_FIELDS = frozenset(
    name.lower()
    for name in (
        AUTHORIZATION,
        DEADLINE,
        TARGET,
        ACCOUNT,
        URGENCY,
        INPUTS,
        b"X-Lagoontide-Expect-Version",
        b"X-Lagoontide-Kv-Hold",
        b"X-Lagoontide-Pin-Ms",
        b"X-Lagoontide-Kv-Backup",
        b"Kv-From",
        b"Kv-Fetch",
        b"X-Lagoontide-Kv-From",
        b"X-Lagoontide-Kv-Fetch",
    )
)
# Fields of responses that are read, here or by the HTTP client, or only passed on.
KNOWN_RESPONSE_FIELDS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        RESPONSE_SEAL,
        NOT_RUN,
        INSTANCE,
        RATE_LIMIT,
        COLD,
        LEAVING,
        RETRY_AFTER,
        b"Cache-Control",
        b"Connection",
        b"Content-Encoding",
        b"Content-Length",
        b"Content-Type",
        b"Date",
        b"Keep-Alive",
        b"Server",
        b"Transfer-Encoding",
    )
)
# Bounds the log lines about other fields: one for each name, up to this many.
MAX_UNKNOWN_FIELDS = 50
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Callers send a request again after these, also one that may run only once.
NOT_RUN_STATUSES = frozenset({408, MISDIRECTED_STATUS, 429, UNAVAILABLE_STATUS})
INPUTS_GONE_STATUS = 409
MS_PER_S = 1000.0
MAX_REQUEST_ID_CHARS = 200
# Longer numbers cannot be calculated with, or be sent on to peers.
DECIMAL_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]+)?")
LONG_DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]+)?")
DECIMAL_INTEGER = re.compile(r"[0-9]{1,15}")
# More tokens or pieces than any target has room for.
MAX_TOKENS = 10**9
MAX_PIECES = 10_000
# A longer pause is shortened, wherever it is used.
MAX_PAUSE_S = 1e9


class PlatformFieldCodec:
    """Implements lagoontide.forward.fields.FieldCodec."""

    def __init__(self) -> None:
        self._unknown_fields: set[bytes] = set()

    def decode_request(self, head: RequestHead) -> RequestMetadata:
        """See FieldCodec."""
        fields = head.fields
        request_id = _field_text(fields, REQUEST_ID)
        if not request_id or len(request_id) > MAX_REQUEST_ID_CHARS:
            raise InvalidField(
                f"{REQUEST_ID.decode()}: missing or too long: {request_id!r}"
            )
        deadline_ms = _int_field(fields, DEADLINE)
        prompt, output = _token_counts(fields)
        return RequestMetadata(
            request_id=request_id,
            timeout=None if deadline_ms is None else deadline_ms / MS_PER_S,
            key=_api_key(fields),
            prompt_tokens=prompt,
            output_tokens=output,
            prompt_parts=_prompt_parts(fields),
            piece_counts=_int_list_field(fields, PIECES, MAX_PIECES),
            piece_key=_field_text(fields, PIECE_KEY) or "",
            last_event_id=_int_field(fields, LAST_EVENT),
            resumes=_decode_resumes(fields),
        )

    def encode_request(
        self, head: RequestHead, metadata: ForwardMetadata
    ) -> RequestHead:
        """See FieldCodec."""
        reserved = (
            RESERVED_FIELDS
            if metadata.last_event_id is None
            else RESERVED_FIELDS | {LAST_EVENT.lower()}
        )
        fields = end_to_end_fields(head.fields, reserved)
        left = max(1, int(metadata.time_left * MS_PER_S))
        fields.append((DEADLINE, b"%d" % left))
        fields.append((TARGET, metadata.target.encode()))
        if metadata.account is not None:
            fields.append((ACCOUNT, metadata.account.encode()))
        if metadata.urgency_level is not None:
            fields.append((URGENCY, b"%d" % metadata.urgency_level))
        if metadata.inputs:
            fields.append((INPUTS, ",".join(metadata.inputs).encode()))
        if metadata.last_event_id is not None:
            fields.append((LAST_EVENT, b"%d" % metadata.last_event_id))
        return RequestHead(head.method, head.path, fields)

    def decode_response(self, head: ResponseHead) -> ResponseMetadata:
        """See FieldCodec."""
        fields = head.fields
        self._log_unknown_fields(fields)
        encoding = field_value(fields, b"content-encoding")
        rate_limit, unreadable = decode_rate_limit(fields)
        return ResponseMetadata(
            request_id=_field_text(fields, REQUEST_ID),
            has_not_run=_field_text(fields, NOT_RUN) is not None,
            is_sealed=_field_text(fields, RESPONSE_SEAL) is not None,
            promises_not_run=head.status in NOT_RUN_STATUSES,
            answered_by=_decode_instance(fields),
            is_misdirected=head.status == MISDIRECTED_STATUS,
            lacks_inputs=head.status == INPUTS_GONE_STATUS,
            is_encoded=encoding is not None and encoding.lower() != b"identity",
            rate_limit=rate_limit,
            unreadable_rate_limit=unreadable,
            cold_left=_decode_cold(fields),
            is_leaving=decode_leaving(fields),
            pause=decode_pause(head.status, fields),
        )

    def _log_unknown_fields(self, fields: Fields) -> None:
        """Log the names of fields that nothing reads, each once."""
        for name in {key.lower() for key, _ in fields} - KNOWN_RESPONSE_FIELDS:
            known = self._unknown_fields
            if name not in known and len(known) < MAX_UNKNOWN_FIELDS:
                known.add(name)
                logger.info("targets send a field that is not read: {!r:.80}", name)


def decode_rate_limit(fields: Fields) -> tuple[float | None, str]:
    """Return the rate limit in a response, or None, and the text of an invalid one.

    An invalid limit is no error: the response itself is still good.
    """
    values = [
        value.decode("latin-1").strip()
        for value in field_values(fields, RATE_LIMIT.lower())
    ]
    if not values:
        return None, ""
    text = ", ".join(values)
    if not DECIMAL_NUMBER.fullmatch(text):
        return None, text or "empty"
    return float(text), ""


def decode_leaving(fields: Fields) -> bool:
    """Return whether a response says that its target is leaving.

    It does so by one field with the value 1; any other says nothing.
    """
    values = [value.strip() for value in field_values(fields, LEAVING.lower())]
    return values == [b"1"]


def decode_pause(status: int, fields: Fields) -> float | None:
    """Return the seconds for which a response asks for no requests, or None.

    A 503 does so by one decimal number above 0; any other value says nothing.
    """
    values = [value.strip() for value in field_values(fields, RETRY_AFTER.lower())]
    if status != UNAVAILABLE_STATUS or len(values) != 1:
        return None
    text = values[0].decode("latin-1")
    if not LONG_DECIMAL_NUMBER.fullmatch(text):
        return None
    return min(float(text), MAX_PAUSE_S) or None


def _decode_resumes(fields: Fields) -> str | None:
    """Return the request that began a stream; None if not exactly one is named."""
    values = [value.strip() for value in field_values(fields, RESUMES.lower())]
    if len(values) != 1 or not 0 < len(values[0]) <= MAX_REQUEST_ID_CHARS:
        return None
    return values[0].decode("latin-1")


def _decode_instance(fields: Fields) -> str | None:
    """Return the id of the target that answered; None if not exactly one is named."""
    values = [value.strip() for value in field_values(fields, INSTANCE.lower())]
    return values[0].decode("latin-1") if len(values) == 1 and values[0] else None


def _decode_cold(fields: Fields) -> float | None:
    """Return the seconds for which a target stays cold; None if that is unreadable."""
    values = [value.strip() for value in field_values(fields, COLD.lower())]
    if len(values) != 1 or not DECIMAL_NUMBER.fullmatch(values[0].decode("latin-1")):
        return None
    return float(values[0]) / MS_PER_S


def _field_text(fields: Fields, name: bytes) -> str | None:
    values = list(field_values(fields, name.lower()))
    if len(values) > 1:
        raise InvalidField(f"{name.decode()}: sent {len(values)} times")
    return values[0].decode("latin-1").strip() if values else None


def _is_decimal(text: str) -> bool:
    return DECIMAL_INTEGER.fullmatch(text) is not None


def _int_field(fields: Fields, name: bytes) -> int | None:
    text = _field_text(fields, name)
    if text is None or not text:
        return None
    if not _is_decimal(text):
        raise InvalidField(f"{name.decode()}: {text!r:.80} is not a decimal integer")
    return int(text)


def _int_list_field(fields: Fields, name: bytes, most: int) -> tuple[int, ...]:
    text = _field_text(fields, name)
    if not text:
        return ()
    numbers = [part.strip() for part in text.split(",")]
    if not all(map(_is_decimal, numbers)):
        raise InvalidField(
            f"{name.decode()}: {text!r:.80} is not a comma-separated list of integers"
        )
    values = tuple(map(int, numbers))
    if max(values) > most:
        raise InvalidField(f"{name.decode()}: {max(values)} is over {most}")
    return values


def _token_counts(fields: Fields) -> tuple[int, int]:
    match _int_list_field(fields, TOKEN_COUNTS, MAX_TOKENS):
        case (prompt, output):
            return prompt, output
        case ():
            return 0, 0
        case other:
            raise InvalidField(
                f"{TOKEN_COUNTS.decode()}: expected two integers, got {other!r}"
            )


def _prompt_parts(fields: Fields) -> tuple[PromptPart, ...]:
    text = _field_text(fields, PROMPT_PREFIX)
    if not text:
        return ()
    return tuple(map(_parse_prompt_part, text.split(",")))


def _parse_prompt_part(text: str) -> PromptPart:
    part, _, tokens = text.strip().rpartition(":")
    if not part or not _is_decimal(tokens) or int(tokens) > MAX_TOKENS:
        raise InvalidField(
            f"{PROMPT_PREFIX.decode()}: {text!r:.80} is not ID:TOKEN_COUNTS"
        )
    return PromptPart(part, int(tokens))


def _api_key(fields: Fields) -> str | None:
    text = _field_text(fields, AUTHORIZATION)
    if text is None or not text.lower().startswith(BEARER_PREFIX):
        return None
    return text[len(BEARER_PREFIX) :].strip()
