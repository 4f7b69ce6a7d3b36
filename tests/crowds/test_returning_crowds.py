"""Crowds whose clients come again once they are refused, against the smallest machine.

Unlike those of ``test_crowds`` they keep the entry busy with refusals and closings, and
what the kernel has received for the entry counts as memory.
"""

import asyncio
import contextlib
import subprocess
import sys

import pytest

from lagoontide.platform.standins.deployment import send
from tests.crowds.returning import Counts
from tests.crowds.site import ENTRY_HOST, SMALLEST, run_site

BEHAVIOURS = [
    "whole_body",
    "body_by_pieces",
    "large_chunks",
    "unfinished_chunk",
    "tiny_chunks",
    "chunk_extensions",
    "announced_over_limit",
    "sent_over_limit",
    "one_chunk_over_limit",
    "unread_answers",
    "pipelined",
    "endless_head",
    "waits_for_continue",
    "leaving",
    "idle_after_answer",
]
CLIENTS = 300
SEND_S = 6.0
# Beside clients with many requests on a connection, each caller waits for a few turns
# of the others.
MAX_TURNS = 4
PATIENCE_MS = 120_000


@contextlib.contextmanager
def run_crowd(port, folder, behaviour, clients):
    """Run a crowd for the duration of the block; yield its counts."""
    path = folder / "counts"
    words = [ENTRY_HOST, str(port), behaviour, str(clients), str(path)]
    command = [sys.executable, "-m", "tests.crowds.returning", *words]
    counts, process = Counts(path), subprocess.Popen(command)
    try:
        yield counts
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()


async def check_crowd(folder, behaviour, port_of=lambda site: site.port):
    async with run_site(folder, SMALLEST) as site:
        with run_crowd(port_of(site), folder, behaviour, CLIENTS) as counts:
            while not counts.connections:
                await asyncio.sleep(0.01)
            await asyncio.sleep(SEND_S)
            site.count_fds()
            await site.wait_until_served("beside")
        await site.wait_until_served("after")
        assert site.process.poll() is None
        assert site.peak_mb() <= SMALLEST.memory_mb
        assert site.most_occupied_mb <= SMALLEST.memory_mb
        assert site.most_fds <= SMALLEST.max_fds


# Guards against memory that grows with the number of clients that are refused.
@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_returning_crowd_leaves_the_entry_within_its_machine(tmp_path, behaviour):
    asyncio.run(check_crowd(tmp_path, behaviour))


# Guards against a port that has bounds of its own, beside those of callers.
@pytest.mark.parametrize("behaviour", ["whole_body", "sent_over_limit", "leaving"])
def test_crowd_at_the_port_for_readiness(tmp_path, behaviour):
    asyncio.run(check_crowd(tmp_path, behaviour, lambda site: site.ready_port))


async def check_turns(folder, behaviour):
    async with run_site(folder, SMALLEST, PATIENCE_MS) as site:
        with run_crowd(site.port, folder, behaviour, CLIENTS) as counts:
            while counts.answers < CLIENTS:
                await asyncio.sleep(0.01)
            before = counts.answers
            answer = await send(
                site.port,
                "/safe/a",
                "ordinary",
                host=ENTRY_HOST,
                deadline_ms=PATIENCE_MS,
            )
            assert answer.status == 200
            assert counts.answers - before <= MAX_TURNS * CLIENTS


# Guards against callers that wait until all requests of other connections are answered.
@pytest.mark.parametrize("behaviour", ["pipelined", "pipelined_to_no_route"])
def test_ordinary_caller_waits_for_a_few_turns_of_others(tmp_path, behaviour):
    asyncio.run(check_turns(tmp_path, behaviour))
