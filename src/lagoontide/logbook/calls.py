"""Calls of stage targets, by service and target, as their owners logged them."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lagoontide.logbook.read import Line

__all__ = ["describe_calls", "is_within"]

MADE = "pieces made"
S_PER_MS = 1e-3


@dataclass(slots=True)
class Calls:
    """What the calls of one target come to.

    Attributes
    ----------
    pieces, waiting : int
        Pieces made in all calls; pieces in no call, summed over the calls.
    seconds, expected : float
        That the calls took, and that they were expected to take.
    """

    number: int = 0
    pieces: int = 0
    waiting: int = 0
    seconds: float = 0.0
    expected: float = 0.0

    def add(self, line: Line) -> None:
        """Count a call."""
        self.number += 1
        self.pieces += int(line.fields.get("pieces", 0))
        self.waiting += int(line.fields.get("waiting", 0))
        self.seconds += S_PER_MS * float(line.fields.get("ms", 0.0))
        self.expected += S_PER_MS * float(line.fields.get("expected_ms", 0.0))


def describe_calls(
    lines: Iterable[Line], since: str = "", until: str = ""
) -> Iterator[str]:
    """Yield a row for each target, the services one after the other.

    Parameters
    ----------
    since, until : str
        Times as the files have them; "" for no bound.

    Raises
    ------
    ValueError
        If the lines have a collector's times and a bound is no number.
    """
    found: defaultdict[tuple[str, str], Calls] = defaultdict(Calls)
    for line in lines:
        if line.message == MADE and is_within(line, since, until):
            service, target = line.fields.get("service"), line.fields.get("target")
            found[str(service), str(target)].add(line)
    yield (
        f"{'service':14} {'target':16} {'calls':>6} {'pieces a call':>14}"
        f" {'waiting':>8} {'busy s':>8} {'of expected':>12}"
    )
    for (service, target), calls in sorted(found.items()):
        ratio = calls.seconds / calls.expected if calls.expected else 0.0
        yield (
            f"{service:14} {target:16} {calls.number:6}"
            f" {calls.pieces / calls.number:14.1f}"
            f" {calls.waiting / calls.number:8.0f} {calls.seconds:8.2f} {ratio:12.2f}"
        )


def is_within(line: Line, since: str, until: str) -> bool:
    """Return whether a line is of a span of time; "" is no bound."""
    if isinstance(line.order, float):
        is_after = not since or line.order >= float(since)
        return is_after and (not until or line.order <= float(until))
    return (not since or line.order >= since) and (not until or line.order <= until)
