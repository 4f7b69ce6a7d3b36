"""Memory and CPU of a process, as the system counts them."""

import gc
import os
from pathlib import Path

__all__ = ["cpu_seconds", "resident_bytes"]


def resident_bytes(pid: str = "self") -> int:
    """Return the resident memory of a process; of this one by default."""
    gc.collect()
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that all threads of a process have used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
