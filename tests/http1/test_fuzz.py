"""Fuzz tests of the HTTP response and event stream parsers.

    FUZZ_EXAMPLES=100000 pytest tests/http1/test_fuzz.py

runs more examples than CI does.
"""

import asyncio
import os

from hypothesis import HealthCheck, example, given, settings, strategies as st

from lagoontide.forward.events import EventSplitter
from lagoontide.http1.client import InvalidResponse, TargetConn
from lagoontide.http1.messages import RequestHead

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "300"))
MAX_BODY_BYTES = 4096
REQUEST = RequestHead(b"GET", b"/", [(b"Host", b"a")])
CHECKS = settings(
    max_examples=EXAMPLES, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)

FRAGMENTS = st.sampled_from(
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
        b"HTTP/1.1 503 Full\r\n",
        b"HTTP/1.0 200\r\n",
        b"Content-Length: 4\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: 99999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Connection: close\r\n",
        b"Keep-Alive: timeout=5\r\n",
        b"X-Lagoontide-Request-Id: r\r\n",
        b"\r\n",
        b"4\r\nbody\r\n",
        b"0\r\n\r\n",
        b"ffffffff\r\n",
        b"body",
        b"\n",
        b"\x00\xff",
    ]
)
RESPONSES = st.lists(FRAGMENTS | st.binary(max_size=12), max_size=14).map(b"".join)


class FakeTcpConn:
    """A fake connection that receives the given chunks and then EOF."""

    transport = None
    is_lost = has_unread = False

    def __init__(self, pieces):
        self.pieces = list(pieces)

    async def write(self, data):
        pass

    async def read(self):
        return self.pieces.pop(0) if self.pieces else b""


def cut(data, places):
    edges = [0, *sorted(place % (len(data) + 1) for place in places), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if a < b]


@CHECKS
@given(RESPONSES, st.lists(st.integers(0, 400), max_size=5))
@example(b"HTTP/1.1 103 E\r\n\r\n" * 40, [])
@example(b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + b"a" * 9999, [])
def test_response_is_complete_or_an_error(data, places):
    async def main():
        conn = TargetConn(FakeTcpConn(cut(data, places)))
        try:
            answer = await conn.call(REQUEST, max_bytes=MAX_BODY_BYTES)
        except (InvalidResponse, ConnectionError):
            return
        assert 200 <= answer.status <= 999
        assert len(answer.body) <= MAX_BODY_BYTES

    asyncio.run(main())


@CHECKS
@given(
    st.lists(
        st.sampled_from([b"id: 1\n", b"data: a\n", b": c\n", b"\n", b"\r\n", b"\r"])
        | st.binary(max_size=4),
        max_size=20,
    ).map(b"".join),
    st.lists(st.integers(0, 200), max_size=6),
)
def test_events_do_not_depend_on_chunk_boundaries(data, places):
    pieces = cut(data, places)
    whole, parts = EventSplitter(), EventSplitter()
    expected = whole.feed(data)
    found = [event for piece in pieces for event in parts.feed(piece)]
    joined = b"".join(event.data for event in expected)
    # A CR at the end of a chunk may be the first half of a CRLF, so the last event may
    # still be pending; no byte is lost.
    assert b"".join(event.data for event in found) in (joined, data[: len(joined)])
    if b"\r" not in data:
        assert found == expected
