"""The targets of a stage service, as their owner knows them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

from lagoontide.pieces.batch import Domain
from lagoontide.routes.records import PieceWork
from lagoontide.targets.records import Target

__all__ = ["Maker", "Makers"]

SLOWNESS_WEIGHT = 0.5
# A maker this much slower than the median gets one call now and then only.
SLOW_RATIO = 1.8
PROBE_EVERY_S = 3.0
# Results of other owners are asked for anew after this time.
FOREIGN_S = 1.0
# A target that said it has no room is tried again after this time.
FULL_S = 0.15
REST_S = 0.15
MAX_REST_S = 2.0


@dataclass(frozen=True, slots=True)
class Result:
    """A result that lies at its maker.

    Attributes
    ----------
    size : float
        Bytes.
    peer : str
        The entry that it was made for.
    """

    size: float
    expires_at: float
    peer: str


@dataclass(slots=True)
class Maker:
    """A target of a stage service.

    Attributes
    ----------
    promised : float
        Bytes of results of the calls under way.
    results : dict of str to Result
        What lies there, by handle.
    foreign : float
        Bytes of results that are not known here, until ``foreign_until``.
    slowness : float
        Running mean of the time of its calls over the time expected.
    has_answered : bool
        Whether a call of this owner has ended; until then another owner's may be
        under way, and calls wait for its end.
    """

    target: Target
    calls: int = 0
    promised: float = 0.0
    results: dict[str, Result] = field(default_factory=dict)
    foreign: float = 0.0
    foreign_until: float = 0.0
    is_asked: bool = False
    slowness: float = 1.0
    has_answered: bool = False
    losses: int = 0
    rests_until: float = 0.0
    called_at: float = 0.0
    busy_until: float = 0.0

    def room(self, work: PieceWork, now: float) -> float:
        """Return the bytes that are left for results."""
        for handle, result in tuple(self.results.items()):
            if result.expires_at <= now:
                del self.results[handle]
        foreign = self.foreign if now < self.foreign_until else 0.0
        return work.room_bytes - self.promised - self.used() - foreign

    def used(self) -> float:
        """Return the bytes of the results that are known."""
        return sum(result.size for result in self.results.values())

    def note_room(self, work: PieceWork, free: float, now: float) -> None:
        """Take the target's own word on its room, for what others put there."""
        known = self.promised + self.used()
        self.foreign = max(0.0, work.room_bytes - free - known)
        self.foreign_until = now + min(work.kept_for, FOREIGN_S)

    def note_full(self, work: PieceWork, now: float) -> None:
        """Take the target's word that it has less room than is known here."""
        self.foreign = max(0.0, work.room_bytes - self.promised - self.used())
        self.foreign_until = now + FULL_S

    def note_time(self, ratio: float) -> None:
        """Take note of a call's time over the time expected."""
        self.losses = 0
        if not self.has_answered:
            self.has_answered = True
            return
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)

    def rest(self, now: float, has_failed: bool) -> None:
        """Leave it alone for a moment, longer after failures in a row."""
        self.losses += has_failed
        rest = min(REST_S * 2 ** max(0, self.losses - 1), MAX_REST_S)
        self.rests_until = now + rest


class Makers:
    """All targets of one stage service.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a steady clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._makers: dict[tuple[str, int], Maker] = {}
        self._ready: list[Maker] = []

    def update(self, targets: tuple[Target, ...]) -> None:
        """Take the targets that are ready now."""
        keys = {target.key for target in targets}
        for key in self._makers.keys() - keys:
            if not self._makers[key].calls:
                del self._makers[key]
        for target in targets:
            self._makers.setdefault(target.key, Maker(target))
        self._ready = [self._makers[target.key] for target in targets]

    def count(self) -> int:
        """Return how many makers there are."""
        return len(self._ready)

    def free(self, slots: int) -> list[Maker]:
        """Return the makers that can take a call, the fastest first."""
        now = self._clock()
        usual = self.usual_slowness()
        return sorted(
            (
                maker
                for maker in self._ready
                if maker.calls < slots
                and maker.rests_until <= now
                and (
                    maker.slowness <= SLOW_RATIO * usual
                    or now - maker.called_at > PROBE_EVERY_S
                )
            ),
            key=lambda maker: maker.slowness,
        )

    def domains(self, size: int) -> dict[str, Domain]:
        """Return the failure domains with makers that are neither slow nor resting.

        Parameters
        ----------
        size : int
            Pieces of one call.
        """
        now = self._clock()
        usual = self.usual_slowness()
        domains: dict[str, Domain] = {}
        for maker in self._ready:
            if maker.rests_until > now or maker.slowness > SLOW_RATIO * usual:
                continue
            name = maker.target.failure_domain
            free_at = max(now, maker.busy_until) if maker.calls else now
            known = domains.get(name, Domain(free_at, 0))
            domains[name] = Domain(min(known.free_at, free_at), known.size + size)
        return domains

    def usual_slowness(self) -> float:
        """Return the median slowness."""
        return median([maker.slowness for maker in self._ready] or [1.0])

    def ready(self) -> tuple[Maker, ...]:
        """Return the makers that are there now."""
        return tuple(self._ready)

    def by_address(self, address: str) -> Maker | None:
        """Return the maker at an address."""
        return next(
            (
                maker
                for maker in self._makers.values()
                if maker.target.address == address
            ),
            None,
        )
