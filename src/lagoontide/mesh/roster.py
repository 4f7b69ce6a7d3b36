"""The live entries of a large fleet, as reported by hubs."""

from collections.abc import Callable

from lagoontide.mesh.messages import Member, Sums

__all__ = ["Roster"]

# Without confirmation from a hub for this long an entry ignores the roster and relies
# on the peers that it hears itself.
ROSTER_TTL_S = 2.0
# An entry missing from the lists for this long is lost. The list of a new hub may be
# incomplete at first.
MISSING_GRACE_S = 0.5


class Roster:
    """The list of live entries.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    digest : int
        Digest of the current list; 0 if there is none.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.digest = 0
        self._clock = clock
        self._members: dict[str, Member] = {}
        self._confirmed_at = -ROSTER_TTL_S
        self._missing_since: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._members)

    @property
    def is_fresh(self) -> bool:
        """Whether a hub has confirmed the list recently."""
        return bool(self._members) and self._clock() - self._confirmed_at < ROSTER_TTL_S

    def update(self, sums: Sums) -> list[str]:
        """Apply the list of a hub; return the names of entries that are now lost."""
        now = self._clock()
        if sums.roster is not None:
            members = {member.name: member for member in sums.roster}
            for name in self._members.keys() - members.keys():
                self._missing_since.setdefault(name, now)
            for name in self._missing_since.keys() & members.keys():
                del self._missing_since[name]
            self._members = members
            self.digest = sums.digest
        if sums.digest == self.digest:
            self._confirmed_at = now
        lost = [
            name
            for name, at in self._missing_since.items()
            if now - at > MISSING_GRACE_S
        ]
        for name in lost:
            del self._missing_since[name]
        return lost

    def get(self, name: str) -> Member | None:
        """Return the member with this name, or None."""
        return self._members.get(name)

    def accepting_work(self) -> list[str]:
        """Return the names of entries that accept work."""
        return [
            name for name, member in self._members.items() if not member.is_draining
        ]

    def draining(self) -> set[str]:
        """Return the names of entries that are draining."""
        return {name for name, member in self._members.items() if member.is_draining}
