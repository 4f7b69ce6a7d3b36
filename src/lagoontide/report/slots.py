"""Slots of monotonic time that grow coarser with age, in bounded memory."""

from collections import deque
from dataclasses import dataclass, field, replace

from lagoontide.report.window import Window

__all__ = ["Slot", "Slots", "TIERS", "Tier"]


@dataclass(frozen=True, slots=True)
class Tier:
    """So many slots of so many seconds each."""

    length: float
    slots: int


TIERS = (Tier(60.0, 10), Tier(600.0, 7), Tier(3600.0, 7))
"""Single minutes, tens of minutes for over an hour, hours for over six."""


@dataclass(slots=True)
class Slot:
    """What ended from ``start`` until before ``end``, in loop time.

    Attributes
    ----------
    shared : bool
        Whether a reader has its window, which is then copied before a change.
    """

    start: float
    end: float
    window: Window = field(default_factory=Window)
    shared: bool = False


class Slots:
    """The newest slot takes what ends now; old ones are merged, then dropped.

    Time only goes forward here: what comes with an earlier time is counted in
    the newest slot, so that a clock that jumps loses and doubles nothing.
    """

    def __init__(self, now: float) -> None:
        self.started = now
        self._tiers: tuple[deque[Slot], ...] = tuple(deque() for _ in TIERS)
        self._tiers[0].append(_open(now, TIERS[0]))

    def current(self, now: float) -> Window:
        """Return the window of the slot at ``now``."""
        newest = self._tiers[0][-1]
        if now >= newest.end:
            newest = _open(now, TIERS[0])
            self._tiers[0].append(newest)
            self._age(now)
        return newest.window

    def list(self, now: float) -> list[Slot]:
        """Return all slots that are kept, the newest first; none changes any more."""
        self.current(now)
        slots = [slot for tier in self._tiers for slot in reversed(tier)]
        for slot in slots:
            slot.shared = True
        newest, *older = slots
        frozen = replace(newest, window=_copy(newest.window))
        return [frozen, *(replace(slot) for slot in older)]

    def _age(self, now: float) -> None:
        """Move what is too old for its tier into the next one."""
        for number, tier in enumerate(TIERS):
            held = self._tiers[number]
            oldest = (now // tier.length - tier.slots + 1) * tier.length
            while held and held[0].start < oldest:
                slot = held.popleft()
                if number + 1 < len(TIERS):
                    self._put(number + 1, slot)

    def _put(self, number: int, slot: Slot) -> None:
        held = self._tiers[number]
        start = _open(slot.start, TIERS[number]).start
        if not held or held[-1].start != start:
            held.append(Slot(start, slot.end, slot.window, slot.shared))
            return
        if held[-1].shared:
            held[-1].window = _copy(held[-1].window)
            held[-1].shared = False
        held[-1].window.merge(slot.window)
        # Its end is that of what it holds, or windows would reach too far back.
        held[-1].end = slot.end


def _copy(window: Window) -> Window:
    copied = Window()
    copied.merge(window)
    return copied


def _open(now: float, tier: Tier) -> Slot:
    start = now // tier.length * tier.length
    return Slot(start, start + tier.length)
