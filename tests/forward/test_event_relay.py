"""Events of a stream reach the caller alike, however they arrive."""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given, settings, strategies as st

from lagoontide.forward.event_relay import EventRelay, Progress, StreamInterrupted
from lagoontide.forward.events import EventSplitter
from lagoontide.http1.messages import ResponseHead


class Reply:
    """Collects what the caller gets."""

    def __init__(self):
        self.data = b""
        self.is_finished = False

    async def start(self, head):
        pass

    async def send_data(self, data):
        self.data += data

    async def finish(self):
        self.is_finished = True


def ignore(*args):
    pass


def relay(chunks, last_event_id=None, longest_step=None):
    """Relay a body in chunks; return the reply, the error and the last id."""

    async def body():
        for chunk in chunks:
            yield chunk

    async def main():
        response = SimpleNamespace(
            metadata=SimpleNamespace(is_sealed=True, is_encoded=False),
            body=body,
            head=ResponseHead(200, []),
            target=SimpleNamespace(id="t"),
            sent_at=0.0,
            close=lambda is_complete: None,
        )
        call = SimpleNamespace(
            record_step=ignore, can_retry=lambda after: False, has_begun=False
        )
        inputs = SimpleNamespace(record_target_time=ignore, release=lambda: None)
        timer = SimpleNamespace(stop=lambda: None, start=ignore)
        reply = Reply()
        progress = Progress(last_event_id, longest_step=longest_step)
        events = EventRelay(
            call, response, reply, progress, inputs, timer, lambda: None
        )
        try:
            await events.run()
        except StreamInterrupted as exc:
            return reply, str(exc), progress.last_event_id
        return reply, "", progress.last_event_id

    return asyncio.run(main())


def event(number):
    return b"id: %d\ndata: a\n\n" % number


# Guards against streams that are reset as two of their events arrive in one read.
@pytest.mark.parametrize("last", [None, 0, 3])
def test_events_in_one_read_are_no_gap(last):
    first = (last or 0) + 1
    text = b"".join(event(number) for number in range(first, first + 5))
    reply, error, last_id = relay([event(first), text], last)
    assert (error, reply.data, last_id) == ("", text, first + 4)
    assert reply.is_finished


# Guards against streams that are cut as their ids increase by more than one (LOST).
@pytest.mark.parametrize("in_one_read", [False, True])
@pytest.mark.parametrize("ids", [(4, 8, 12), (1, 2, 4, 5), (0, 10**14), (7,)])
def test_ids_of_one_response_increase_by_any_step(ids, in_one_read):
    text = b"".join(map(event, ids))
    reply, error, last_id = relay([text] if in_one_read else map(event, ids))
    assert (error, reply.data, last_id) == ("", text, ids[-1])
    assert reply.is_finished


# Guards against a stream that lacks events where another target goes on (ORDER).
@pytest.mark.parametrize("in_one_read", [False, True])
@pytest.mark.parametrize(
    ("last", "step", "first", "is_whole"),
    [
        (2, 1, 3, True),
        (2, 1, 4, False),
        (8, 4, 12, True),
        (8, 4, 11, True),
        (8, 4, 13, False),
        (8, None, 12, True),
    ],
)
def test_another_target_goes_on_within_the_longest_step(
    last, step, first, is_whole, in_one_read
):
    sent = [b"data: a\n\n", event(first), event(first + 50)]
    chunks = [b"".join(sent)] if in_one_read else sent
    reply, error, last_id = relay(chunks, last, step)
    assert (error == "", reply.is_finished) == (is_whole, is_whole)
    assert reply.data == b"".join(sent if is_whole else sent[:1])
    assert last_id == (first + 50 if is_whole else last)


# Guards against events that another target repeats.
def test_events_that_the_caller_has_are_left_out():
    sent = [event(number) for number in (0, 4, 8, 12)]
    reply, error, last_id = relay(sent, 8, 4)
    assert (error, reply.data, last_id) == ("", event(12), 12)


def with_content(data):
    """Return the events but for comments, which do not begin a response."""
    return [item.data for item in EventSplitter().feed(data) if item.has_content]


PART = (
    st.integers(0, 6).map(event)
    | st.sampled_from([b": there\n\n", b"data: b\n\n", b"id: 2\r\ndata: c\r\n\r\n"])
    | st.sampled_from([b"id: 3\nda", b"\n\n"])
)


# Guards against an outcome that depends on where the network splits the bytes.
@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(PART, max_size=6),
    st.sets(st.integers(1, 100), max_size=8),
    st.none() | st.integers(0, 3),
)
def test_outcome_does_not_depend_on_the_reads(parts, cuts, last):
    text = b"".join(parts)
    places = [0, *sorted(cut for cut in cuts if cut < len(text)), len(text)]
    pieces = [text[a:b] for a, b in zip(places, places[1:], strict=False)]
    bytewise = [text[place : place + 1] for place in range(len(text))]
    outcomes = [
        (with_content(reply.data), error, last_id, reply.is_finished)
        for reply, error, last_id in (
            relay([text], last),
            relay(pieces, last),
            relay(bytewise, last),
        )
    ]
    assert outcomes[0] == outcomes[1] == outcomes[2]
