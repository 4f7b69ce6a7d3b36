"""Commands that run stand-ins of the platform as processes."""

import sys
from pathlib import Path

from lagoontide.lifecycle import run_daemon

__all__ = ["PlatformStandinCommands"]


class PlatformStandinCommands:
    """Stand-ins that speak the platform's protocols, each run as a process."""

    def store(self, listen: str, control: str = "", configuration: str = "") -> None:
        """Serve the store at ``--listen=IP:PORT``, with an initial configuration."""
        from lagoontide.platform.standins.process import run_store

        sys.exit(run_daemon(run_store(listen, control, configuration)))

    def target(
        self,
        listen: str,
        store: str,
        service: str,
        name: str = "target",
        control: str = "",
        events: int = 0,
        work: float = 0.005,
        domain: str = "z1",
    ) -> None:
        """Serve a replica of ``--service``; with ``--events`` it streams, as an engine.

        ``--work`` is the seconds for each request or, in a stream, for each event.
        """
        from lagoontide.platform.standins.process import run_target
        from lagoontide.platform.standins.targets import TargetStandin

        target = TargetStandin(name, service, work=work, events=events)
        sys.exit(run_daemon(run_target(target, listen, control, store, domain)))

    def settings(
        self,
        file: str,
        store: str,
        name: str = "entry",
        host: str = "127.0.0.1",
        seeds: str = "",
    ) -> None:
        """Write an entry's settings file; ``--seeds=IP:PORT,...`` are seed peers."""
        from lagoontide.platform.standins.settings import (
            ENTRY_PORTS,
            GRACE_S,
            write_settings,
        )

        others = [seed for seed in seeds.split(",") if seed]
        write_settings(Path(file), name, host, ENTRY_PORTS, store, others, GRACE_S)
