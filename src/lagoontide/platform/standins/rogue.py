"""A stand-in for a target that sends malformed, endless or duplicate data."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from enum import StrEnum

from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.fields import NOT_RUN, REQUEST_ID, RESPONSE_SEAL
from lagoontide.platform.standins.ports import HOST
from lagoontide.platform.standins.runs import encode_registration
from lagoontide.platform.standins.store import StoreStandin

__all__ = ["RogueResponse", "RogueTarget"]

MAX_REQUEST_HEAD_BYTES = 64 << 10
TRICKLE_INTERVAL_S = 0.2
SLOTS = 64
BLOCK_BYTES = 32 << 10


class RogueResponse(StrEnum):
    """What the target sends in place of a proper response; some kinds never end."""

    HEAD = "a head without end"
    INTERIM = "interim answers without end"
    CHUNK_SIZE = "a chunk's size without end"
    TRAILERS = "trailers without end"
    REFUSAL = "a refusal without end"
    FAILURE = "a failure without end"
    STRAY = "another request's answer without end"
    BODY = "an answer without end"
    COMMENTS = "comments without end"
    EVENT = "an event without end"
    TRICKLE = "a byte now and then"
    STALL_COMMENTS = "comments after the first event"
    SHORT = "fewer bytes than the length says"
    LONG = "more bytes than the length says"
    SECOND_COPY = "the answer twice"
    LATE_COPY = "the answer before once more, then the answer"


class RogueTarget:
    """A target that sends the bytes of its ``trouble`` to every request.

    Attributes
    ----------
    request_counts : Counter
        Number of times that each request was received, by request id.
    sent : int
        Total bytes sent.
    """

    def __init__(self, name: str, service: str, trouble: RogueResponse) -> None:
        self.id = name
        self.service = service
        self.trouble = trouble
        self.address = ""
        self.request_counts: Counter[str] = Counter()
        self.sent = 0
        self._server: asyncio.Server | None = None
        self._last_response = b""

    async def start(self, store: StoreStandin, zone: str = "z1") -> None:
        """Start listening and register in the store."""
        self._server = await asyncio.start_server(
            self._serve, HOST, 0, limit=MAX_REQUEST_HEAD_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        entry = encode_registration(self.service, self.address, zone, SLOTS)
        store.put(TARGETS_PREFIX + self.id, entry)

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(_content_length(head))
                await self._respond(_request_id(head), writer)
        except (OSError, EOFError, asyncio.LimitOverrunError):
            return
        finally:
            writer.close()

    async def _respond(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        self.request_counts[request_id] += 1
        async for data in self._response_bytes(request_id):
            writer.write(data)
            self.sent += len(data)
            await writer.drain()
            # An entry may run on the same event loop; let it run between writes.
            await asyncio.sleep(0)
        if self.trouble is RogueResponse.SHORT:
            writer.close()

    async def _response_bytes(self, request_id: str) -> AsyncIterator[bytes]:
        whole = _response_head(request_id, b"Content-Length: 4") + b"done"
        match self.trouble:
            case RogueResponse.TRICKLE:
                for byte in whole:
                    await asyncio.sleep(TRICKLE_INTERVAL_S)
                    yield bytes([byte])
            case RogueResponse.STALL_COMMENTS:
                yield _response_head(request_id, CHUNKED) + _chunk(
                    b"id: 1\ndata: a\n\n"
                )
                while True:
                    await asyncio.sleep(TRICKLE_INTERVAL_S)
                    yield _chunk(b": there\n\n")
            case RogueResponse.SHORT:
                yield _response_head(request_id, b"Content-Length: 400") + b"done"
            case RogueResponse.LONG:
                yield whole + b"and more"
            case RogueResponse.SECOND_COPY:
                yield whole * 2
            case RogueResponse.LATE_COPY:
                yield self._last_response + whole
                self._last_response = whole
            case trouble:
                start, block = _endless_response(trouble, request_id)
                yield start
                while True:
                    yield block


CHUNKED = b"Transfer-Encoding: chunked"


def _endless_response(trouble: RogueResponse, request_id: str) -> tuple[bytes, bytes]:
    """Return the start of an endless response and the block repeated after it."""
    filler = b"a" * BLOCK_BYTES
    body = _chunk(filler)
    head = _response_head(request_id, CHUNKED)
    responses = {
        RogueResponse.HEAD: (b"HTTP/1.1 200 OK\r\nX-Long: ", filler),
        RogueResponse.INTERIM: (b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 512),
        RogueResponse.CHUNK_SIZE: (head, b"0" * BLOCK_BYTES),
        RogueResponse.TRAILERS: (head + b"0\r\n", b"X-Trailer: value\r\n" * 1024),
        RogueResponse.REFUSAL: (
            _response_head(
                request_id, CHUNKED + b"\r\n" + NOT_RUN + b": 1", b"503 Full"
            ),
            body,
        ),
        RogueResponse.FAILURE: (
            _response_head(request_id, CHUNKED, b"500 Failed"),
            body,
        ),
        RogueResponse.STRAY: (_response_head("other", CHUNKED), body),
        RogueResponse.BODY: (head, body),
        RogueResponse.COMMENTS: (head, _chunk(b": there\n\n" * 1024)),
        RogueResponse.EVENT: (head + _chunk(b"id: 1\ndata: "), body),
    }
    return responses[trouble]


def _response_head(request_id: str, framing: bytes, status: bytes = b"200 OK") -> bytes:
    fields = (
        b"HTTP/1.1 " + status,
        REQUEST_ID + b": " + request_id.encode(),
        RESPONSE_SEAL + b": rogue",
        framing,
    )
    return b"\r\n".join(fields) + b"\r\n\r\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _field_value(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.lower() == name.lower():
            return value.strip()
    return b""


def _content_length(head: bytes) -> int:
    return int(_field_value(head, b"Content-Length") or 0)


def _request_id(head: bytes) -> str:
    return _field_value(head, REQUEST_ID).decode()
