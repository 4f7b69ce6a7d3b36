"""Commands that run the stand-ins as processes."""

import sys
from pathlib import Path

from lagoontide.lifecycle import run_daemon
from lagoontide.platform.standins.commands import PlatformStandinCommands

__all__ = ["StandinCommands"]


class StandinCommands:
    """Stand-ins of the platform and of targets, each as a process.

    Those of the group ``platform`` speak the protocol of the users' platform.
    """

    def __init__(self) -> None:
        self.platform = PlatformStandinCommands()

    def store(self, listen: str, control: str = "", document: str = "") -> None:
        """Serve a key-value store at ``--listen=IP:PORT``."""
        from lagoontide.standins.process import run_store

        path = Path(document) if document else None
        sys.exit(run_daemon(run_store(listen, control, path)))

    def instances(
        self, listen: str, file: str, control: str = "", lag: float = 2.0
    ) -> None:
        """Serve the list of instances of a JSON file, changes ``--lag`` s late."""
        from lagoontide.standins.process import run_instances

        sys.exit(run_daemon(run_instances(listen, control, Path(file), lag)))

    def target(
        self,
        listen: str,
        kind: str,
        name: str = "target",
        slots: int = 8,
        seed: int = 1,
        control: str = "",
        instant: bool = False,
    ) -> None:
        """Serve a target of ``--kind`` engine, encoder, retriever, reranker, plain."""
        from lagoontide.configuration.document import ServiceKind
        from lagoontide.standins.process import make_target, run_target

        async def run() -> int:
            target = make_target(name, ServiceKind(kind), slots, seed, instant=instant)
            return await run_target(target, listen, control)

        sys.exit(run_daemon(run()))
