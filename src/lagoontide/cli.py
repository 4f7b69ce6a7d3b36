"""The command line."""

import asyncio
import sys
from pathlib import Path

import fire

from lagoontide.errors import DocumentError, LagoontideError

__all__ = ["main"]

EXIT_ERROR = 2


class StandinCommands:
    """Stand-ins of the platform and of targets, each as a process."""

    def store(self, listen: str, control: str = "", document: str = "") -> None:
        """Serve a key-value store at ``--listen=IP:PORT``."""
        from lagoontide.standins.process import run_store

        path = Path(document) if document else None
        sys.exit(asyncio.run(run_store(listen, control, path)))

    def instances(
        self, listen: str, file: str, control: str = "", lag: float = 2.0
    ) -> None:
        """Serve the list of instances of a JSON file, changes ``--lag`` s late."""
        from lagoontide.standins.process import run_instances

        sys.exit(asyncio.run(run_instances(listen, control, Path(file), lag)))

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

        sys.exit(asyncio.run(run()))


class BenchCommands:
    """Measurements."""

    def path(
        self,
        deployment: str = "swanreach",
        seed: int = 1,
        seconds: float = 5.0,
        json: bool = False,
    ) -> None:
        """Measure the overhead of a four-stage request with instant targets."""
        from lagoontide.bench.path import run_path

        sys.exit(run_path(deployment, seed, seconds, json))

    def fleet(self, deployment: str = "swanreach", seed: int = 1) -> None:
        """Run a deployment with stand-ins as separate processes until Ctrl-C."""
        from lagoontide.bench.fleet import run_fleet

        sys.exit(run_fleet(deployment, seed))


class ConfigCommands:
    """The configuration document."""

    def validate(self, file: str) -> None:
        """Check a document and print every problem in it."""
        from lagoontide.configuration.model import load_document

        document = load_document(Path(file))
        print(
            f"{file}: valid; {len(document.routes)} routes, "
            f"{len(document.services)} services, {len(document.accounts)} accounts"
        )


class Commands:
    """A serving system for multi-stage model pipelines.

    Examples: ``lagoontide local --deployment=swanreach``,
    ``lagoontide entry --settings=entry.toml``,
    ``lagoontide config validate deployments/swanreach.toml``.
    """

    def __init__(self) -> None:
        self.bench = BenchCommands()
        self.config = ConfigCommands()
        self.standin = StandinCommands()

    def entry(self, settings: str) -> None:
        """Run an entry: ``lagoontide entry --settings=FILE``."""
        from lagoontide.entry.daemon import run_entry
        from lagoontide.settings import EntrySettings, load_settings

        cfg = load_settings(Path(settings), EntrySettings)
        sys.exit(asyncio.run(run_entry(cfg)))

    def agent(self, settings: str) -> None:
        """Run an agent: ``lagoontide agent --settings=FILE``."""
        from lagoontide.agent.daemon import run_agent
        from lagoontide.settings import AgentSettings, load_settings

        cfg = load_settings(Path(settings), AgentSettings)
        sys.exit(asyncio.run(run_agent(cfg)))

    def local(
        self,
        deployment: str = "swanreach",
        requests: int = 200,
        seed: int = 1,
        keep: bool = False,
    ) -> None:
        """Run a deployment in this process and send it requests."""
        from lagoontide.deployments import load_deployment
        from lagoontide.local import run_local

        document = load_deployment(deployment)
        try:
            sys.exit(asyncio.run(run_local(document, requests, seed, keep)))
        except KeyboardInterrupt:
            print("stopped")


def main() -> None:
    """Run the command line; errors go to standard error with exit code 2."""
    try:
        fire.Fire(Commands, name="lagoontide")
    except DocumentError as exc:
        print("\n".join(exc.problems), file=sys.stderr)
        sys.exit(EXIT_ERROR)
    except LagoontideError as exc:
        print(f"lagoontide: {exc}", file=sys.stderr)
        sys.exit(EXIT_ERROR)
