"""Crowds of clients that keep to no limit, against an entry with little memory.

Nothing here depends on the speed of the machine: the process lives, its memory and
descriptors stay within its settings, and an ordinary request is answered.
"""

import asyncio
import contextlib

import pytest

from tests.crowds.clients import (
    CLOSED,
    Client,
    announced_over_limit,
    body_by_pieces,
    chunk_extensions,
    endless_head,
    large_chunks,
    one_chunk_over_limit,
    pipelined,
    sent_over_limit,
    silent,
    tiny_chunks,
    unfinished_chunk,
    unread_answers,
    waits_for_continue,
    whole_body,
)
from tests.crowds.site import ENTRY_HOST, MAX_FDS, MEMORY_MB, run_site

CLIENTS = 100
# How long a crowd sends; what it has not sent by then is held up by the entry.
SEND_S = 10.0


async def run_crowd(site, behave, clients):
    """Let clients behave so, and stay open; return them."""

    async def run(client, name):
        with contextlib.suppress(*CLOSED):
            await client.connect()
            await behave(client, name)

    crowd = [Client(ENTRY_HOST, site.port) for _ in range(clients)]
    tasks = [
        asyncio.create_task(run(client, f"crowd-{number}"))
        for number, client in enumerate(crowd)
    ]
    await asyncio.wait(tasks, timeout=SEND_S)
    site.count_fds()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return crowd


async def check_crowd(folder, behave, clients):
    async with run_site(folder) as site:
        crowd = await run_crowd(site, behave, clients)
        try:
            await site.wait_until_served("beside")
        finally:
            for client in crowd:
                client.close()
        await site.wait_until_served("after")
        assert site.process.poll() is None
        assert site.peak_mb() <= MEMORY_MB
        assert site.most_fds <= MAX_FDS


# Guards against a process that runs out of memory, descriptors or processor time for
# what clients send.
@pytest.mark.parametrize(
    ("behave", "clients"),
    [
        (whole_body, CLIENTS),
        (body_by_pieces, CLIENTS),
        (large_chunks, CLIENTS),
        (unfinished_chunk, CLIENTS),
        (tiny_chunks, CLIENTS),
        (chunk_extensions, CLIENTS),
        (announced_over_limit, CLIENTS),
        (sent_over_limit, CLIENTS),
        (one_chunk_over_limit, CLIENTS),
        (unread_answers, CLIENTS),
        (pipelined, CLIENTS),
        (endless_head, CLIENTS),
        (waits_for_continue, CLIENTS),
        (silent, 4 * CLIENTS),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
def test_crowd_leaves_the_entry_within_its_machine(tmp_path, behave, clients):
    asyncio.run(check_crowd(tmp_path, behave, clients))
