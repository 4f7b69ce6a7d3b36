"""The entries that an agent has heard of."""

from dataclasses import dataclass

from lagoontide.membership.messages import Hello
from lagoontide.wire.server import Send

__all__ = ["PeerTable"]

MISSED = 2  # Heartbeats, after which an entry counts as gone.
FORGET = 10  # Such silences, after which it is forgotten.


@dataclass(slots=True)
class Peer:
    """One entry process.

    Attributes
    ----------
    send : callable
        Sends to its newest heartbeat's exchange.
    heard_at : float
        Loop time of its last message.
    silence : float
        Seconds without a message after which it counts as gone.
    """

    name: str
    incarnation: str
    send: Send
    heard_at: float
    silence: float

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

    def touch(self, name: str, now: float) -> None:
        """Take note that an entry has sent something."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.heard_at = now

    def hear(self, name: str, hello: Hello, send: Send, now: float) -> None:
        """Take note of a heartbeat and forget entries long silent."""
        silence = MISSED * hello.interval
        self._peers[name] = Peer(name, hello.incarnation, send, now, silence)
        old = [
            peer.name
            for peer in self._peers.values()
            if now - peer.heard_at > FORGET * peer.silence
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
        return now - peer.heard_at > peer.silence

    def sends(self) -> list[Send]:
        """Return how to reach each entry."""
        return [peer.send for peer in self._peers.values()]
