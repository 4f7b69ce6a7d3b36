"""Events of a stream, cut out of its bytes."""

import re
from dataclasses import dataclass

__all__ = ["Event", "EventSplitter"]

# WHATWG HTML, 9.2: a blank line ends an event; lines end by LF, CR or both.
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
CONTENT_LINE = re.compile(rb"^(?:id|data|event)\b", re.MULTILINE)
ID_LINE = re.compile(rb"^id:[ ]?(\d+)[ ]*\r?$", re.MULTILINE)
LONGEST_END = 4
MAX_EVENT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Event:
    """A whole event with the blank line that ends it.

    Attributes
    ----------
    id : int or None
        Its number in the stream, if it says one.
    has_content : bool
        Whether it is more than comments and blank lines.
    """

    data: bytes
    id: int | None
    has_content: bool = True


class EventSplitter:
    """Takes bytes and gives whole events; what is not whole is kept back."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether there are bytes of an event that has not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that end in these bytes; raises ValueError if too long."""
        text = self._rest + data
        events = []
        begin = 0
        # What was kept back has no end of an event, at most the start of one.
        searched = max(0, len(self._rest) - LONGEST_END + 1)
        for end in EVENT_END.finditer(text, searched):
            events.append(_make_event(text[begin : end.end()]))
            begin = end.end()
        self._rest = text[begin:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event over {MAX_EVENT_BYTES} bytes")
        return events


def _make_event(data: bytes) -> Event:
    found = ID_LINE.search(data)
    number = int(found[1]) if found else None
    return Event(data, number, CONTENT_LINE.search(data) is not None)
