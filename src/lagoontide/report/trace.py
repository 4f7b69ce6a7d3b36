"""The stories of recent requests, kept without their bodies."""

from collections import deque
from collections.abc import Iterator

import msgspec

from lagoontide.dispatch.messages import Done
from lagoontide.pipeline.story import Story
from lagoontide.pipeline.walk import StageReport
from lagoontide.report.tally import Result

__all__ = ["AttemptTrace", "StageTrace", "Trace", "TraceRing", "make_trace"]

MAX_BAD = 512
MAX_SLOW = 256
MAX_REFUSED = 64
MAX_RECENT = 64
# Of the requests that are neither slow nor missed, one in so many is kept.
RECENT_SAMPLED = 8
# A good request is slow once it has used this share of its budget.
SLOW_SHARE = 0.5


class AttemptTrace(msgspec.Struct, frozen=True):
    """One attempt; ``started`` counts from the request's arrival, in seconds.

    Attributes
    ----------
    beside : bool
        Whether an earlier attempt was still under way: a hedge.
    """

    target: str
    outcome: str
    started: float
    elapsed: float
    reason: str
    beside: bool


class StageTrace(msgspec.Struct, frozen=True):
    """One stage.

    Attributes
    ----------
    left : float
        Seconds left before the deadline when it started.
    waited, ran : float or None
        Seconds in the agent's queue and at the target, if there is a result.
    """

    stage: str
    service: str
    repeatable: bool
    started: float
    elapsed: float
    left: float
    waited: float | None
    ran: float | None
    attempts: tuple[AttemptTrace, ...]


class Trace(msgspec.Struct, frozen=True):
    """A request's own story.

    Attributes
    ----------
    result : str
        ``good``, ``late``, ``failed``, ``unknown``, ``not_run`` or ``refused``.
    step, peer, reason : str
        As in the error that the caller got.
    """

    request: str
    entry: str
    route: str
    account: str
    priority: str
    result: str
    elapsed: float
    budget: float
    stages: tuple[StageTrace, ...]
    step: str = ""
    peer: str = ""
    reason: str = ""


def make_trace(story: Story, result: Result, entry: str) -> Trace:
    """Return a story as it is kept and shown."""
    return Trace(
        request=story.request,
        entry=entry,
        route=story.route,
        account=story.account,
        priority=story.priority.value if story.priority else "",
        result=result.value,
        elapsed=story.ended - story.started,
        budget=story.budget,
        stages=tuple(_make_stage(report, story.started) for report in story.stages),
        step=story.step,
        peer=story.peer,
        reason=story.reason,
    )


def _make_stage(report: StageReport, arrival: float) -> StageTrace:
    final = report.outcome.result
    done = final if isinstance(final, Done) else None
    return StageTrace(
        stage=report.stage,
        service=report.service,
        repeatable=report.repeatable,
        started=report.started - arrival,
        elapsed=report.ended - report.started,
        left=report.budget,
        waited=done.waited if done else None,
        ran=done.ran if done else None,
        attempts=tuple(_make_attempts(report, arrival)),
    )


def _make_attempts(report: StageReport, arrival: float) -> Iterator[AttemptTrace]:
    under_way_until = float("-inf")
    for attempt in report.outcome.attempts:
        yield AttemptTrace(
            attempt.target,
            attempt.outcome,
            attempt.started - arrival,
            attempt.ended - attempt.started,
            attempt.reason,
            attempt.started < under_way_until,
        )
        under_way_until = max(under_way_until, attempt.ended)


class TraceRing:
    """Bounded rings, so that a flood of one kind does not push out the others."""

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._bad: deque[Trace] = deque(maxlen=MAX_BAD)
        self._slow: deque[Trace] = deque(maxlen=MAX_SLOW)
        self._refused: deque[Trace] = deque(maxlen=MAX_REFUSED)
        self._recent: deque[Trace] = deque(maxlen=MAX_RECENT)
        self._passed = -1

    def take(self, story: Story, result: Result) -> None:
        """Keep the trace of a request that has ended; few of the quick good ones."""
        ring = self._pick_ring(story, result)
        if ring is self._recent:
            self._passed += 1
            if self._passed % RECENT_SAMPLED:
                return
        ring.append(make_trace(story, result, self._entry))

    def find(self, request: str) -> Trace | None:
        """Return the trace of a request, if it is still kept."""
        return next((x for x in self.list() if x.request == request), None)

    def list(self) -> "list[Trace]":
        """Return all that is kept, missed requests first."""
        rings = (self._bad, self._slow, self._refused, self._recent)
        return [trace for ring in rings for trace in reversed(ring)]

    def _pick_ring(self, story: Story, result: Result) -> deque[Trace]:
        elapsed = story.ended - story.started
        match result:
            case Result.REFUSED:
                return self._refused
            case Result.GOOD if elapsed < SLOW_SHARE * story.budget:
                return self._recent
            case Result.GOOD:
                return self._slow
            case _:
                return self._bad
