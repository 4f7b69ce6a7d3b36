"""The messages that the system's own processes exchange, of all slices."""

from lagoontide.claims.messages import MESSAGES as CLAIMS
from lagoontide.dispatch.messages import MESSAGES as DISPATCH
from lagoontide.membership.messages import MESSAGES as MEMBERSHIP
from lagoontide.spreading.messages import MESSAGES as SPREADING
from lagoontide.wire.codec import Codec, make_codec

__all__ = ["make_protocol"]


def make_protocol() -> Codec:
    """Return the codec of the system."""
    return make_codec(CLAIMS, DISPATCH, MEMBERSHIP, SPREADING)
