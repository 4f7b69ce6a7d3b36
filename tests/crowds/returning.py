"""A crowd in a process of its own, whose clients come again once they are refused.

Usage: python -m tests.crowds.returning HOST PORT BEHAVIOUR CLIENTS COUNTS

COUNTS is a file for the numbers of its connections and of the answers that it reads.
"""

import asyncio
import contextlib
import mmap
import struct
import sys
from pathlib import Path

from tests.crowds import clients
from tests.crowds.clients import CLOSED, Client

# A crowd ends by itself, should the test that started it be gone.
MAX_S = 150.0
# What one client may keep up for the whole time.
MAX_ROUNDS = 2000
PAUSE_S = 0.01
UNREAD = {"unread_answers", "leaving", "silent"}
STATUS_LINE = b"HTTP/1.1 "


class Counts:
    """Numbers in a file that another process reads."""

    FORMAT = struct.Struct("<qq")

    def __init__(self, path):
        path.touch()
        with path.open("r+b") as file:
            file.truncate(self.FORMAT.size)
            self._map = mmap.mmap(file.fileno(), self.FORMAT.size)

    def add(self, connections=0, answers=0):
        new = self.connections + connections, self.answers + answers
        self._map[:] = self.FORMAT.pack(*new)

    @property
    def connections(self):
        return self.FORMAT.unpack(self._map)[0]

    @property
    def answers(self):
        return self.FORMAT.unpack(self._map)[1]


async def read_answers(client, counts):
    """Count answers until the connection ends."""
    tail = b""
    with contextlib.suppress(*CLOSED):
        while data := await client.read():
            data = tail + data
            counts.add(answers=data.count(STATUS_LINE))
            # Too short for a whole line, which has been counted.
            tail = data[1 - len(STATUS_LINE) :]


async def run_client(address, behave, name, counts):
    """Connect, send and stay until the connection ends; then come again."""
    for turn in range(MAX_ROUNDS):
        client, tasks = Client(*address), []
        with contextlib.suppress(*CLOSED):
            await client.connect()
            counts.add(connections=1)
            tasks.append(asyncio.create_task(behave(client, f"{name}-{turn}")))
            if behave.__name__ in UNREAD:
                await tasks[0]
            else:
                # What is left when the entry refuses or closes is not sent.
                await read_answers(client, counts)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        client.close()
        await asyncio.sleep(PAUSE_S)


async def main():
    host, port, behaviour, number, path = sys.argv[1:]
    behave, counts = getattr(clients, behaviour), Counts(Path(path))
    runs = (
        run_client((host, int(port)), behave, f"crowd-{place}", counts)
        for place in range(int(number))
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(MAX_S):
            await asyncio.gather(*runs)


if __name__ == "__main__":
    asyncio.run(main())
