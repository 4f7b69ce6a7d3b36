"""Who is there in a large fleet, as hubs tell."""

from collections.abc import Callable

from lagoontide.mesh.messages import Member, Sums

__all__ = ["Roster"]

# Without a hub's word for this long an entry is on its own.
FRESH_S = 2.0
# An entry that no list names for this long is lost; a new hub's list may lack some.
LOST_S = 0.5


class Roster:
    """The live entries.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a steady clock.

    Attributes
    ----------
    digest : int
        Of the list that is known; 0 for none.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.digest = 0
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._heard_at = -FRESH_S
        self._missing: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._members)

    @property
    def is_fresh(self) -> bool:
        """Whether a hub has told of it lately."""
        return bool(self._members) and self._clock() - self._heard_at < FRESH_S

    def take(self, sums: Sums) -> list[str]:
        """Take a hub's word; return the entries that are lost by it."""
        now = self._clock()
        if sums.roster is not None:
            members = {member.name: member for member in sums.roster}
            for name in self._members.keys() - members.keys():
                self._missing.setdefault(name, now)
            for name in self._missing.keys() & members.keys():
                del self._missing[name]
            self._members = members
            self.digest = sums.digest
        if sums.digest == self.digest:
            self._heard_at = now
        lost = [name for name, at in self._missing.items() if now - at > LOST_S]
        for name in lost:
            del self._missing[name]
        return lost

    def get(self, name: str) -> Member | None:
        """Return what is known of an entry."""
        return self._members.get(name)

    def working(self) -> list[str]:
        """Return the entries that take work."""
        return [name for name, member in self._members.items() if not member.is_leaving]

    def leaving(self) -> set[str]:
        """Return the entries that are about to stop."""
        return {name for name, member in self._members.items() if member.is_leaving}
