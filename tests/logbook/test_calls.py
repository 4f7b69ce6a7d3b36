"""Which target of a stage is slow, gone or short of work, from the logs alone."""

import pytest

from lagoontide.logbook.calls import describe_calls
from lagoontide.logbook.read import Line


def make_line(order, target, pieces=4, ms=300, expected_ms=300, waiting=0):
    fields = {
        "service": "s",
        "target": target,
        "pieces": pieces,
        "ms": ms,
        "expected_ms": expected_ms,
        "waiting": waiting,
    }
    return Line(str(order), order, "entry-1", "INFO", "pieces made", fields)


def rows(lines, **bounds):
    _, *found = describe_calls(lines, **bounds)
    return [row.split() for row in found]


def test_a_slow_target_stands_out_by_calls_and_by_expected_time():
    lines = [make_line(1.0 + n / 10, "a") for n in range(4)]
    lines.append(make_line(1.2, "b", ms=1200, waiting=30))
    assert rows(lines) == [
        ["s", "a", "4", "4.0", "0", "1.20", "1.00"],
        ["s", "b", "1", "4.0", "30", "1.20", "4.00"],
    ]


@pytest.mark.parametrize(
    ("orders", "bounds"),
    [
        ((0.5, 1.5, 2.5), {"since": "1.0", "until": "2.0"}),
        (("T10:00", "T10:01", "T10:02"), {"since": "T10:01", "until": "T10:01"}),
    ],
)
def test_only_calls_of_a_span_are_counted(orders, bounds):
    lines = [make_line(order, "a") for order in orders]
    assert rows(lines, **bounds)[0][2] == "1"


def test_other_lines_are_passed_over():
    line = Line("1", 1.0, "entry-1", "INFO", "target gone: entry deleted", {})
    assert rows([line]) == []


def test_a_bound_that_is_no_time_is_an_error():
    with pytest.raises(ValueError, match="noon"):
        rows([make_line(1.0, "a")], since="noon")
