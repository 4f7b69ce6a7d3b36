"""The report as one HTML page that stands alone."""

from functools import cache
from pathlib import Path

import jinja2

from lagoontide.report.plots import HEIGHT, WIDTH, plot_misses, plot_spending
from lagoontide.report.summary import BurnReport
from lagoontide.report.text import format_age, format_rate, format_share

__all__ = ["render"]

TEMPLATE = Path(__file__).with_name("burn.html")


@cache
def _load_template() -> jinja2.Template:
    env = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    env.filters |= {"age": format_age, "rate": format_rate, "share": format_share}
    return env.from_string(TEMPLATE.read_text("utf-8"))


def render(report: BurnReport, refresh: int = 0) -> str:
    """Return the page; it loads nothing and asks to be reloaded if told to.

    Parameters
    ----------
    refresh : int
        Seconds until the browser loads it again; 0 for never.
    """
    return _load_template().render(
        report=report,
        refresh=refresh,
        series=plot_misses(report.points),
        spending=(
            ("Failure domains", plot_spending(report.failure_domains)),
            ("Targets", plot_spending(report.targets)),
            ("Stages", plot_spending(report.stages)),
        ),
        width=WIDTH,
        height=HEIGHT,
    )
