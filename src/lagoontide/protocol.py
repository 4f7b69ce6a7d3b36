"""Codec of all messages that processes of this system exchange."""

from lagoontide.claims.messages import MESSAGES as CLAIMS
from lagoontide.dispatch.messages import MESSAGES as DISPATCH
from lagoontide.membership.messages import MESSAGES as MEMBERSHIP
from lagoontide.spreading.messages import MESSAGES as SPREADING
from lagoontide.wire.codec import Codec, make_codec

__all__ = ["make_protocol_codec"]


def make_protocol_codec() -> Codec:
    """Return a codec for the messages of every package."""
    return make_codec(CLAIMS, DISPATCH, MEMBERSHIP, SPREADING)
