"""Addresses of entries, and the order in which they get statuses."""

from collections.abc import Callable, Iterable, Iterator

__all__ = ["AddressBook"]

# An address that nobody has named for this long is forgotten.
FORGET_AFTER_S = 20.0
# Statuses sent in one round; other addresses get theirs in later rounds.
MAX_RECIPIENTS = 12


class AddressBook:
    """Addresses at which there may be entries.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._learned_at: dict[str, float] = {}
        self._offset = 0

    def __len__(self) -> int:
        return len(self._learned_at)

    def __iter__(self) -> Iterator[str]:
        return iter(self._learned_at)

    @property
    def rounds(self) -> int:
        """The number of rounds in which every address gets a status."""
        return -(-len(self._learned_at) // MAX_RECIPIENTS)

    def add(self, addresses: Iterable[str]) -> None:
        """Add addresses, or confirm known ones."""
        now = self._clock()
        self._learned_at.update((address, now) for address in addresses)

    def add_unconfirmed(self, addresses: Iterable[str]) -> None:
        """Add addresses that others name; it does not keep known ones."""
        now = self._clock()
        for address in addresses:
            self._learned_at.setdefault(address, now)

    def next_recipients(self, own: str) -> list[str]:
        """Return the addresses of the next round, without this entry's own."""
        addresses = sorted(self._learned_at.keys() - {own})
        if len(addresses) <= MAX_RECIPIENTS:
            return addresses
        self._offset += MAX_RECIPIENTS
        begin = self._offset % len(addresses)
        return (addresses + addresses)[begin : begin + MAX_RECIPIENTS]

    def expire(self) -> None:
        """Forget the addresses that were not confirmed for too long."""
        oldest = self._clock() - FORGET_AFTER_S
        for address, learned_at in tuple(self._learned_at.items()):
            if learned_at < oldest:
                del self._learned_at[address]
