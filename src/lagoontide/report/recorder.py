"""Takes the story of each ended request into counts, sketches and traces."""

from collections.abc import Callable

from lagoontide.dispatch.caller import Attempt
from lagoontide.dispatch.messages import Done, NotRun
from lagoontide.pipeline.story import Story
from lagoontide.report.blame import Typical, find_blame
from lagoontide.report.slots import Slots
from lagoontide.report.tally import Result, classify
from lagoontide.report.window import AttemptKey, DurationKey, RequestKey, Window

__all__ = ["NO_ROUTE", "Recorder"]

NO_ROUTE = "(no such route)"
MS_PER_S = 1000

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
        if result is Result.REFUSED and not self._is_route(route):
            route = NO_ROUTE
        window.tally(RequestKey(route, story.account)).add(result)
        if result is Result.REFUSED:
            return result
        window.sketch(DurationKey(route)).add(story.ended - story.started)
        for report in story.stages:
            elapsed = report.ended - report.started
            window.sketch(DurationKey(route, report.stage)).add(elapsed)
            for attempt in report.outcome.attempts:
                self._take_attempt(window, route, report.stage, attempt)
        if result is Result.GOOD:
            self._typical.observe(story)
        else:
            blame = find_blame(story, self._typical)
            key = self._make_key(route, blame.stage, blame.target)
            window.attempt(key).spent += 1
        return result

    def _make_key(self, route: str, stage: str, target: str) -> AttemptKey:
        domain = self._domains.get(target)
        if domain is None:
            domain = self._domains[target] = self._find_domain(target)
        return AttemptKey(route, stage, target, domain)

    def _take_attempt(
        self, window: Window, route: str, stage: str, attempt: Attempt
    ) -> None:
        tally = window.attempt(self._make_key(route, stage, attempt.target))
        elapsed = attempt.ended - attempt.started
        window.sketch(DurationKey(target=attempt.target)).add(elapsed)
        if attempt.outcome == Done.__name__:
            tally.done += 1
            return
        tally.waste_ms += int(elapsed * MS_PER_S)
        if attempt.outcome == NotRun.__name__:
            tally.not_run += 1
        else:
            tally.lost += 1
