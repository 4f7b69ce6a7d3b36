"""Isolation of pieces that may make stage targets crash."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from loguru import logger

from lagoontide.pieces.batch import PieceGroup

__all__ = ["CrashIsolation"]

# Two calls that crashed their targets, the second with pieces of this key alone, block
# it. It is tried again after this time, which doubles with each further crash.
CRASHES_TO_BLOCK = 2
PROBE_AFTER_S = 60.0
MAX_PROBE_AFTER_S = 1800.0
MAX_KEYS = 256


@dataclass(slots=True)
class _Suspect:
    crashes: int = 0
    last_crash_at: float = 0.0
    is_running: bool = False

    @property
    def probe_at(self) -> float:
        """Clock time from which pieces with the key may be made again."""
        if self.crashes < CRASHES_TO_BLOCK:
            return 0.0
        wait = PROBE_AFTER_S * 2.0 ** min(self.crashes - CRASHES_TO_BLOCK, 10)
        return self.last_crash_at + min(wait, MAX_PROBE_AFTER_S)


class CrashIsolation:
    """Decides which pieces are made together, and which are not made at all.

    Pieces whose call ended with a crash of its target are made alone from then on, and
    no more once another target has crashed on them alone. Their owner is the only
    caller of its targets, so that other entries need not know.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._suspects: dict[str, _Suspect] = {}

    def wait(self, key: str) -> float:
        """Return the seconds until pieces with a key may be made; 0 if they may."""
        suspect = self._suspects.get(key)
        return 0.0 if suspect is None else max(0.0, suspect.probe_at - self._clock())

    def select(self, ranked: Sequence[PieceGroup]) -> Sequence[PieceGroup]:
        """Return the groups that may be in the next call together, in their order."""
        if not self._suspects:
            return ranked
        suspect_groups = [
            group
            for group in ranked
            if (suspect := self._suspects.get(group.crash_key)) is not None
            and not suspect.is_running
        ]
        if suspect_groups and suspect_groups[0] is ranked[0]:
            return suspect_groups[:1]
        sound = [group for group in ranked if group.crash_key not in self._suspects]
        return sound or suspect_groups[:1]

    def begin(self, groups: Iterable[PieceGroup]) -> None:
        """Record that a call with pieces of some groups begins."""
        self._set_running(groups, True)

    def end(self, groups: Iterable[PieceGroup]) -> None:
        """Record that a call has ended, in whatever way."""
        self._set_running(groups, False)

    def record_success(self, groups: Iterable[PieceGroup]) -> None:
        """Record that a call with pieces of some groups was answered."""
        if self._suspects:
            for group in groups:
                if self._suspects.pop(group.crash_key, None) is not None:
                    logger.info("piece key {} is sound", group.crash_key)

    def record_crash(self, target: str, groups: Sequence[PieceGroup]) -> None:
        """Record that a call with pieces of some groups crashed its target."""
        for group in groups:
            suspect = self._suspects.setdefault(group.crash_key, _Suspect())
            # Together with others, a key that was not suspect yet is one of several.
            if suspect.crashes == 0 or len(groups) == 1:
                suspect.crashes += 1
            suspect.last_crash_at = self._clock()
            logger.bind(
                request=group.request_id,
                target=target,
                key=group.crash_key,
                crashes=suspect.crashes,
                groups=len(groups),
                wait=round(self.wait(group.crash_key), 1),
            ).warning("call broken off by the end of its target")
        while len(self._suspects) > MAX_KEYS:
            del self._suspects[min(self._suspects, key=self._rank)]

    def _rank(self, key: str) -> tuple[int, float]:
        return self._suspects[key].crashes, self._suspects[key].last_crash_at

    def _set_running(self, groups: Iterable[PieceGroup], is_running: bool) -> None:
        if self._suspects:
            for group in groups:
                if (suspect := self._suspects.get(group.crash_key)) is not None:
                    suspect.is_running = is_running
