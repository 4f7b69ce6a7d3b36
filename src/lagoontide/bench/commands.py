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

    def run(
        self,
        deployment: str = "swanreach",
        scenario: str = "steady",
        policy: str | tuple[str, ...] = ("default", "least-outstanding", "oracle"),
        seed: int = 1,
        seconds: float = 20.0,
        json: bool = False,
        out: str = "",
        clock: str = "virtual",
    ) -> None:
        """Compare policies under one scenario, with open-loop arrivals."""
        from lagoontide.bench.run import Experiment, run_bench

        policies = tuple(policy.split(",")) if isinstance(policy, str) else policy
        experiment = Experiment(deployment, scenario, policies, seed, seconds, clock)
        sys.exit(run_bench(experiment, json, out))

    def report(
        self,
        deployment: str = "swanreach",
        seed: int = 1,
        seconds: float = 12.0,
        json: bool = False,
        first_port: int = 21000,
    ) -> None:
        """Measure what the report costs; ``seconds`` of load for each arm."""
        from lagoontide.bench.report import run_report

        sys.exit(run_report(deployment, seed, seconds, json, first_port))

    def fleet(
        self, deployment: str = "swanreach", seed: int = 1, first_port: int = 21000
    ) -> None:
        """Run a deployment with stand-ins as separate processes until Ctrl-C."""
        from lagoontide.bench.fleet import run_fleet

        sys.exit(run_fleet(deployment, seed, first_port))
