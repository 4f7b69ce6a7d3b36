"""Incremental splitting of an event stream into events."""

import re
from dataclasses import dataclass

__all__ = ["Event", "EventSplitter"]

# WHATWG HTML, 9.2: a blank line ends an event; lines end with LF, CR or CRLF.
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
CONTENT_LINE = re.compile(rb"^(?:id|data|event)\b", re.MULTILINE)
ID_LINE = re.compile(rb"^id:[ ]?(\d+)[ ]*\r?$", re.MULTILINE)
MAX_EVENT_END_BYTES = 4
MAX_EVENT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Event:
    """A complete event, including the blank line that ends it.

    Attributes
    ----------
    id : int or None
        The number in its ``id`` line, if it has one.
    has_content : bool
        Whether it has an ``id``, ``data`` or ``event`` line, not only comments.
    """

    data: bytes
    id: int | None
    has_content: bool = True


class EventSplitter:
    """Splits a byte stream into complete events and buffers the incomplete rest."""

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._partial)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that these bytes complete.

        Raises
        ------
        ValueError
            If an event exceeds ``MAX_EVENT_BYTES``.
        """
        text = self._partial + data
        events = []
        begin = 0
        # The buffered bytes hold no complete separator, at most the start of one.
        search_from = max(0, len(self._partial) - MAX_EVENT_END_BYTES + 1)
        for end in EVENT_END.finditer(text, search_from):
            events.append(_make_event(text[begin : end.end()]))
            begin = end.end()
        self._partial = text[begin:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events


def _make_event(data: bytes) -> Event:
    id_match = ID_LINE.search(data)
    number = int(id_match[1]) if id_match else None
    return Event(data, number, CONTENT_LINE.search(data) is not None)
