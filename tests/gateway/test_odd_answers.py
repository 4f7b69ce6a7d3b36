"""Answers of targets that are none: odd status codes, and ends within an upload."""

import asyncio

import pytest

from lagoontide.http1.client import InvalidResponse, TargetConn
from lagoontide.http1.messages import RequestHead
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.fields import RESPONSE_SEAL
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.ports import HOST
from lagoontide.platform.standins.targets import TargetStandin
from tests.gateway.raw_targets import RawTarget, field_of, head_of, reset
from tests.support.waiting import wait_for

UPLOAD = b"x" * (3 << 20)
LIMITS = {"max_header_bytes": 8192, "max_body_bytes": 8 << 20}
ODD = ("000", "099", "100", "101", "199", "600", "700", "999", "20", "2000", "2x0")
ROUTES = ("/safe/a", "/once/a", "/events/a", "/staged/a")
EVENT = b"id: 1\ndata: part\n\n"
STAGED = [(b"X-Lagoontide-Pieces", b"1,1"), (b"X-Lagoontide-Piece-Key", b"key")]


def answer_with(status):
    async def answer(request_id, head, reader, writer):
        await reader.readexactly(int(field_of(head, b"Content-Length")))
        length = b"Content-Length: %d" % len(EVENT)
        writer.write(head_of(status + b" X", request_id, length) + EVENT)

    return answer


async def part_within_upload(request_id, head, reader, writer):
    """Answer at once without a length, send a part, reset within the upload."""
    writer.write(head_of(b"200 OK", request_id) + EVENT)
    await writer.drain()
    await reader.readexactly(100_000)
    reset(writer)


async def part_after_upload(request_id, head, reader, writer):
    """The same, once all of the upload has been read."""
    writer.write(head_of(b"200 OK", request_id) + EVENT)
    await reader.readexactly(int(field_of(head, b"Content-Length")))
    await asyncio.sleep(0.05)
    reset(writer)


async def part_before_upload(request_id, head, reader, writer):
    """The same before any of the upload is read."""
    writer.write(head_of(b"200 OK", request_id) + EVENT)
    await writer.drain()
    reset(writer)


async def ask(answer, path, body):
    """Send a request to targets that answer so; return status, body and seal."""
    targets = [RawTarget(f"plain-{n}", "plain", answer) for n in range(2)]
    targets += [RawTarget(f"eng-{n}", "engine", answer) for n in range(2)]
    targets += [TargetStandin("stage-0", "stage")]
    async with start_deployment(1, targets=targets) as small:
        small.configure(2, limits=LIMITS)
        await wait_for(lambda: small.gateways[0].store_view.config_version == 2)
        extra = STAGED if path.startswith("/staged") else None
        try:
            got = await send(small.ports[0], path, "r1", body=body, extra=extra)
        except (OSError, InvalidResponse):
            got = None
        assert sum(target.asked for target in targets[:4]) > 0
    return got


# Guards against answers with a status that is none: 600 and above reached callers as
# the target's, with its seal.
@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize("status", ODD)
def test_status_that_is_none_is_no_answer(status, path):
    got = asyncio.run(ask(answer_with(status.encode()), path, b"x"))
    assert got is None or got.status == 502
    assert got is None or not any(key == RESPONSE_SEAL for key, _ in got.fields)


# Guards against a part of an answer that is taken for the whole, as its target resets
# the connection while the request is still being written, or after.
@pytest.mark.parametrize("path", ROUTES)
@pytest.mark.parametrize(
    "answer", [part_before_upload, part_within_upload, part_after_upload]
)
def test_answer_without_length_that_is_reset_is_not_whole(answer, path):
    got = asyncio.run(ask(answer, path, UPLOAD))
    assert got is None or got.status in (502, 503, 504)


ANSWERS = {
    "interim without end": (b"HTTP/1.1 100 Continue\r\n\r\n" * 100, None),
    "interim, then final": (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        b"ok",
    ),
    "tunnel": (b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n", None),
    "204 with a body": (b"HTTP/1.1 204 None\r\nContent-Length: 2\r\n\r\nok", b""),
    "304 with a body": (b"HTTP/1.1 304 Same\r\nContent-Length: 2\r\n\r\nok", b""),
    "two lengths": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
        None,
    ),
    "negative length": (b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", None),
    "short of its length": (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", None),
    "chunks without end": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        None,
    ),
    "no length": (b"HTTP/1.1 200 OK\r\n\r\nok", b"ok"),
    "no HTTP": (b"garbage\r\n\r\n", None),
    "nothing": (b"", None),
}


# Guards against a reader of answers that takes something else for one. Stage calls and
# calls to the store are read by the same code.
@pytest.mark.parametrize(("data", "body"), ANSWERS.values(), ids=ANSWERS)
def test_what_is_an_answer_at_all(data, body):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        conn = TargetConn(await connect_tcp(HOST, port, 1.0))
        head = RequestHead(b"POST", b"/", [(b"Host", b"t")])
        try:
            if body is None:
                with pytest.raises((InvalidResponse, ConnectionError)):
                    await conn.call(head, b"x")
            else:
                assert (await conn.call(head, b"x")).body == body
                # What follows an answer that has no body is not the next answer.
                assert not (data.endswith(b"ok") and conn.prepare_reuse()) or (
                    b"Length: 2" in data and body
                )
        finally:
            conn.close()
            server.close()

    asyncio.run(main())
