"""Measure an entry beside crowds whose clients come again: a table in Markdown.

Usage: PYTHONPATH=.:src python tools/crowds.py CLIENTS [BEHAVIOUR ...]
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from tests.crowds.site import ENTRY_HOST, SMALLEST, run_site
from tests.crowds.test_returning_crowds import BEHAVIOURS, run_crowd

SEND_S = 5.0


async def measure(behaviour, clients):
    """Return a row: the peaks in MB, of what is occupied and resident, and requests."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with run_site(folder, SMALLEST) as site:
            served, asked = 0, 0
            with run_crowd(site.port, folder, behaviour, clients):
                until = asyncio.get_running_loop().time() + SEND_S
                while asyncio.get_running_loop().time() < until:
                    asked += 1
                    served += await site.is_served(f"beside-{asked}")
                    await asyncio.sleep(0.1)
            peaks = f"{site.most_occupied_mb:.0f} | {site.peak_mb():.0f}"
            return f"| {behaviour} | {peaks} | {served} of {asked} |"


def main():
    """Print the table."""
    clients, behaviours = int(sys.argv[1]), sys.argv[2:] or BEHAVIOURS
    print(f"{clients} clients at {ENTRY_HOST}, {SMALLEST.memory_mb} MB")
    print("| crowd | occupied, MB | resident, MB | ordinary requests served |")
    print("|---|---|---|---|")
    for behaviour in behaviours:
        print(asyncio.run(measure(behaviour, clients)), flush=True)


if __name__ == "__main__":
    main()
