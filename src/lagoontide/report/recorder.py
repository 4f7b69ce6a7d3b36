"""Takes the story of each ended request into counts, sketches and traces."""

import random
from collections.abc import Callable

from lagoontide.dispatch.outcomes import Attempt, AttemptOutcome
from lagoontide.pipeline.story import Story
from lagoontide.report.blame import Typical, find_blame
from lagoontide.report.slots import Slots
from lagoontide.report.tally import AttemptTally, Result, classify
from lagoontide.report.window import AttemptKey, DurationKey, RequestKey, Window

__all__ = ["NO_ROUTE", "Recorder"]

NO_ROUTE = "(no such route)"
MS_PER_S = 1000
# Stages and targets are timed for this share of requests, whatever their result,
# as sketches are the dearest part of counting.
SAMPLED_SHARE = 0.25

FindDomain = Callable[[str], str]
IsRoute = Callable[[str], bool]


class Recorder:
    """What an entry knows of the requests that ended at it.

    Parameters
    ----------
    find_domain : callable
        Gives a target's failure domain, or an empty string.
    is_route : callable
        Whether a route is known; names that callers made up are not kept.
    now : float
        Loop time of the start.
    """

    def __init__(self, find_domain: FindDomain, is_route: IsRoute, now: float) -> None:
        self.slots = Slots(now)
        self._find_domain = find_domain
        self._is_route = is_route
        self._typical = Typical()
        self._domains: dict[str, str] = {}
        self._domains_of: Window | None = None

    def take(self, story: Story) -> Result:
        """Count a request that has ended."""
        result = classify(story)
        window = self.slots.current(story.ended)
        if window is not self._domains_of:
            # Targets may have moved; look them up again for each slot.
            self._domains.clear()
            self._domains_of = window
        route = story.route
        if result is Result.REFUSED:
            route = route if self._is_route(route) else NO_ROUTE
            window.tally(RequestKey(route, story.account)).refused += 1
            return result
        window.tally(RequestKey(route, story.account)).add(result)
        window.sketch(DurationKey(route)).add(story.ended - story.started)
        is_sampled = random.random() < SAMPLED_SHARE
        if is_sampled:
            _take_durations(window, story)
        for report in story.stages:
            for attempt in report.outcome.attempts:
                _count(
                    window.attempt(self._make_key(route, report.stage, attempt)),
                    attempt,
                )
        if result is not Result.GOOD:
            self._note_miss(window, story)
        elif is_sampled:
            self._typical.observe(story)
        return result

    def _make_key(self, route: str, stage: str, attempt: Attempt) -> AttemptKey:
        return AttemptKey(route, stage, attempt.target, self._domain(attempt.target))

    def _domain(self, target: str) -> str:
        domain = self._domains.get(target)
        if domain is None:
            domain = self._domains[target] = self._find_domain(target)
        return domain

    def _note_miss(self, window: Window, story: Story) -> None:
        blame = find_blame(story, self._typical)
        domain = self._domain(blame.target)
        key = AttemptKey(story.route, blame.stage, blame.target, domain)
        window.attempt(key).spent += 1


def _take_durations(window: Window, story: Story) -> None:
    for report in story.stages:
        elapsed = report.ended - report.started
        window.sketch(DurationKey(story.route, report.stage)).add(elapsed)
        for attempt in report.outcome.attempts:
            sketch = window.sketch(DurationKey(target=attempt.target))
            sketch.add(attempt.ended - attempt.started)


def _count(tally: AttemptTally, attempt: Attempt) -> None:
    match attempt.outcome:
        case AttemptOutcome.DONE:
            tally.done += 1
            return
        case AttemptOutcome.NOT_RUN:
            tally.not_run += 1
        case AttemptOutcome.CANCELLED:
            tally.overtaken += 1
        case _:
            tally.lost += 1
    tally.waste_ms += int((attempt.ended - attempt.started) * MS_PER_S)
