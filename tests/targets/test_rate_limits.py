"""What is known of the rate limits that targets name."""

import pytest
from loguru import logger

from lagoontide.platform.fields import decode_rate_limit
from lagoontide.targets.rate_limits import RateLimits
from lagoontide.targets.records import Target, TargetState

TARGET = Target("t", "s", "h", 1, "z1", TargetState.READY, born=7)


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def log():
    lines = []
    handler = logger.add(lambda message: lines.append(message.record["message"]))
    yield lines
    logger.remove(handler)


@pytest.mark.parametrize(("text", "rate"), [("0", 0.0), ("1.6", 1.6), (" 20 ", 20.0)])
def test_a_decimal_number_is_a_limit(text, rate):
    assert decode_rate_limit([(b"server-limit", text.encode())]) == (rate, "")


@pytest.mark.parametrize(
    "text",
    [
        "",
        "nan",
        "inf",
        "-inf",
        "-1",
        "1e3",
        "9" * 400,
        "9" * 5000,
        "1,5",
        "\u0661",
        "x",
    ],
)
def test_anything_else_is_no_limit_and_no_error(text):
    fields = [(b"Server-Limit", text.encode("utf-8"))]
    rate, unreadable = decode_rate_limit(fields)
    assert rate is None
    assert unreadable


def test_a_limit_that_is_sent_twice_is_unreadable():
    fields = [(b"Server-Limit", b"1"), (b"server-limit", b"2")]
    assert decode_rate_limit(fields) == (None, "1, 2")


def test_a_limit_is_known_until_an_answer_without_it_and_each_change_is_logged(log):
    limits = RateLimits(Clock())
    limits.observe(TARGET, None)
    for rate in (2.0, 2.0, 1.5, None, None):
        limits.observe(TARGET, rate)
        assert limits.rate_of(TARGET) == rate
    assert log == [
        f"target names rate limit: {change}, from its response, 0.00 s ago"
        for change in (
            "2/s, before: none",
            "1.5/s, before: 2/s",
            "none, before: 1.5/s",
        )
    ]


def test_an_unreadable_limit_changes_nothing_and_is_logged_now_and_then(log):
    clock = Clock()
    limits = RateLimits(clock)
    limits.observe(TARGET, 2.0)
    for _ in range(10):
        limits.observe(TARGET, None, "nan")
    assert limits.rate_of(TARGET) == 2.0
    assert log[1:] == ["unreadable rate limit ignored: 'nan'"]
    clock.now += 6.0
    limits.observe(TARGET, None, "9" * 400)
    assert len(log) == 3
    assert len(log[2]) < 150


def test_a_target_that_started_again_has_no_limit():
    limits = RateLimits(Clock())
    limits.observe(TARGET, 2.0)
    again = Target("t", "s", "h", 1, "z1", TargetState.READY, born=8)
    assert limits.rate_of(again) is None
    limits.keep_only([again.key])
    assert limits.limited_targets == 0
