from hypothesis import given, strategies as st

from lagoontide.forward.events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: some text %d\n\n" % (n, n) for n in range(1, 6))


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_chunk_boundaries(cuts):
    places = [0, *sorted(cuts), len(STREAM)]
    splitter = EventSplitter()
    events = [
        event
        for begin, end in zip(places, places[1:], strict=False)
        for event in splitter.feed(STREAM[begin:end])
    ]
    assert [event.id for event in events] == [1, 2, 3, 4, 5]
    assert b"".join(event.data for event in events) == STREAM
    assert not splitter.has_partial_event


def test_incomplete_event_is_buffered():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")[0].id == 1
    assert splitter.has_partial_event


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_split_without_loss(data):
    splitter = EventSplitter()
    events = splitter.feed(data)
    assert data.startswith(b"".join(event.data for event in events))
