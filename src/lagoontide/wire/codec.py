"""Encoding of typed messages as msgpack, checked when they are decoded."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Union

import msgspec

from lagoontide.errors import WireError

__all__ = ["Codec", "Header", "Tally", "make_codec"]


class Header(msgspec.Struct, frozen=True, array_like=True):
    """What travels with every message.

    Attributes
    ----------
    sender : str
        Name of the sending process.
    exchange : int
        Number that ties replies to the message they answer.
    version : int
        Configuration version that the sender has in force.
    """

    sender: str
    exchange: int
    version: int


@dataclass(slots=True)
class Tally:
    """Messages of a type, and their size in bytes of frames."""

    messages: int = 0
    size: int = 0

    def add(self, frames: list[bytes]) -> None:
        """Count one message."""
        self.messages += 1
        self.size += sum(map(len, frames))


class Codec:
    """Encodes and decodes headers and one closed set of message types.

    Attributes
    ----------
    sent, received : dict of str to Tally
        Traffic by the name of the message type.
    """

    def __init__(self, types: tuple[type, ...]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._header = msgspec.msgpack.Decoder(Header)
        self._message: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
            Union[types]  # noqa: UP007 - built from a tuple at run time
        )
        self.sent: dict[str, Tally] = defaultdict(Tally)
        self.received: dict[str, Tally] = defaultdict(Tally)

    def encode(self, header: Header, message: msgspec.Struct) -> list[bytes]:
        """Return the frames of one message."""
        frames = [self._encoder.encode(header), self._encoder.encode(message)]
        self.sent[type(message).__name__].add(frames)
        return frames

    def decode(self, frames: list[bytes]) -> tuple[Header, msgspec.Struct]:
        """Return header and message of the frames.

        Raises
        ------
        WireError
            If the frames are not a message of this codec.
        """
        if len(frames) != 2:
            raise WireError(f"expected 2 frames, got {len(frames)}", step="decode")
        try:
            header = self._header.decode(frames[0])
            message = self._message.decode(frames[1])
        except (msgspec.DecodeError, RecursionError) as exc:
            raise WireError(f"cannot decode message: {exc}", step="decode") from exc
        self.received[type(message).__name__].add(frames)
        return header, message


def make_codec(*groups: Iterable[type]) -> Codec:
    """Return a codec for the message types of several slices."""
    return Codec(tuple(kind for group in groups for kind in group))
