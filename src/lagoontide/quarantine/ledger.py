"""Evidence on requests that make targets crash, merged from all entries.

A request that was running when its target crashed may have caused it. Its keys are
suspects until a request with them is completed, at any entry. A request with a suspect
key runs as a trial: one in the whole fleet, alone among trials at its target. If that
target crashes as well, the keys that both requests have in common are blocked. What ran
on one crashed target only is run without a trial rather than withheld, as most of it is
sound.
"""

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from itertools import combinations

from loguru import logger

from lagoontide.quarantine.records import (
    MAX_REPORT_KEYS,
    REQUEST_KEY_PREFIX,
    Block,
    Clear,
    CrashReport,
    Quarantined,
    Suspect,
    Verdict,
)
from lagoontide.targets.records import Target

__all__ = ["Ledger"]

MAX_RECORDS = 48
RECORD_TTL_S = 3600.0
# Keys that were completed this shortly before a crash did not cause it.
COMPLETED_BEFORE_S = 10.0
MAX_COMPLETED_KEYS = 4096
# Without trials, as between entries that cannot reach each other, a key is blocked
# after this many crashes that lie at least this far apart.
MIN_SEPARATE_CRASHES = 3
SEPARATION_S = 2.0
# What has changed is sent to peers for this time, so that each hears of it more than
# once; all records are sent at this mean interval, for peers that did not.
RESEND_S = 1.0
FULL_REPORT_INTERVAL_S = 10.0


@dataclass(slots=True)
class _Record:
    target: tuple[str, int]
    keys: tuple[str, ...]
    at: float
    is_trial: bool
    changed_at: float
    cleared: set[str] = field(default_factory=set)

    @property
    def open(self) -> frozenset[str]:
        """The keys that may have caused the crash."""
        return frozenset(self.keys) - self.cleared


class Ledger:
    """The crashes that this entry knows of, and the verdicts that follow.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[tuple[tuple[str, int], tuple[str, ...]], _Record] = {}
        self._completed: dict[str, float] = {}
        self._full_report_at = 0.0
        # Derived from the records when they change.
        self._open: frozenset[str] = frozenset()
        self._suspects: frozenset[str] = frozenset()
        # Suspects of the crashes of two targets or more.
        self._repeated: frozenset[str] = frozenset()
        self._blocks: tuple[Block, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no crash is on record."""
        return not self._records

    @property
    def suspects(self) -> frozenset[str]:
        """All keys that may have caused a crash."""
        return self._suspects

    @property
    def blocks(self) -> tuple[Block, ...]:
        """The combinations of keys that are blocked, those due for a probe included."""
        return self._blocks

    def verdict(self, keys: Collection[str]) -> Verdict:
        """Return whether a request with these keys may run."""
        suspects = self._suspects.intersection(keys)
        if not suspects:
            return Clear()
        now = self._clock()
        for block in self._blocks:
            if block.keys <= suspects and now < block.probe_at:
                return Quarantined(block, block.probe_at - now)
        return Suspect(suspects, not self._repeated.isdisjoint(suspects))

    def record_completion(self, keys: Iterable[str]) -> None:
        """Record a completed request, which clears its keys."""
        now = self._clock()
        keys = tuple(keys)
        for key in keys:
            self._completed.pop(key, None)
            self._completed[key] = now
        while len(self._completed) > MAX_COMPLETED_KEYS:
            del self._completed[next(iter(self._completed))]
        if not self._open.isdisjoint(keys):
            for record in self._records.values():
                if cleared := record.open.intersection(keys):
                    record.cleared.update(cleared)
                    record.changed_at = now
            self._derive("a completed request")

    def record_crash(
        self, target: Target, keys: Collection[str], is_trial: bool
    ) -> frozenset[str]:
        """Record a request that a target's crash broke off; return its suspect keys."""
        now = self._clock()
        keys = sorted(
            keys,
            key=lambda key: (
                self._was_completed(key, now),
                not _is_request_key(key),
                key,
            ),
        )
        # Keys that were completed lately come last, so that they are left out first.
        report = CrashReport(
            target.id,
            target.born,
            tuple(sorted(keys[:MAX_REPORT_KEYS])),
            is_trial=is_trial,
        )
        self._add(report)
        self._derive("this entry")
        record = self._records.get((target.key, report.keys))
        return record.open if record else frozenset()

    def merge(self, peer: str, reports: Iterable[CrashReport]) -> None:
        """Record what a peer knows."""
        changed = [self._add(report) for report in reports]
        if any(changed):
            self._derive(peer)

    def reports(self) -> list[CrashReport]:
        """Return all records, for a peer."""
        now = self._clock()
        return [_make_report(record, now) for record in self._records.values()]

    def report_changes(self) -> list[CrashReport]:
        """Return the records that changed lately, and now and then all, for peers."""
        now = self._clock()
        if now >= self._full_report_at:
            interval = FULL_REPORT_INTERVAL_S * random.uniform(0.5, 1.5)
            self._full_report_at = now + interval
            return self.reports()
        return [
            _make_report(record, now)
            for record in self._records.values()
            if now - record.changed_at <= RESEND_S
        ]

    def resend_all(self) -> None:
        """Make the next report to peers include all records."""
        self._full_report_at = 0.0

    def sweep(self) -> None:
        """Drop records that are too old, or too many."""
        now = self._clock()
        old = [
            key
            for key, record in self._records.items()
            if now - record.at > RECORD_TTL_S
            or (not record.open and now - record.at > COMPLETED_BEFORE_S)
        ]
        blocked = {target for block in self._blocks for target in block.targets}
        rest = sorted(
            (key for key in self._records if key not in old),
            key=lambda key: (key[0] in blocked, self._records[key].at),
        )
        old += rest[: max(0, len(rest) - MAX_RECORDS)]
        for key in old:
            del self._records[key]
        if old:
            self._derive("expiry")

    def _was_completed(self, key: str, at: float) -> bool:
        """Return whether a request with a key was completed after or just before."""
        completed_at = self._completed.get(key)
        return completed_at is not None and completed_at > at - COMPLETED_BEFORE_S

    def _add(self, report: CrashReport) -> bool:
        """Add a record or what is new of it; return whether anything was."""
        age = max(0.0, report.age)
        target = (report.target, report.born)
        record = self._records.get((target, report.keys))
        if record is None:
            is_open = set(report.keys) - set(report.cleared)
            if age > RECORD_TTL_S or not is_open or len(report.keys) > MAX_REPORT_KEYS:
                return False
            now = self._clock()
            record = _Record(target, report.keys, now - age, report.is_trial, now)
            self._records[target, report.keys] = record
            is_new = True
        else:
            is_new = report.is_trial and not record.is_trial
            record.is_trial |= report.is_trial
        cleared = {
            key
            for key in record.keys
            if key in report.cleared or self._was_completed(key, record.at)
        }
        is_new = is_new or not cleared <= record.cleared
        record.cleared |= cleared
        if is_new:
            record.changed_at = self._clock()
        return is_new

    def _derive(self, source: str) -> None:
        """Derive suspects and blocks from the records, and log what has changed."""
        records = [record for record in self._records.values() if record.open]
        combined = {
            _narrow(common)
            for first, second in combinations(records, 2)
            if (first.is_trial or second.is_trial) and first.target != second.target
            if (common := first.open & second.open)
        }
        times: dict[str, list[float]] = {}
        for record in records:
            for key in record.open:
                times.setdefault(key, []).append(record.at)
        combined |= {
            frozenset((key,))
            for key, crashed_at in times.items()
            if _separate_crashes(sorted(crashed_at)) >= MIN_SEPARATE_CRASHES
        }
        self._open = frozenset(times)
        self._derive_suspects(records, frozenset().union(*combined))
        before = {block.keys: block for block in self._blocks}
        # Of combinations that contain each other, the smallest is the cause.
        self._blocks = tuple(
            _make_block(keys, records)
            for keys in combined
            if not any(other < keys for other in combined)
        )
        self._log_changes(before, source)

    def _derive_suspects(self, records: list[_Record], blocked: frozenset[str]) -> None:
        """Derive the suspects from the crashes that no blocked request explains."""
        targets: dict[str, set[tuple[str, int]]] = {}
        for record in records:
            if any(map(_is_request_key, blocked & record.open)):
                continue
            for key in record.open:
                targets.setdefault(key, set()).add(record.target)
        self._suspects = blocked.union(targets)
        self._repeated = blocked.union(
            key for key, crashed in targets.items() if len(crashed) > 1
        )

    def _log_changes(self, before: dict[frozenset[str], Block], source: str) -> None:
        now = self._clock()
        for block in self._blocks:
            known = before.pop(block.keys, None)
            if known is None or known.targets != block.targets:
                logger.bind(
                    keys=sorted(block.keys), targets=[name for name, _ in block.targets]
                ).warning(
                    "requests quarantined: {} targets crashed, last {:.2f} s ago, "
                    "next probe in {:.1f} s, from {}",
                    len(block.targets),
                    now - block.last_crash_at,
                    block.probe_at - now,
                    source,
                )
        for keys in before:
            logger.bind(keys=sorted(keys)).info("quarantine ended by {}", source)


def _is_request_key(key: str) -> bool:
    return key.startswith(REQUEST_KEY_PREFIX)


def _narrow(common: frozenset[str]) -> frozenset[str]:
    """Return what to block: only the request, if both crashes were under the same."""
    return frozenset(filter(_is_request_key, common)) or common


def _make_report(record: _Record, now: float) -> CrashReport:
    return CrashReport(
        *record.target,
        record.keys,
        tuple(sorted(record.cleared)),
        record.is_trial,
        round(now - record.at, 3),
    )


def _separate_crashes(times: list[float]) -> int:
    """Return how many of some ascending times lie at least SEPARATION_S apart."""
    count, last = 0, float("-inf")
    for at in times:
        if at - last >= SEPARATION_S:
            count, last = count + 1, at
    return count


def _make_block(keys: frozenset[str], records: list[_Record]) -> Block:
    crashed = [record for record in records if keys <= record.open]
    targets = tuple(dict.fromkeys(record.target for record in crashed))
    return Block(keys, targets, max(record.at for record in crashed))
