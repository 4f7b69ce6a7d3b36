"""A deployment with its stand-ins as separate processes.

The system's own processes start no others; this is the harness around them,
which takes the place of the platform that would start them.
"""

import contextlib
import signal
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from lagoontide.bench.layout import make_fleet
from lagoontide.bench.processes import Fleet
from lagoontide.deployments import DEMO_OPERATOR_TOKEN

__all__ = ["run_fleet", "start_fleet"]


@contextlib.contextmanager
def start_fleet(deployment: str, seed: int, **options: Any) -> Iterator[Fleet]:
    """Run a deployment as processes for the length of a ``with`` block."""
    with tempfile.TemporaryDirectory(prefix="lagoontide-") as folder:
        fleet = make_fleet(deployment, seed, Path(folder), **options)
        try:
            fleet.start()
            yield fleet
        finally:
            fleet.stop()


def run_fleet(deployment: str, seed: int, first_port: int) -> int:
    """Run a deployment as processes until Ctrl-C and print where it answers."""
    with start_fleet(deployment, seed, first_port=first_port) as fleet:
        print(f"{len(fleet.processes)} processes; settings and logs: {fleet.folder}")
        for entry in fleet.entries.values():
            print(f"{entry.name}: callers at http://{entry.address}/v1/routes/ROUTE")
            print(f"  console at http://{entry.control}/ (token {DEMO_OPERATOR_TOKEN})")
        with contextlib.suppress(KeyboardInterrupt):
            signal.pause()
        print("stopping")
    return 0
