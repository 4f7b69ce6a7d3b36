"""Asking one peer for what it has newer."""

from lagoontide.errors import PeerError
from lagoontide.spreading.copies import Copies
from lagoontide.spreading.messages import Changes, Compare, Fetch, Offer, Piece, State
from lagoontide.wire.conn import Conn

__all__ = ["compare", "fetch"]

ANSWER_S = 1.0


async def compare(conn: Conn, copies: Copies, age: float) -> State | Changes | Offer:
    """Ask a peer what it holds and take from it what is newer; return its answer.

    Raises
    ------
    PeerError
        If the peer does not answer or what it sends is not whole.
    """
    held = copies.copy
    answer = await conn.ask(Compare(held.version, held.digest, age), ANSWER_S)
    match answer:
        case Changes(steps=steps) if not copies.take_steps(steps):
            if steps and steps[-1].version > copies.version:
                raise PeerError("steps do not fit", step="spreading", peer=conn.peer)
        case Offer() if answer.version > copies.version:
            await fetch(conn, copies, answer)
        case State() | Changes() | Offer():
            pass
        case _:
            raise PeerError(
                f"unexpected {answer!r:.80}", step="spreading", peer=conn.peer
            )
    return answer


async def fetch(conn: Conn, copies: Copies, offer: Offer) -> None:
    """Fetch a version in pieces, one after the other, and adopt it if whole.

    Raises
    ------
    PeerError
        If a piece does not come or the whole has another digest.
    """
    parts: list[bytes] = []
    size = 0
    while size < offer.size:
        piece = await conn.ask(Fetch(offer.version, size), ANSWER_S)
        match piece:
            case Piece(version=offer.version, offset=offset, data=data) if (
                offset == size and data
            ):
                parts.append(data)
                size += len(data)
            case _:
                raise PeerError(
                    f"no piece of version {offer.version} at byte {size}",
                    step="spreading",
                    peer=conn.peer,
                )
    if offer.version <= copies.version:
        return
    if not copies.take(offer.version, b"".join(parts), offer.digest):
        raise PeerError(
            f"version {offer.version} was refused", step="spreading", peer=conn.peer
        )
