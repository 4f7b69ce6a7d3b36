"""What a gateway needs of the platform that it runs on."""

from collections.abc import Callable
from dataclasses import dataclass

from lagoontide.forward.fields import FieldCodec
from lagoontide.gateway.store_view import Decoders
from lagoontide.pieces.records import PieceClient
from lagoontide.store.revision_store import RevisionStore
from lagoontide.targets.directory import Directory
from lagoontide.targets.endings import Endings
from lagoontide.targets.pools import Pools
from lagoontide.targets.rate_shares import RateShares

__all__ = ["Platform"]


@dataclass(frozen=True, slots=True)
class Platform:
    """The platform's store, protocol and decoders, as a gateway uses them.

    Attributes
    ----------
    field_codec : FieldCodec
        The platform's header fields.
    make_piece_client : callable
        Returns a client for stage targets that uses the given connection pools, rate
        limits, detection of ended targets and directory.
    ready_path : bytes
        Path of the balancer's readiness probe.
    """

    store: RevisionStore
    field_codec: FieldCodec
    decoders: Decoders
    make_piece_client: Callable[[Pools, RateShares, Endings, Directory], PieceClient]
    ready_path: bytes
