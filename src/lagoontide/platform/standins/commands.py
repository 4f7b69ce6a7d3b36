"""Commands that run the platform's stand-ins as processes."""

import sys
from pathlib import Path

from lagoontide.lifecycle import run_daemon

__all__ = ["PlatformStandinCommands"]


class PlatformStandinCommands:
    """Stand-ins that speak the platform's protocol, each as a process."""

    def store(self, listen: str, control: str = "", configuration: str = "") -> None:
        """Serve the store at ``--listen=IP:PORT``, with a first configuration."""
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
        """Serve a replica of ``--service``; ``--events`` makes it an engine.

        ``--work`` is in seconds for a request, or for each event of a stream.
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
        """Write the settings file of an entry; ``--seeds=IP:PORT,...`` are peers."""
        from lagoontide.platform.standins.settings import (
            ENTRY_PORTS,
            GRACE_S,
            write_settings,
        )

        others = [seed for seed in seeds.split(",") if seed]
        write_settings(Path(file), name, host, ENTRY_PORTS, store, others, GRACE_S)
