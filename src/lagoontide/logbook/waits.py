"""Who waits, who is refused and where work goes, from the lines of ended requests."""

import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from lagoontide.logbook.calls import is_within
from lagoontide.logbook.read import Line

__all__ = ["GROUPINGS", "describe_waits"]

ENDED = "request ended"
NONE = "-"
SERVED = frozenset(("streamed", "answered_2xx"))
REFUSED = "not_run"
# Decisions as the log has them: a forecast, and a choice of a target.
FORECAST = re.compile(
    r"(?P<verdict>[a-z ]+): work \S+ s, wait \S+ s at (?P<service>\S+),"
)
CHOICE = re.compile(r"(?P<target>\S+) of \d+: (?P<reason>[^,]+),")


@dataclass(slots=True)
class Group:
    """Requests that have something in common.

    Attributes
    ----------
    outcomes : Counter
        Numbers of requests, by outcome.
    stages, target, first : list of float
        Milliseconds until the stages were complete, from then to the first event, and
        from the first byte of the request to it.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    stages: list[float] = field(default_factory=list)
    target: list[float] = field(default_factory=list)
    first: list[float] = field(default_factory=list)

    def add(self, fields: dict[str, Any]) -> None:
        """Count a request."""
        self.outcomes[str(fields.get("outcome", ""))] += 1
        timeline = fields.get("timeline")
        if not isinstance(timeline, dict):
            return
        first, stages = timeline.get("first_event"), timeline.get("inputs", 0)
        if isinstance(first, int | float) and isinstance(stages, int | float):
            self.stages.append(stages)
            self.target.append(first - stages)
            self.first.append(first)


def describe_waits(
    lines: Iterable[Line], by: str, since: str = "", until: str = ""
) -> Iterator[str]:
    """Yield a row for each group of requests, the largest first.

    Parameters
    ----------
    by : str
        One of GROUPINGS.
    since, until : str
        Times as the files have them; "" for no bound.

    Raises
    ------
    ValueError
        If there is no such grouping, or a bound is not a time of these files.
    """
    if by not in GROUPINGS:
        raise ValueError(f"{by!r} is none of {', '.join(GROUPINGS)}")
    groups: defaultdict[str, Group] = defaultdict(Group)
    for line in lines:
        if line.message.startswith(ENDED) and is_within(line, since, until):
            groups[GROUPINGS[by](line)].add(line.fields)
    yield (
        f"{by:22} {'ended':>6} {'served':>7} {'refused':>8} {'others':>7}"
        f" {'stages ms':>12} {'target ms':>12} {'first ms':>12}"
    )
    ranked = sorted(groups.items(), key=lambda item: (-item[1].outcomes.total(), item))
    for name, group in ranked:
        ended, refused = group.outcomes.total(), group.outcomes[REFUSED]
        served = sum(group.outcomes[outcome] for outcome in SERVED)
        yield (
            f"{name:22} {ended:6} {served:7} {refused:8} {ended - served - refused:7}"
            f" {_spread(group.stages):>12} {_spread(group.target):>12}"
            f" {_spread(group.first):>12}"
        )


def _spread(values: Sequence[float]) -> str:
    """Return median and ninth decile."""
    if not values:
        return NONE
    ordered = sorted(values)
    last = len(ordered) - 1
    return f"{ordered[round(0.5 * last)]:.0f}/{ordered[round(0.9 * last)]:.0f}"


def _choices(line: Line) -> list[str]:
    choices = line.fields.get("choices")
    return [str(text) for text in choices] if isinstance(choices, list) else []


def _last_match(pattern: re.Pattern[str], line: Line, name: str) -> str:
    found = filter(None, map(pattern.match, reversed(_choices(line))))
    match = next(found, None)
    return match[name].strip() if match else NONE


def _field(name: str) -> Callable[[Line], str]:
    return lambda line: str(line.fields.get(name) or NONE)


GROUPINGS: dict[str, Callable[[Line], str]] = {
    "route": _field("route"),
    "account": _field("account"),
    "entry": lambda line: line.process or NONE,
    "target": lambda line: _last_match(CHOICE, line, "target"),
    "reason": lambda line: _last_match(CHOICE, line, "reason"),
    "verdict": lambda line: _last_match(FORECAST, line, "verdict"),
    "bottleneck": lambda line: _last_match(FORECAST, line, "service"),
}
