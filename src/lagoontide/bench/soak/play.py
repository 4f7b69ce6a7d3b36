"""The course of a soak, wherever its entries run."""

import asyncio
import random
from collections.abc import Callable

from lagoontide.bench.soak.callers import Address, Callers
from lagoontide.bench.soak.checker import check, check_new_route, share_served
from lagoontide.bench.soak.crashes import Crashes, check_crashes, could_run
from lagoontide.bench.soak.faults import Faults
from lagoontide.bench.soak.records import NEW_ROUTE_KINDS
from lagoontide.bench.soak.releases import Releases
from lagoontide.bench.soak.restores import Restores
from lagoontide.bench.soak.result import SoakResult
from lagoontide.bench.soak.signals import Signals, check_signals
from lagoontide.bench.soak.silences import Silences

__all__ = ["KEYS", "RELEASES_SEED_OFFSET", "SILENCES_SEED_OFFSET", "play"]

KEYS = ["key-one", "key-two", "key-three"]
RATE = 60.0
NEW_ROUTE_RATE = 10.0
CALM_S = 1.0
# Limits that are named in the calm time are broken, if at all, after they are known.
LIMITED_CALM_S = 3.0
# After the last fault a target that rested, or a peer that was lost, is back.
HEALED_S = 3.0
# Set the numbers drawn for crashes and restores apart from those of the other faults.
CRASHES_SEED_OFFSET = 1_000_000
RESTORES_SEED_OFFSET = 2_000_000
SILENCES_SEED_OFFSET = 3_000_000
RELEASES_SEED_OFFSET = 4_000_000
SIGNALS_SEED_OFFSET = 5_000_000


async def play(
    seed: int,
    seconds: float,
    addresses: Callable[[], list[Address]],
    faults: Faults,
    heal: Callable[[], None] = lambda: None,
    settle: float = 0.0,
    silences: Silences | None = None,
    silent_s: float = 0.0,
    changes_versions: bool = False,
    releases: Releases | None = None,
) -> SoakResult:
    """Send requests under faults, then some in calm seconds, and check all.

    Parameters
    ----------
    heal : callable
        Ends what ``faults`` does not end by itself.
    settle : float
        Seconds that entries which were started again need besides.
    silences : Silences, optional
        Runs first, for ``silent_s`` seconds.
    changes_versions : bool
        Whether targets start again at other versions.
    releases : Releases, optional
        Releases beside the other faults.
    """
    if silences is not None and silent_s:
        await silences.run(silent_s)
        await asyncio.sleep(settle)
    callers = Callers(addresses, list(KEYS), RATE, random.Random(seed))
    crashes = Crashes(
        addresses,
        faults.targets,
        faults.valid_keys,
        random.Random(seed + CRASHES_SEED_OFFSET),
        changes_versions=changes_versions,
    )
    restores = Restores(faults, random.Random(seed + RESTORES_SEED_OFFSET))
    signals = Signals(faults, random.Random(seed + SIGNALS_SEED_OFFSET))
    healed_at = asyncio.get_running_loop().time()
    await asyncio.gather(
        callers.run(seconds),
        faults.run(seconds),
        crashes.run(seconds),
        restores.run(seconds),
        signals.run(seconds),
        *([releases.run(seconds)] if releases is not None else []),
    )
    targets = [*faults.targets, *faults.removed]
    if faults.disturbs_entries:
        healed_at = asyncio.get_running_loop().time() + settle
    heal()
    faults.add_route()
    await asyncio.sleep(HEALED_S + settle)
    faults.limit_for_calm()
    signals.run_calm()
    calm = Callers(addresses, faults.valid_keys(), RATE, callers.rng, name="c")
    calm_at = asyncio.get_running_loop().time()
    # The route was added HEALED_S before, and all entries are undisturbed.
    added = Callers(
        addresses,
        faults.valid_keys(),
        NEW_ROUTE_RATE,
        random.Random(seed),
        "n",
        NEW_ROUTE_KINDS,
    )
    await asyncio.gather(
        calm.run(LIMITED_CALM_S),
        crashes.run_calm(LIMITED_CALM_S),
        added.run(LIMITED_CALM_S),
    )
    # Nobody is served while the only target of a service is down after a crash.
    servable = [item for item in calm.asked if could_run(item, targets, faults.changes)]
    first = [item for item in servable if item.sent_at < calm_at + CALM_S]
    callers.close()
    calm.close()
    added.close()
    asked = [*callers.asked, *calm.asked, *crashes.asked, *added.asked]
    asked += silences.asked if silences is not None else []
    return SoakResult(
        seed=seed,
        requests=len(asked),
        served=share_served(callers.asked),
        served_after=min(share_served(first), share_served(servable)),
        faults=len(faults.done) + crashes.crashed + restores.done,
        taken_up=sum(bool(item.resumes) for item in asked),
        crashing_runs=crashes.crashing_runs(targets),
        violations=[
            *check(asked, targets, faults.changes),
            *check_crashes(targets, healed_at),
            *check_signals(asked, targets, calm_at if faults.disturbs_entries else 0.0),
            *check_new_route(added.asked),
            *(silences.check() if silences is not None else ()),
        ],
    )
