"""What lines say together: one request's story, and causes by their number."""

import re
from collections import Counter
from collections.abc import Iterable, Iterator

from lagoontide.logbook.read import Line

__all__ = ["summarize", "tell_story"]

NUMBERS = re.compile(r"\b(?=[\w.:-]*\d)[\w.:-]+")
TOLD = (
    "target",
    "service",
    "route",
    "account",
    "outcome",
    "peer",
    "timeline",
    "choices",
)


def tell_story(lines: Iterable[Line], request: str) -> Iterator[str]:
    """Yield one request's lines in the order of time, and what its targets met.

    Parameters
    ----------
    request : str
        Its id, or the beginning of it.
    """
    kept = list(lines)
    own = [
        line for line in kept if str(line.fields.get("request", "")).startswith(request)
    ]
    if not own:
        return
    targets = {line.fields["target"] for line in own if "target" in line.fields}
    begin, end = own[0].order, own[-1].order
    about = [
        line
        for line in kept
        if line.fields.get("target") in targets
        and "request" not in line.fields
        and line.message != "pieces made"
        and _is_between(line, begin, end)
    ]
    for line in sorted([*own, *about], key=_order):
        yield _describe(line)


def summarize(lines: Iterable[Line]) -> Iterator[str]:
    """Yield outcomes with their causes, then changes of belief, by their number."""
    outcomes: Counter[tuple[str, str, str]] = Counter()
    beliefs: Counter[str] = Counter()
    for line in lines:
        outcome = line.fields.get("outcome")
        if outcome is not None:
            why = _shape(line.message.removeprefix("request ended: "))
            outcomes[str(outcome), str(line.fields.get("service", "")), why] += 1
        elif "request" not in line.fields:
            beliefs[f"{line.level} {_shape(line.message)}"] += 1
    yield "requests by outcome, service and cause"
    for (outcome, service, why), number in outcomes.most_common():
        yield f"{number:7} {outcome:16} {service:12} {why}"
    yield "other lines"
    for text, number in beliefs.most_common():
        yield f"{number:7} {text}"


def _shape(text: str) -> str:
    return NUMBERS.sub("#", text)[:100]


def _is_between(line: Line, begin: float | str, end: float | str) -> bool:
    if isinstance(line.order, float) and isinstance(begin, float):
        return begin - 1.0 <= line.order <= float(end)
    return str(begin) <= str(line.order) <= str(end)


def _order(line: Line) -> tuple[float, str]:
    if isinstance(line.order, float):
        return line.order, ""
    return 0.0, line.order


def _describe(line: Line) -> str:
    told = [f"{name}={line.fields[name]}" for name in TOLD if name in line.fields]
    rest = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in TOLD and name != "request"
    ]
    head = f"{line.time:>24} {line.process:22} {line.level:7} {line.message}"
    return " ".join([head, *told, *rest])
