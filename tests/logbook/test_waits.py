"""Who waits and who is refused, from the logs alone."""

import pytest

from lagoontide.logbook.read import Line
from lagoontide.logbook.waits import GROUPINGS, describe_waits

FORECAST = "in time: work 1.1 s, wait 0.5 s at stats, own share 1.0 s, late 1.2 s"
CHOICE = "t1 of 8: lower cost than home, cost 2e+03, load 1"


def ended(order=1.0, process="entry-1", **fields):
    fields = {"route": "r", "outcome": "streamed", "account": "a"} | fields
    return Line(str(order), order, process, "INFO", "request ended: x", fields)


def rows(lines, by="route", **bounds):
    _, *found = describe_waits(lines, by, **bounds)
    return [row.split() for row in found]


def test_route_that_waits_for_its_stages_stands_out():
    lines = [
        ended(timeline={"inputs": ms, "first_event": ms + 100})
        for ms in range(1000, 2100, 100)
    ]
    lines += [ended(route="s", outcome=outcome) for outcome in ("not_run", "cut")]
    assert rows(lines) == [
        ["r", "11", "11", "0", "0", "1500/1900", "100/100", "1600/2000"],
        ["s", "2", "0", "1", "1", "-", "-", "-"],
    ]


@pytest.mark.parametrize(
    ("by", "name"),
    [
        ("account", "a"),
        ("entry", "entry-1"),
        ("target", "t1"),
        ("reason", "lower"),
        ("verdict", "in"),
        ("bottleneck", "stats"),
    ],
)
def test_requests_are_grouped_by_what_decided(by, name):
    (row,) = rows([ended(choices=[FORECAST, CHOICE])], by)
    assert row[0] == name


@pytest.mark.parametrize("by", GROUPINGS)
@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"choices": ""},
        {"choices": ["odd"], "timeline": ""},
        {"choices": [None], "timeline": {"first_event": "x"}},
        {"route": None, "account": None, "outcome": None},
    ],
)
def test_odd_lines_are_counted(by, fields):
    (row,) = rows([ended(**fields)], by)
    assert "1" in row


def test_only_ended_requests_of_a_span_are_counted():
    lines = [ended(order) for order in (0.5, 1.5, 2.5)]
    lines.append(Line("1", 1.6, "entry-1", "INFO", "pieces made", {}))
    assert rows(lines, since="1.0", until="2.0")[0][1] == "1"


def test_unknown_grouping_is_an_error():
    with pytest.raises(ValueError, match="colour"):
        rows([], "colour")
