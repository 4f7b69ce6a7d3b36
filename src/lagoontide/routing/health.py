"""Which targets are stragglers, and what an entry knows of each to tell it."""

import asyncio
import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from statistics import median_low

from lagoontide.scheduling.sketch import Quantile

__all__ = [
    "Health",
    "Standing",
    "Usual",
    "Verdict",
    "find_out_cap",
    "find_usual_silence",
    "find_usual_token_time",
    "judge",
]

# A target is put out when it is so many times as slow as its peers, ...
OUT_RATIO = 3.0
# ... and comes back when probes find it below this.
BACK_RATIO = 1.6
# Silence on running work, relative to the longest that is usual in its pool.
SILENCE_FACTOR = 3.0
LEAST_SILENCE_S = 0.06
# Share of a pool that may be out, so that a slow pool is not taken for stragglers.
OUT_SHARE = 0.34
PROBE_INTERVAL_S = 0.3
# Each probe that finds it slow doubles the interval up to this.
MAX_PROBE_INTERVAL_S = 2.4
PROBES_TO_RETURN = 2
MIN_GAPS = 20
RATIO_WEIGHT = 0.3
TOKEN_WEIGHT = 0.1
LEAST_TOKEN_S = 1e-4


class Standing(Enum):
    """Whether a target gets ordinary work."""

    IN = auto()
    OUT = auto()


class Verdict(Enum):
    """What to do with a target now."""

    KEEP = auto()
    PUT_OUT = auto()
    BRING_BACK = auto()


@dataclass(frozen=True, slots=True)
class Usual:
    """What is usual in a pool, in seconds; 0 if not known.

    Attributes
    ----------
    silence : float
        Time that running work is hardly ever without a sign.
    token_time : float
        Between two tokens of a generation.
    """

    silence: float
    token_time: float = 0.0


@dataclass(slots=True)
class Health:
    """What an entry knows of a target's speed.

    Attributes
    ----------
    ratio : float
        Its recent service times relative to those of its pool.
    progress_at : float
        Loop time of the last sign of running work.
    gaps : Quantile
        Seconds that its running work is hardly ever without a sign.
    outstanding : int
        Calls of this entry there that may be running.
    token_time : float
        Recent seconds between two tokens of a generation; 0 if not known.
    good_probes : int
        Probes in a row that found it as fast as its peers.
    watchers : set of Event
        Set when it is put out.
    """

    standing: Standing = Standing.IN
    ratio: float = 1.0
    progress_at: float = 0.0
    gaps: Quantile = field(default_factory=lambda: Quantile(0.98))
    outstanding: int = 0
    token_time: float = 0.0
    good_probes: int = 0
    probe_at: float = 0.0
    probe_interval: float = PROBE_INTERVAL_S
    watchers: set[asyncio.Event] = field(default_factory=set)

    def begin(self, now: float) -> None:
        """Count a call that was sent."""
        if not self.outstanding:
            self.progress_at = now
        self.outstanding += 1

    def end(self) -> None:
        """Count a call as ended."""
        self.outstanding -= 1

    def note_progress(self, now: float) -> None:
        """Take note of a sign of running work."""
        self.gaps.add(max(1e-6, self.silence(now)))
        self.progress_at = now

    def note_tokens(self, count: int, seconds: float) -> None:
        """Take in that a generation took so long for its next tokens."""
        sample = max(LEAST_TOKEN_S, seconds / max(1, count))
        old = self.token_time or sample
        self.token_time = old * (sample / old) ** TOKEN_WEIGHT

    def silence(self, now: float) -> float:
        """Return the seconds without a sign of the calls that are there."""
        return now - self.progress_at if self.outstanding else 0.0

    def note_ratio(self, ratio: float) -> None:
        """Take in one service time, relative to its pool's."""
        log = math.log(max(1e-3, ratio))
        old = math.log(self.ratio)
        self.ratio = math.exp(old + RATIO_WEIGHT * (log - old))
        if self.standing is Standing.OUT:
            is_good = ratio < BACK_RATIO
            self.good_probes = self.good_probes + 1 if is_good else 0
            if is_good:
                self.probe_interval = PROBE_INTERVAL_S

    def put_out(self, now: float) -> None:
        """Give it no more ordinary work."""
        self.standing = Standing.OUT
        self.good_probes = 0
        self.probe_interval = PROBE_INTERVAL_S
        self.probe_at = now + PROBE_INTERVAL_S
        for event in self.watchers:
            event.set()

    def bring_back(self) -> None:
        """Give it ordinary work again, as a peer like the others."""
        self.standing = Standing.IN
        self.ratio = 1.0
        self.token_time = 0.0

    def take_probe(self, now: float) -> bool:
        """Whether a probe is due; the next one is then due later."""
        if self.standing is Standing.IN or now < self.probe_at:
            return False
        self.probe_interval = min(MAX_PROBE_INTERVAL_S, 2 * self.probe_interval)
        self.probe_at = now + self.probe_interval
        return True


def judge(health: Health, usual: Usual, now: float) -> Verdict:
    """Return what to do with a target, beside what is usual in its pool."""
    if health.standing is Standing.OUT:
        enough = health.good_probes >= PROBES_TO_RETURN
        return Verdict.BRING_BACK if enough else Verdict.KEEP
    limit = max(LEAST_SILENCE_S, SILENCE_FACTOR * usual.silence)
    is_silent = usual.silence > 0 and health.silence(now) > limit
    drags = 0 < usual.token_time * OUT_RATIO < health.token_time
    if is_silent or drags or health.ratio > OUT_RATIO:
        return Verdict.PUT_OUT
    return Verdict.KEEP


def find_usual_silence(pool: Sequence[Health]) -> float:
    """Return the usual longest silence in a pool in seconds; 0 if not known."""
    known = [x.gaps.value for x in pool if x.gaps.count >= MIN_GAPS]
    return median_low(known) if known else 0.0


def find_usual_token_time(pool: Sequence[Health]) -> float:
    """Return the usual time between tokens in a pool in seconds; 0 if not known."""
    known = [x.token_time for x in pool if x.token_time]
    return median_low(known) if known else 0.0


def find_out_cap(pool: Sequence[Health]) -> int:
    """Return how many more targets of a pool may be put out."""
    out = sum(item.standing is Standing.OUT for item in pool)
    most = max(1, int(OUT_SHARE * len(pool))) if len(pool) > 1 else 0
    return max(0, most - out)
