"""Draws the figures of runs as bars in an SVG file."""

from itertools import count
from pathlib import Path
from xml.sax.saxutils import escape

import msgspec

from lagoontide.bench.run import RunFigures
from lagoontide.errors import SettingsError

__all__ = ["draw", "run_plot"]

FIGURES = ("attainment", "goodput", "p50", "p99", "cost", "extra")
BAR_HEIGHT = 16
LABEL_WIDTH = 180
BAR_WIDTH = 360
VALUE_WIDTH = 90


def run_plot(source: str, out: str) -> int:
    """Draw the file that ``bench run --out`` wrote."""
    try:
        figures = msgspec.json.decode(Path(source).read_bytes(), type=RunFigures)
    except (OSError, msgspec.DecodeError) as exc:
        raise SettingsError(f"{source}: {exc}", step="plot") from exc
    Path(out).write_text(draw(figures), "utf-8")
    return 0


def draw(figures: RunFigures) -> str:
    """Return an SVG document with a group of bars for each figure."""
    rows = count()
    parts: list[str] = []
    experiment = figures.experiment
    title = f"{experiment.deployment}, {experiment.scenario}, seed {experiment.seed}"
    parts.append(_text(0, next(rows), title))
    for name in FIGURES:
        values = {policy: getattr(arm, name) for policy, arm in figures.arms.items()}
        parts.append(_text(0, next(rows), name))
        greatest = max(values.values()) or 1.0
        for policy, value in values.items():
            parts.append(_bar(next(rows), policy, value, value / greatest))
    width = LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH
    height = (next(rows) + 1) * BAR_HEIGHT
    body = "\n".join(parts)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        f'font-family="sans-serif" font-size="12">\n{body}\n</svg>\n'
    )


def _text(x: float, row: int, text: str) -> str:
    y = (row + 0.8) * BAR_HEIGHT
    return f'<text x="{x:.0f}" y="{y:.0f}">{escape(text)}</text>'


def _bar(row: int, policy: str, value: float, share: float) -> str:
    width = share * BAR_WIDTH
    rect = (
        f'<rect x="{LABEL_WIDTH}" y="{row * BAR_HEIGHT + 2}" width="{width:.1f}" '
        f'height="{BAR_HEIGHT - 4}" fill="#4878a8"/>'
    )
    label = _text(16, row, policy)
    figure = _text(LABEL_WIDTH + width + 6, row, f"{value:.4g}")
    return f"{rect}{label}{figure}"
