"""Decoding of values that other processes wrote: bounded types and one error."""

import contextlib
from collections.abc import Iterator
from typing import Annotated, Generic, Protocol, TypeVar

import msgspec
from msgspec import Meta

from lagoontide.errors import WireError

__all__ = [
    "CoreCount",
    "HostPort",
    "Int64",
    "JsonDecoder",
    "Number",
    "decode_nested",
    "wire_errors",
]

# What these types accept can be encoded again, as JSON and as msgpack, and calculated
# with; without bounds a decoder also accepts longer integers, NaN and infinity.
Int64 = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
Number = Annotated[float, Meta(ge=-1e15, le=1e15)]
CoreCount = Annotated[float, Meta(gt=0.0, le=1e6)]

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = (
    "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    "|[1-9][0-9]{0,3})"
)
# An IPv4 address and a port to connect to.
HostPort = Annotated[
    str, Meta(pattern=rf"\A{_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z", max_length=21)
]

# Bytes of a value that an error quotes.
MAX_QUOTED_BYTES = 80

Decoded = TypeVar("Decoded")
Decoded_co = TypeVar("Decoded_co", covariant=True)


@contextlib.contextmanager
def wire_errors(what: str, value: bytes, step: str) -> Iterator[None]:
    """Raise WireError for whatever decoding and converting a value may raise.

    Parameters
    ----------
    what : str
        What the value stands for.
    value : bytes
        Its first bytes are quoted.
    step : str
        The operation in progress.
    """
    try:
        yield
    except (
        msgspec.MsgspecError,
        # Nested too deeply.
        RecursionError,
        ValueError,
        ArithmeticError,
        LookupError,
        TypeError,
        AttributeError,
    ) as exc:
        raise WireError(
            f"invalid {what}: {exc!r:.200} in {value[:MAX_QUOTED_BYTES]!r}", step=step
        ) from exc


class _Decoder(Protocol[Decoded_co]):
    """A decoder of msgspec."""

    def decode(self, buf: bytes, /) -> Decoded_co:
        """Return the value; raises msgspec.DecodeError or RecursionError."""


def decode_nested(decoder: _Decoder[Decoded], value: bytes) -> Decoded:
    """Decode a value; raises msgspec.DecodeError also if it is nested too deeply."""
    try:
        return decoder.decode(value)
    except RecursionError as exc:
        raise msgspec.DecodeError("nested too deeply") from exc


class JsonDecoder(Generic[Decoded]):
    """Decodes JSON values of one type; any value that is not valid is a WireError.

    Parameters
    ----------
    kind : type
        The type of the values. Its numbers have to be bounded.
    what, step : str
        See ``wire_errors``.
    """

    def __init__(
        self, kind: type[Decoded], what: str, step: str, strict: bool = True
    ) -> None:
        self._decoder = msgspec.json.Decoder(kind, strict=strict)
        self._what = what
        self._step = step

    def decode(self, value: bytes | msgspec.Raw) -> Decoded:
        """Return the decoded value; raises WireError."""
        try:
            return self._decoder.decode(value)
        except (msgspec.MsgspecError, RecursionError, ValueError) as exc:
            raise WireError(
                f"invalid {self._what}: {exc!r:.200} in "
                f"{bytes(value)[:MAX_QUOTED_BYTES]!r}",
                step=self._step,
            ) from exc
