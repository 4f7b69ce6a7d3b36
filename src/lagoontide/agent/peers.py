"""The entries that an agent has heard of."""

from dataclasses import dataclass

from lagoontide.wire.server import Send

__all__ = ["PeerTable"]

SILENCE_S = 3.0
FORGET_S = 60.0


@dataclass(slots=True)
class Peer:
    """One entry process.

    Attributes
    ----------
    send : callable
        Sends to its newest heartbeat's exchange.
    heard_at : float
        Loop time of that heartbeat.
    """

    name: str
    incarnation: str
    send: Send
    heard_at: float

    @property
    def owner(self) -> str:
        """Name of the process, unlike that of a later one of the same name."""
        return f"{self.name}/{self.incarnation}"


class PeerTable:
    """Entries by name; one that is silent or replaced counts as gone."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def hear(self, name: str, incarnation: str, send: Send, now: float) -> None:
        """Take note of a heartbeat and forget entries long silent."""
        self._peers[name] = Peer(name, incarnation, send, now)
        old = [
            peer.name for peer in self._peers.values() if now - peer.heard_at > FORGET_S
        ]
        for item in old:
            del self._peers[item]

    def owner(self, name: str) -> str:
        """Return the process behind a name; empty if it sent no heartbeat."""
        peer = self._peers.get(name)
        return peer.owner if peer is not None else ""

    def is_gone(self, owner: str, now: float) -> bool:
        """Whether nobody waits for the work of a process any more."""
        if not owner:
            return False
        peer = self._peers.get(owner.rpartition("/")[0])
        if peer is None or peer.owner != owner:
            return True
        return now - peer.heard_at > SILENCE_S

    def sends(self) -> list[Send]:
        """Return how to reach each entry."""
        return [peer.send for peer in self._peers.values()]
