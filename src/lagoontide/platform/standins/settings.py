"""Writes settings files in the platform's format."""

from pathlib import Path
from typing import Any

import msgspec

__all__ = ["ENTRY_PORTS", "GRACE_S", "write_settings"]

# Ports of every entry for callers, readiness checks and peers; each entry has an
# address of its own.
ENTRY_PORTS = (18601, 18602, 18603)
GRACE_S = 4.0


def write_settings(
    path: Path,
    name: str,
    host: str,
    ports: tuple[int, int, int],
    store: str,
    seeds: list[str],
    grace_s: float,
) -> None:
    """Write the settings file of one entry.

    Parameters
    ----------
    ports : tuple of int
        Ports for callers, readiness checks and peers, as in ENTRY_PORTS.
    store : str
        ``IP:PORT`` of the platform's store.
    """
    callers, ready, peers = ports
    data: dict[str, Any] = {
        "node": name,
        "ip": host,
        "zone": "z1",
        "listen": {
            "front": f"{host}:{callers}",
            "ready": f"{host}:{ready}",
            "control": f"{host}:{peers}",
        },
        "port_range": [7740, 7755],
        "seeds": seeds,
        "limits": {"cpu_share": 1.0, "cores": 1},
        "bounds": {"grace_s": grace_s, "retry_slack": 20},
        "platform": {"address": store, "ttl_min_ms": 1000},
    }
    path.write_bytes(msgspec.json.encode(data))
