"""Which connections are given up when callers occupy too much."""

import asyncio

import pytest

from lagoontide.http1.holdings import (
    CONN_BYTES,
    COPIES,
    KERNEL_FACTOR,
    MIN_CONNECTIONS,
    MIN_HELD_BYTES,
    RESERVED_BYTES,
    SMALL_BYTES,
    ConnLimits,
    Holdings,
    Phase,
    make_conn_limits,
)
from tests.support.virtual import run_virtual

LIMIT = 1000 * SMALL_BYTES
LARGE = 300 * SMALL_BYTES


class Crowd:
    """Connections by name, and the names of those that were given up."""

    def __init__(self, limit=LIMIT):
        self.holdings = Holdings(ConnLimits(limit, 10))
        self.given_up = []

    def add(self, name, size=0, phase=Phase.REQUEST):
        holding = self.holdings.add(lambda _: self.given_up.append(name))
        holding.phase = phase
        if size:
            holding.receive(size)
        return holding


def play(scenario):
    async def main():
        await scenario(Crowd())

    run_virtual(main())


def test_the_oldest_of_equal_connections_is_given_up():
    async def scenario(crowd):
        for name in "abc":
            crowd.add(name, LARGE)
            await asyncio.sleep(1.0)
        crowd.add("d", LARGE)
        assert crowd.given_up == ["a"]
        assert crowd.holdings.held == 3 * LARGE

    play(scenario)


def test_the_largest_of_new_connections_is_given_up():
    async def scenario(crowd):
        crowd.add("a", LARGE // 2)
        crowd.add("b", 2 * LARGE)
        crowd.add("c", LARGE)
        assert crowd.given_up == ["b"]

    play(scenario)


# Guards against an answer that a target has made and that is thrown away.
def test_request_that_waits_for_its_answer_is_left_alone():
    async def scenario(crowd):
        crowd.add("a", 3 * LARGE, Phase.ANSWER)
        await asyncio.sleep(10.0)
        crowd.add("b", LARGE)
        assert crowd.given_up == ["b"]

    play(scenario)


# Guards against ordinary requests that are refused for a few large ones.
def test_small_request_is_read_while_large_ones_take_all_room():
    async def scenario(crowd):
        crowd.add("a", LIMIT, Phase.ANSWER)
        crowd.add("b", SMALL_BYTES)
        assert crowd.given_up == []
        for number in range(300):
            crowd.add(f"c{number}", SMALL_BYTES)
        assert crowd.given_up
        assert crowd.holdings.held <= 1.25 * LIMIT

    play(scenario)


# Guards against a refusal of a request within all limits that exceeds the bound alone.
def test_request_that_is_alone_is_read_whatever_its_size():
    async def scenario(crowd):
        holding = crowd.add("a", 2 * LIMIT)
        crowd.add("idle")
        assert crowd.given_up == []
        holding.close()
        assert crowd.holdings.held == 0

    play(scenario)


def test_reader_that_takes_no_bytes_is_given_up_before_one_that_does():
    async def scenario(crowd):
        slow, stuck = (
            crowd.add(name, phase=Phase.READER) for name in ("slow", "stuck")
        )
        slow.set_unsent(LARGE)
        stuck.set_unsent(LARGE)
        await asyncio.sleep(5.0)
        slow.set_unsent(LARGE - 1)
        crowd.add("new", 2 * LARGE)
        assert crowd.given_up == ["stuck"]

    play(scenario)


# Guards against memory that nobody counts while a refusal is sent.
def test_what_comes_after_a_connection_is_given_up_is_accounted_for():
    async def scenario(crowd):
        holding = crowd.add("a", LARGE)
        holding.set_buffered(5)
        holding.give_up()
        assert (crowd.holdings.held, crowd.given_up) == (0, ["a"])
        holding.receive(7)
        holding.set_unsent(7)
        assert (crowd.holdings.held, len(crowd.holdings)) == (14, 1)
        assert not crowd.holdings.give_up_one()
        holding.start_closing()
        assert crowd.holdings.held == 7
        assert crowd.holdings.give_up_one()
        assert (crowd.holdings.held, crowd.given_up) == (0, ["a", "a"])

    play(scenario)


def test_nothing_is_accounted_for_after_the_end():
    async def scenario(crowd):
        holding = crowd.add("a", LARGE)
        holding.close()
        holding.receive(7)
        holding.set_buffered(7)
        holding.set_unsent(7)
        assert (crowd.holdings.held, crowd.given_up) == (0, [])
        assert len(crowd.holdings) == 0
        assert not crowd.holdings.give_up_one()

    play(scenario)


MACHINES = [(160, 1638), (160, 4100), (200, 4100), (300, 4100), (552, 8192)]


# Guards against bounds that count the bytes of bodies, but not the connections.
@pytest.mark.parametrize(("memory_mb", "descriptors"), MACHINES)
def test_all_that_connections_may_occupy_fits_into_the_machine(memory_mb, descriptors):
    limits = make_conn_limits(memory_mb << 20, descriptors)
    in_kernel = KERNEL_FACTOR * limits.receive_buffer
    for connections in (0, 1, limits.connections // 2, limits.connections):
        occupied = RESERVED_BYTES + limits.accept_queue * in_kernel
        occupied += connections * (CONN_BYTES + in_kernel)
        occupied += COPIES * limits.held_bytes_beside(connections)
        assert occupied <= (memory_mb << 20) + COPIES * connections


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "held_mb", "connections"),
    [(160, 1638, 19, 627), (552, 8192, 94, 3520), (300, 4100, 44, 1504)],
)
def test_limits_follow_the_machine(memory_mb, descriptors, held_mb, connections):
    limits = make_conn_limits(memory_mb << 20, descriptors)
    assert (limits.held_bytes >> 20, limits.connections) == (held_mb, connections)


def test_a_small_machine_has_room_for_some_requests():
    limits = make_conn_limits(1, 1)
    assert limits.connections == MIN_CONNECTIONS
    assert limits.held_bytes_beside(MIN_CONNECTIONS) == MIN_HELD_BYTES


# Guards against answers in progress that take all the room, as their requests cannot be
# given up, and crowd out ordinary ones.
def test_answers_are_kept_only_within_their_share():
    async def scenario(crowd):
        answers = [crowd.add(name, 0, Phase.ANSWER) for name in "abcdef"]
        kept = 0
        for holding in answers:
            if holding.may_buffer and crowd.holdings.has_room_for_answers:
                holding.set_buffered(LARGE)
                kept += 1
        assert kept == 2
        assert not answers[0].may_buffer
        answers[5].set_buffered(SMALL_BYTES)
        assert answers[5].may_buffer
        crowd.add("ordinary", LARGE // 3)
        assert crowd.given_up == []
        answers[0].close()
        answers[1].set_buffered(0)
        answers[5].give_up()
        assert crowd.holdings.buffered == 0
        assert answers[2].may_buffer

    play(scenario)
