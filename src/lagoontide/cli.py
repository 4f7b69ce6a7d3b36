"""The ``lagoontide`` command-line interface."""

import asyncio
import sys
from pathlib import Path

import fire

from lagoontide.arguments import check_flags, set_parsers
from lagoontide.bench.commands import BenchCommands
from lagoontide.configuration.commands import ConfigCommands
from lagoontide.errors import DocumentError, LagoontideError
from lagoontide.lifecycle import run_daemon
from lagoontide.logbook.commands import LogCommands
from lagoontide.report.commands import ReportCommands, WatchCommands
from lagoontide.standins.commands import StandinCommands

__all__ = ["main"]

EXIT_ERROR = 2


class Commands(WatchCommands):
    """A serving system for multi-stage model pipelines.

    Examples: ``lagoontide local --deployment=swanreach``,
    ``lagoontide entry --settings=entry.toml``,
    ``lagoontide config validate deployments/swanreach.toml``.
    """

    def __init__(self) -> None:
        self.bench = BenchCommands()
        self.config = ConfigCommands()
        self.logs = LogCommands()
        self.report = ReportCommands()
        self.standin = StandinCommands()

    def entry(self, settings: str) -> None:
        """Run an entry: ``lagoontide entry --settings=FILE``."""
        from lagoontide.entry.daemon import run_entry
        from lagoontide.settings import EntrySettings, load_settings

        cfg = load_settings(Path(settings), EntrySettings)
        sys.exit(run_daemon(run_entry(cfg)))

    def agent(self, settings: str) -> None:
        """Run an agent: ``lagoontide agent --settings=FILE``."""
        from lagoontide.agent.daemon import run_agent
        from lagoontide.settings import AgentSettings, load_settings

        cfg = load_settings(Path(settings), AgentSettings)
        sys.exit(run_daemon(run_agent(cfg)))

    def soak(
        self,
        seed: int = 1,
        seconds: float = 20.0,
        processes: int = 4,
        folder: str = "",
        silent_s: float = 0.0,
        releases: bool = False,
    ) -> None:
        """Run entries as processes under faults, and check the guarantees."""
        from lagoontide.bench.soak.run import run_soak

        sys.exit(run_soak(seed, seconds, processes, folder, silent_s, releases))

    def local(
        self,
        deployment: str = "swanreach",
        requests: int = 200,
        seed: int = 1,
        keep: bool = False,
        platform: bool = False,
    ) -> None:
        """Run a deployment in this process and send it requests.

        With ``--platform``, entries run as on the platform, against local stand-ins.
        """
        if platform:
            from lagoontide.platform.local import run_platform_locally

            sys.exit(asyncio.run(run_platform_locally(requests)))
        from lagoontide.deployments import load_deployment
        from lagoontide.local import run_local

        document = load_deployment(deployment)
        try:
            sys.exit(asyncio.run(run_local(document, requests, seed, keep)))
        except KeyboardInterrupt:
            print("stopped")


def main() -> None:
    """Run the command line; print errors to standard error and exit with code 2."""
    commands = Commands()
    groups = commands, *vars(commands).values(), commands.standin.platform
    for group in groups:
        set_parsers(type(group))
    try:
        check_flags(commands, sys.argv[1:])
        fire.Fire(commands, name="lagoontide")
    except DocumentError as exc:
        print("\n".join(map(str, exc.problems)), file=sys.stderr)
        sys.exit(EXIT_ERROR)
    except LagoontideError as exc:
        print(f"lagoontide: {exc}", file=sys.stderr)
        sys.exit(EXIT_ERROR)
