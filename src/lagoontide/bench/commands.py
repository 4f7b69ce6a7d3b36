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
        policy: str = "default,least-outstanding,oracle",
        seed: int = 1,
        seconds: float = 20.0,
        json: bool = False,
        out: str = "",
        clock: str = "virtual",
    ) -> None:
        """Compare policies under one scenario, with open-loop arrivals."""
        from lagoontide.bench.run import Experiment, run_bench

        policies = tuple(policy.split(","))
        experiment = Experiment(deployment, scenario, policies, seed, seconds, clock)
        sys.exit(run_bench(experiment, json, out))

    def logs(
        self,
        seconds: float = 10.0,
        rate: float = 40.0,
        turns: int = 5,
        seed: int = 1,
        folder: str = "",
    ) -> None:
        """Measure what the logs of an entry on the platform's stand-ins cost.

        The entry's logs are kept in ``--folder``.
        """
        import asyncio
        import tempfile
        from pathlib import Path

        from lagoontide.bench.logcost import run_log_cost

        kept = Path(folder or tempfile.mkdtemp(prefix="lagoontide-logs-"))
        kept.mkdir(parents=True, exist_ok=True)
        print(f"logs in {kept}")
        sys.exit(asyncio.run(run_log_cost(kept, seconds, rate, turns, seed)))

    def configuration(self, json: bool = False) -> None:
        """Measure what the document costs by its size."""
        from lagoontide.bench.configuration import run_configuration

        sys.exit(run_configuration(json))

    def campaign(
        self,
        deployment: str = "swanreach",
        seeds: int = 5,
        seconds: float = 15.0,
        workers: int = 4,
        out: str = "",
    ) -> None:
        """Run all scenarios with several seeds and print medians and targets."""
        from lagoontide.bench.campaign import run_campaign

        sys.exit(run_campaign(deployment, seeds, seconds, workers, out))

    def plot(self, source: str, out: str = "run.svg") -> None:
        """Draw the file that ``bench run --out=FILE`` wrote, as SVG."""
        from lagoontide.bench.plot import run_plot

        sys.exit(run_plot(source, out))

    def faults(
        self,
        deployment: str = "swanreach",
        seed: int = 1,
        seconds: float = 60.0,
        json: bool = False,
        first_port: int = 21000,
    ) -> None:
        """Kill, pause and break processes under load and check every promise."""
        from lagoontide.bench.faults import run_faults

        sys.exit(run_faults(deployment, seed, seconds, json, first_port))

    def claims(self, seconds: float = 4.0, json: bool = False) -> None:
        """Count writes to the store at 50, 500 and 5,000 keyed requests a second."""
        from lagoontide.bench.claims import run_claims

        sys.exit(run_claims(seconds, json))

    def decisions(self, seed: int = 1, json: bool = False) -> None:
        """Time single decisions of routing, scheduling and admission."""
        from lagoontide.bench.decisions import run_decisions

        sys.exit(run_decisions(seed, json))

    def choice(self, against: str, turns: int = 7, seed: int = 1) -> None:
        """Time the choice of a target, here and on the sources in ``--against``.

        It is the ``src`` folder of another worktree.
        """
        from pathlib import Path

        from lagoontide.bench.choice import run_choice

        sys.exit(run_choice(Path(against).resolve(), turns, seed))

    def capacity(
        self,
        deployment: str = "swanreach",
        seed: int = 1,
        json: bool = False,
        out: str = "",
    ) -> None:
        """Measure the slopes from which docs/CAPACITY.md is worked out."""
        from lagoontide.bench.capacity import run_capacity

        sys.exit(run_capacity(deployment, seed, json, out))

    def spread(
        self,
        deployment: str = "swanreach",
        seed: int = 1,
        nodes: str = "25,50,100,200",
        processes: str = "",
        routes: int = 0,
        accounts: int = 0,
        json: bool = False,
        out: str = "",
        first_port: int = 28000,
    ) -> None:
        """Measure how soon a change is in force and what spreading costs."""
        from lagoontide.bench.spread import SpreadPlan, run_spread

        plan = SpreadPlan(
            deployment, seed, str(nodes), str(processes), routes, accounts, first_port
        )
        sys.exit(run_spread(plan, json, out))

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
