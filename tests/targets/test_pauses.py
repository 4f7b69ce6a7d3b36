"""Pauses that targets ask for in their answers, as one entry keeps them."""

import pytest
from loguru import logger

from lagoontide.platform.fields import decode_pause
from lagoontide.targets.pauses import (
    MAX_PAUSE_S,
    RETURN_INTERVAL_S,
    RETURN_S,
    Pauses,
)
from lagoontide.targets.rate_limits import RateLimits
from lagoontide.targets.rate_shares import RateShares
from lagoontide.targets.records import Target, TargetState

TARGET = Target("t", "s", "h", 1, "z1", TargetState.READY, born=7)


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


def make_shares():
    clock = Clock()
    return clock, RateShares(RateLimits(clock), "e0", lambda: ("e0",), clock)


@pytest.mark.parametrize(
    ("text", "seconds"), [("1", 1.0), ("0.25", 0.25), (" 2.50 ", 2.5), ("007", 7.0)]
)
def test_a_decimal_number_above_0_is_a_pause(text, seconds):
    assert decode_pause(503, [(b"retry-after", text.encode())]) == seconds


@pytest.mark.parametrize(
    "text",
    [
        "",
        "0",
        "0.0",
        "-1",
        "+1",
        "nan",
        "inf",
        "1e3",
        "0x5",
        "1,5",
        "1 s",
        "Fri, 04 Dec 2026 10:00:00 GMT",
        "\u0661",
    ],
)
def test_anything_else_is_no_pause_and_no_error(text):
    assert decode_pause(503, [(b"Retry-After", text.encode("utf-8"))]) is None


def test_a_field_sent_twice_or_with_another_status_is_no_pause():
    fields = [(b"Retry-After", b"1")]
    assert decode_pause(503, fields * 2) is None
    assert decode_pause(503, []) is None
    for status in (200, 421, 429, 500, 502, 504):
        assert decode_pause(status, fields) is None


def test_nothing_may_be_sent_until_the_pause_is_over():
    clock, shares = make_shares()
    shares.limits.pauses.observe(TARGET, 2.0, "request")
    clock.now += 0.5
    assert shares.wait(TARGET) == pytest.approx(1.5)
    assert shares.admitting([TARGET]) == []
    assert not shares.take(TARGET)
    clock.now += 1.5
    assert shares.admitting([TARGET]) == [TARGET]
    assert shares.take(TARGET)


def test_the_latest_end_of_several_answers_wins_and_each_later_one_is_logged():
    lines = []
    handler = logger.add(lambda message: lines.append(message.record["message"]))
    clock, shares = make_shares()
    pauses = shares.limits.pauses
    for seconds in (2.0, 0.5, None, 3.0, 1.0):
        pauses.observe(TARGET, seconds, "request")
    logger.remove(handler)
    assert pauses.left(TARGET) == pytest.approx(3.0)
    assert (pauses.begun, pauses.count) == (1, 1)
    assert lines == [
        "target pauses for 2.00 s, says 503 to a request",
        "target pauses for 3.00 s, says 503 to a request",
    ]
    clock.now += 3.0
    pauses.observe(TARGET, 1.0, "stage call")
    assert pauses.begun == 2


@pytest.mark.parametrize("text", ["301", "9" * 400, "9" * 5000])
def test_longer_pauses_than_the_bound_end_with_it(text):
    _, shares = make_shares()
    seconds = decode_pause(503, [(b"Retry-After", text.encode())])
    shares.limits.pauses.observe(TARGET, seconds, "request")
    assert shares.wait(TARGET) == MAX_PAUSE_S


def test_a_target_comes_back_with_one_request_in_an_interval():
    clock, shares = make_shares()
    shares.limits.pauses.observe(TARGET, 1.0, "request")
    clock.now += 1.0
    sends = 0
    for _ in range(100):
        while shares.take(TARGET):
            sends += 1
            assert sends <= 1 + RETURN_S / RETURN_INTERVAL_S
        clock.now += RETURN_S / 101
    assert sends >= 0.8 * RETURN_S / RETURN_INTERVAL_S
    clock.now += RETURN_S
    assert all(shares.take(TARGET) for _ in range(100))


def test_a_later_start_does_not_pause():
    _, shares = make_shares()
    shares.limits.pauses.observe(TARGET, 1.0, "request")
    again = Target("t", "s", "h", 1, "z1", TargetState.READY, born=8)
    assert shares.wait(again) == 0.0


# Guards against a pause that is forgotten while the store does not list the target.
def test_a_pause_outlasts_a_gap_in_the_directory_and_is_dropped_at_its_end():
    clock, shares = make_shares()
    shares.limits.pauses.observe(TARGET, 1.0, "request")
    shares.limits.keep_only([])
    assert shares.wait(TARGET) == 1.0
    clock.now += 1.0 + RETURN_S
    shares.limits.keep_only([])
    assert shares.limits.is_empty


def test_a_pause_concerns_this_entry_alone():
    clock, shares = make_shares()
    shares.limits.observe(TARGET, 1.0)
    shares.limits.pauses.observe(TARGET, 9.0, "request")
    assert shares.share_wait(TARGET) == 1.0
    clock.now += 1.0
    assert shares.lend(TARGET)
    assert shares.limits.own_reports() == [("t", 7, 1.0, 1.0)]


def test_pauses_count_only_while_they_last():
    clock = Clock()
    pauses = Pauses(clock)
    pauses.observe(TARGET, 1.0, "request")
    assert pauses.count == 1
    clock.now += 1.0
    assert pauses.count == 0
    assert pauses.awake([TARGET]) == [TARGET]
