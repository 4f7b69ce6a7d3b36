"""What a partition of claims keeps in the store and in its owner's memory."""

from collections import deque
from collections.abc import Iterable

import msgspec

from lagoontide.decoding import decode_nested

__all__ = ["Head", "OwnerRecord", "Row", "RowTable", "decode_rows", "encode_rows"]


class Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A request took a key, or gave it back.

    Rows only add to each other, so that their order does not matter: a key is
    held by the request that took it and did not give it back.
    """

    key: bytes
    request: bytes
    digest: int
    released: bool = False


class Head(msgspec.Struct, frozen=True, array_like=True):
    """Newest rows of a partition; written anew with each commit.

    Attributes
    ----------
    writer : str
        Unique for each time that an entry takes the partition over.
    number : int
        Of the commit.
    generation : int
        Rises when rows move from the head to a segment.
    rows : list of Row
        Those that are in no segment yet.
    """

    writer: str
    number: int
    generation: int
    rows: list[Row]


class OwnerRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who has the partition, as long as the lease holds."""

    address: str
    writer: str


_decoder = msgspec.msgpack.Decoder(list[Row])


def encode_rows(rows: list[Row]) -> bytes:
    """Return the value of a segment."""
    return msgspec.msgpack.encode(rows)


def decode_rows(value: bytes) -> list[Row]:
    """Return the rows of a segment; raises msgspec.DecodeError."""
    return decode_nested(_decoder, value)


class RowTable:
    """Committed rows by key, let go of after their retention.

    Parameters
    ----------
    retention : float
        Seconds that a row is kept at least.
    """

    def __init__(self, retention: float) -> None:
        self._retention = retention
        self._holders: dict[bytes, Row] = {}
        self._released: set[bytes] = set()
        self._ages: deque[tuple[float, list[Row]]] = deque()

    def __len__(self) -> int:
        return len(self._holders)

    def find(self, key: bytes) -> Row | None:
        """Return the row of the request that holds a key."""
        return self._holders.get(key)

    def is_released(self, request: bytes) -> bool:
        """Whether a request gave its key back."""
        return request in self._released

    def add(self, rows: Iterable[Row], now: float) -> None:
        """Take committed rows in."""
        rows = list(rows)
        self._released.update(row.request for row in rows if row.released)
        for row in rows:
            if row.released:
                self._drop(row.key, row.request)
            elif row.request not in self._released:
                self._holders[row.key] = row
        self._ages.append((now, rows))

    def expire(self, now: float) -> None:
        """Let go of rows past their retention."""
        while self._ages and now - self._ages[0][0] > self._retention:
            for row in self._ages.popleft()[1]:
                self._drop(row.key, row.request)
                if row.released:
                    self._released.discard(row.request)

    def _drop(self, key: bytes, request: bytes) -> None:
        held = self._holders.get(key)
        if held is not None and held.request == request:
            del self._holders[key]
