"""Time for which the tests' process had to wait for a processor."""

import threading
from pathlib import Path


def processor_wait():
    """Return the seconds for which this thread was ready to run, but did not.

    Other processes had the processors then. Without this count of the kernel it is 0.
    """
    path = Path(f"/proc/self/task/{threading.get_native_id()}/schedstat")
    try:
        return int(path.read_text().split()[1]) / 1e9
    except OSError:
        return 0.0
