"""A connect is ended by its time limit although only this process was late.

``connect_tcp`` promises: "time in which this process did not run, or was late, is not
counted against it". Its timer notices a delay that lasts until it fires, and none that
ends just before. Here the event loop is held up from the moment at which a connect
begins; the peer has accepted it all the while. Shown, but no case: what follows is a
refusal with 503, of a request that has not run.

Run it with the project's interpreter; it exits with 1 if a connect timed out. With
``TROUBLE=0`` nothing holds the loop up.
"""

import asyncio
import os
import sys
import time

from lagoontide.http1.tcp import connect_tcp

TIMEOUT_S = 0.3
DELAYS_S = (0.15, 0.25, 0.3, 0.305, 0.31, 0.35, 0.45)
CONNECTS = 20
# What else the loop has to do, in each of its rounds.
ROUND_S = 0.004
PAUSE_S = 0.05
TROUBLE = os.environ.get("TROUBLE") != "0"


def hold_up(seconds):
    """Keep the event loop from running."""
    until = time.perf_counter() + seconds
    while time.perf_counter() < until:
        pass


async def load_loop():
    """Make each round of the event loop take some milliseconds."""
    while True:
        hold_up(ROUND_S)
        await asyncio.sleep(0)


async def count_timeouts(port, delay):
    """Connect some times, each beside a delay; return how often that timed out."""
    timeouts = 0
    for _ in range(CONNECTS):
        if TROUBLE:
            asyncio.get_running_loop().call_soon(hold_up, delay)
        try:
            (await connect_tcp("127.0.0.1", port, TIMEOUT_S)).abort()
        except TimeoutError:
            timeouts += 1
        await asyncio.sleep(PAUSE_S)
    return timeouts


async def main():
    """Connect beside each of the delays; return whether none timed out."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    load = asyncio.create_task(load_loop())
    total = 0
    for delay in DELAYS_S:
        timeouts = await count_timeouts(port, delay)
        total += timeouts
        print(f"loop held up for {delay} s: {timeouts} of {CONNECTS} timed out")
    load.cancel()
    server.close()
    return total == 0


sys.exit(0 if asyncio.run(main()) else 1)
