"""Commands that measure."""

import sys

__all__ = ["BenchCommands"]


class BenchCommands:
    """Measurements."""

    def path(
        self,
        deployment: str = "swanreach",
        seed: int = 1,
        seconds: float = 5.0,
        json: bool = False,
        first_port: int = 21000,
    ) -> None:
        """Measure the overhead of a four-stage request with instant targets."""
        from lagoontide.bench.path import run_path

        sys.exit(run_path(deployment, seed, seconds, json, first_port))

    def fleet(
        self, deployment: str = "swanreach", seed: int = 1, first_port: int = 21000
    ) -> None:
        """Run a deployment with stand-ins as separate processes until Ctrl-C."""
        from lagoontide.bench.fleet import run_fleet

        sys.exit(run_fleet(deployment, seed, first_port))
