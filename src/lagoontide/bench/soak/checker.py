"""The promises, checked from what callers got and what targets ran."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from lagoontide.bench.soak.records import EVENTS, SUCCESS, Asked, Work
from lagoontide.platform.standins.targets import TargetStandin

__all__ = [
    "LIMIT_KNOWN_S",
    "Changes",
    "NamedLimit",
    "check",
    "check_new_route",
    "share_served",
]

NOT_RUN = frozenset((408, 421, 429, 503))
NO_ROUTE = 404
# Bounds of the users' settings, with the stretch for an entry whose store is in
# trouble (RULES, In touch).
LEAVING_S = 2.0 + 5.0
REVOKED_S = 2.0 + 5.0
# A target that names a rate limit may get one and a half times what it allows in any
# 4 s, and 5 requests (issue 31), once all entries know of it.
LIMIT_KNOWN_S = 1.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


@dataclass(slots=True)
class NamedLimit:
    """A rate limit that a target names for some time, in loop time."""

    target: str
    rate: float
    since: float
    until: float = float("inf")


@dataclass(slots=True)
class Changes:
    """When what callers and targets may do has changed, in loop time.

    Attributes
    ----------
    left_at : dict of str to float
        When a target's entry began to say that it leaves.
    said_at : dict of str to float
        When a target first said in an answer that it leaves, or pauses for long.
    revoked_at : dict of str to float
        When a key was taken away.
    unlimited_at : dict of str to float
        When a target last ceased to name a rate limit.
    limits : list of NamedLimit
        Rate limits named while no entry was stopped, killed, paused or cut off.
    """

    left_at: dict[str, float] = field(default_factory=dict)
    said_at: dict[str, float] = field(default_factory=dict)
    revoked_at: dict[str, float] = field(default_factory=dict)
    unlimited_at: dict[str, float] = field(default_factory=dict)
    limits: list[NamedLimit] = field(default_factory=list)

    @property
    def gone_at(self) -> dict[str, float]:
        """When targets left, or may no longer be used as they said so, by name."""
        return self.said_at | self.left_at


def check(
    asked: Iterable[Asked], targets: Iterable[TargetStandin], changes: Changes
) -> list[str]:
    """Return what broke a promise, one line each."""
    requests = {item.id: item for item in asked}
    targets = list(targets)
    runs: Counter[str] = Counter()
    for target in targets:
        runs.update(target.requests)
    found = [*_check_targets(requests, targets, changes)]
    found += _check_limits(targets, changes)
    for item in requests.values():
        found += _check_request(item, runs[item.id], changes)
    streams: dict[str, list[Asked]] = {}
    for item in requests.values():
        if item.kind.work is Work.STREAM:
            streams.setdefault(item.stream, []).append(item)
    for name, attempts in streams.items():
        found += _check_stream(name, attempts)
    return found


def check_new_route(asked: Iterable[Asked]) -> list[str]:
    """Return what shows that an added route was not in force in time."""
    missed = sum(item.status == NO_ROUTE for item in asked)
    return [f"CONFIG: {missed} requests found no added route"] if missed else []


def share_served(asked: Iterable[Asked]) -> float:
    """Return the share of new requests, but for crashing ones, that succeeded."""
    kept = [
        item
        for item in asked
        if not (item.has_left or item.is_crashing or item.resumes)
    ]
    return sum(item.status == SUCCESS for item in kept) / max(1, len(kept))


def _check_request(item: Asked, runs: int, changes: Changes) -> Iterator[str]:
    if item.kind.is_once and runs > 1:
        yield f"TWICE: {item.id} ran {runs} times"
    if item.kind.is_once and item.status in NOT_RUN and runs:
        yield f"REFUSED: {item.id} got {item.status} and ran"
    if item.status == SUCCESS and item.is_whole:
        if not item.is_sealed:
            yield f"MIXED: {item.id} got a success without a seal"
        wanted = b"done:" + item.id.encode()
        if item.kind.work is Work.PLAIN and item.body != wanted:
            yield f"MIXED: {item.id} got {item.body[:60]!r}"
    revoked_at = changes.revoked_at.get(item.key)
    if revoked_at is not None and item.sent_at > revoked_at + REVOKED_S and runs:
        yield f"CONFIG: {item.id} ran with a key that was taken away"


def _check_stream(name: str, attempts: list[Asked]) -> Iterator[str]:
    """Check the events that came whole, joined over all attempts of a caller."""
    events = [event for item in attempts for event in item.events]
    numbers = [number for number, _ in events]
    is_whole = any(item.status == SUCCESS and item.is_whole for item in attempts)
    wanted = list(range(1, (EVENTS if is_whole else len(numbers)) + 1))
    ids = [item.id for item in attempts]
    if numbers != wanted:
        yield f"ORDER: {name} got events {numbers} in attempts {ids}"
    for item in attempts:
        lines = [line for line in item.body.split(b"\n") if line[:3] == b"id:"]
        is_success = item.status == SUCCESS and item.is_whole
        if is_success and len(lines) != len(item.events):
            yield f"ORDER: {item.id} ended within an event: {lines}"
    versions = sorted({version for _, version in events if version})
    if len(versions) > 1:
        yield f"ORDER: {name} got events of versions {versions} in attempts {ids}"


def _check_targets(
    requests: dict[str, Asked], targets: list[TargetStandin], changes: Changes
) -> Iterator[str]:
    made = {
        handle: work
        for item in targets
        for handle, work in item.pieces_by_handle.items()
    }
    for target in targets:
        left_at = changes.left_at.get(target.name)
        for run in target.log:
            item = requests.get(run.request_id)
            if item is None:
                yield f"UNASKED: {run.request_id} ran at {target.id}"
                continue
            if left_at is not None and run.at > left_at + LEAVING_S:
                yield f"DRAIN: {run.request_id} reached {target.id} after it left"
            wrong = [
                handle
                for handle in run.inputs
                if made.get(handle, ("", 0, 0))[0] != run.request_id
            ]
            if wrong or len(set(run.inputs)) != item.kind.inputs:
                yield f"MIXED: {run.request_id} ran with inputs {run.inputs}"


def _check_limits(targets: list[TargetStandin], changes: Changes) -> Iterator[str]:
    by_name = {target.name: target for target in targets}
    for limit in changes.limits:
        known_at = limit.since + LIMIT_KNOWN_S
        target = by_name[limit.target]
        # The next incarnation is another target, whose limit is not known yet.
        crashes = [at for at in target.crashed_at if at > limit.since]
        until = min(limit.until, *crashes, float("inf"))
        times = [at for at in target.arrived_at if known_at < at < until]
        most = max(
            (sum(at <= t < at + LIMIT_WINDOW_S for t in times) for at in times),
            default=0,
        )
        if most > LIMIT_FACTOR * limit.rate * LIMIT_WINDOW_S + LIMIT_SLACK:
            yield f"LIMIT: {limit.target} named {limit.rate:g}/s and got {most} in 4 s"
