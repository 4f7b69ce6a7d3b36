"""Plots as SVG shapes, computed from a report; the template only places them."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lagoontide.report.messages import Point
from lagoontide.report.summary import SpendLine
from lagoontide.report.tally import Tally

__all__ = ["Bar", "HEIGHT", "Series", "WIDTH", "plot_misses", "plot_spending"]

WIDTH = 640
HEIGHT = 120
BAR_HEIGHT = 18
SPAN_S = 3600.0
MAX_SERIES = 14
MAX_BARS = 12


@dataclass(frozen=True, slots=True)
class Bar:
    """A rectangle with what it stands for, in SVG units."""

    x: float
    y: float
    width: float
    height: float
    label: str


@dataclass(frozen=True, slots=True)
class Series:
    """A route's requests over the last hour: answered well, missed, refused."""

    name: str
    good: tuple[Bar, ...]
    bad: tuple[Bar, ...]
    refused: tuple[Bar, ...]
    peak: float


def plot_misses(points: Sequence[Point]) -> list[Series]:
    """Return a series for each route, those with the most misses first."""
    routes: dict[str, list[Point]] = {}
    for point in points:
        if point.age - point.length < SPAN_S:
            routes.setdefault(point.route, []).append(point)
    names = sorted(routes, key=lambda x: (-_count_bad(routes[x]), x))
    return [_plot_route(name, routes[name]) for name in names[:MAX_SERIES]]


def _count_bad(points: Iterable[Point]) -> int:
    return sum(point.tally.bad for point in points)


def _rates(point: Point) -> tuple[float, float, float]:
    """Return good, bad and refused requests a minute."""
    scale = 60.0 / point.length
    tally: Tally = point.tally
    return tally.good * scale, tally.bad * scale, tally.refused * scale


def _plot_route(name: str, points: Sequence[Point]) -> Series:
    peak = max((sum(_rates(point)) for point in points), default=0.0) or 1.0
    layers: tuple[list[Bar], list[Bar], list[Bar]] = ([], [], [])
    for point in points:
        start = min(point.age, SPAN_S)
        end = max(0.0, point.age - point.length)
        x = WIDTH * (1 - start / SPAN_S)
        width = max(1.0, WIDTH * (start - end) / SPAN_S - 1)
        top = float(HEIGHT)
        for layer, value, word in zip(
            layers, _rates(point), ("in time", "missed", "refused"), strict=True
        ):
            height = HEIGHT * value / peak
            top -= height
            if height:
                label = f"{value:.1f} a minute {word}, {end / 60:.0f} min ago"
                layer.append(Bar(x, top, width, height, label))
    good, bad, refused = layers
    return Series(name, tuple(good), tuple(bad), tuple(refused), peak)


def plot_spending(lines: Sequence[SpendLine]) -> list[Bar]:
    """Return a bar for each line that spent budget, the widest first."""
    spent = [line for line in lines if line.tally.spent][:MAX_BARS]
    most = max((line.tally.spent for line in spent), default=1)
    return [
        Bar(
            0.0,
            float(number * (BAR_HEIGHT + 4)),
            max(1.0, WIDTH / 2 * line.tally.spent / most),
            BAR_HEIGHT,
            f"{line.name}: {line.tally.spent} ({100 * line.share:.0f}%)",
        )
        for number, line in enumerate(spent)
    ]
