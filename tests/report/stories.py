"""Stories of requests, made short."""

from lagoontide.configuration.document import Priority
from lagoontide.dispatch.messages import Done, Unknown
from lagoontide.dispatch.outcomes import Attempt, Outcome
from lagoontide.pipeline.story import Story
from lagoontide.pipeline.walk import StageReport
from lagoontide.scheduling.load import Load

BUDGET_S = 3.0


def make_stage(name, started, *attempts):
    """Attempts are (target, outcome, seconds) one after the other."""
    made, at = [], started
    for number, (target, outcome, elapsed) in enumerate(attempts):
        made.append(Attempt(f"r.{number}", target, outcome, at, at + elapsed))
        at += elapsed
    last = made[-1] if made else None
    result = (
        Done(last.id, b"x", 0, Load(), 0.01, 0.02)
        if last and last.outcome == "Done"
        else Unknown("r", "silence")
    )
    outcome = Outcome(result, last.target if last else "", tuple(made))
    return StageReport(name, name, True, outcome, started, at, BUDGET_S - started)


def make_story(
    outcome="done", elapsed=1.0, at=100.0, route="query", account="metro", **options
):
    """A request that ended at ``at``; its stages are given from its start."""
    return Story(
        request=options.pop("request", "r1"),
        route=route,
        account=account,
        priority=Priority.NORMAL,
        outcome=outcome,
        started=at - elapsed,
        ended=at,
        budget=BUDGET_S,
        stages=options.pop("stages", ()),
        **options,
    )
