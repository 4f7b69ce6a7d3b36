"""Records of crashes, and what follows from them for a request."""

from dataclasses import dataclass

import msgspec

from lagoontide.decoding import Int64, Number

__all__ = [
    "MAX_REPORT_KEYS",
    "REQUEST_KEY_PREFIX",
    "Block",
    "Clear",
    "CrashReport",
    "Quarantined",
    "Suspect",
    "Verdict",
]

MAX_REPORT_KEYS = 24
# Of keys that stand for a whole request; only its repeats have the same one.
REQUEST_KEY_PREFIX = "request:"
# A blocked combination is tried again after this time; it doubles with each crash.
PROBE_AFTER_S = 60.0
MAX_PROBE_AFTER_S = 1800.0


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A request that the crash of a target broke off.

    Attributes
    ----------
    target, born : str, int
        Id and start time of the target.
    keys : tuple of str
        Properties of the request that may have caused the crash, sorted.
    cleared : tuple of str
        The keys with which other requests have been completed since, or just before.
    is_trial : bool
        Whether it was the only suspect request at the target.
    age : float
        Seconds since the crash.
    """

    target: str
    born: Int64
    keys: tuple[str, ...]
    cleared: tuple[str, ...] = ()
    is_trial: bool = False
    age: Number = 0.0


@dataclass(frozen=True, slots=True)
class Block:
    """A combination of keys that no request may have, until its next probe.

    Attributes
    ----------
    targets : tuple of tuple
        Id and start time of the targets that crashed.
    last_crash_at : float
        Clock time of the last of these crashes.
    """

    keys: frozenset[str]
    targets: tuple[tuple[str, int], ...]
    last_crash_at: float

    @property
    def probe_at(self) -> float:
        """Clock time from which one request may be tried again."""
        doublings = max(0, len(self.targets) - 2)
        wait = min(PROBE_AFTER_S * 2.0 ** min(doublings, 10), MAX_PROBE_AFTER_S)
        return self.last_crash_at + wait


@dataclass(frozen=True, slots=True)
class Clear:
    """Nothing speaks against a request."""


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request may make its target crash, and should run as a trial.

    Attributes
    ----------
    keys : frozenset of str
        The keys under suspicion.
    is_repeated : bool
        Whether two targets or more have crashed under requests with one of them, so
        that it runs only as a trial.
    """

    keys: frozenset[str]
    is_repeated: bool = False


@dataclass(frozen=True, slots=True)
class Quarantined:
    """A request must not run.

    Attributes
    ----------
    wait : float
        Seconds until a request with these keys may be tried again.
    """

    block: Block
    wait: float


Verdict = Clear | Suspect | Quarantined
