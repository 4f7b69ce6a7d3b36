"""A soak with its entries in this process."""

import random

from lagoontide.bench.soak.faults import Faults
from lagoontide.bench.soak.play import (
    KEYS,
    RELEASES_SEED_OFFSET,
    SILENCES_SEED_OFFSET,
    play,
)
from lagoontide.bench.soak.releases import KEPT_WITH_RELEASES, Releases
from lagoontide.bench.soak.result import SoakResult
from lagoontide.bench.soak.silences import Silences
from lagoontide.platform.standins.deployment import (
    make_targets,
    start_deployment,
    write_configuration,
)
from lagoontide.platform.standins.ports import HOST
from lagoontide.platform.standins.signals import SignallingTarget
from lagoontide.platform.standins.targets import TargetStandin

__all__ = ["soak_inside"]


async def soak_inside(
    seed: int,
    seconds: float,
    entries: int = 2,
    silent_s: float = 0.0,
    changes_versions: bool = False,
    has_releases: bool = False,
) -> SoakResult:
    """Run entries on stand-ins under faults, and return what was found.

    Parameters
    ----------
    silent_s : float
        Seconds with silent targets and configuration changes before the other faults.
    changes_versions : bool
        Whether targets that crash may start again at another version.
    has_releases : bool
        Whether versions are released in series; the entries stay.
    """
    async with start_deployment(
        entries, targets=make_targets(kind=SignallingTarget)
    ) as small:
        write_configuration(small.store, 2, KEYS)
        faults = Faults(
            small.store,
            small.store_endpoints,
            small.targets,
            (),
            random.Random(seed + 1),
            KEYS,
        )

        def addresses() -> list[tuple[str, int]]:
            return [(HOST, port) for port in small.ports]

        silences = Silences(
            addresses, faults, random.Random(seed + SILENCES_SEED_OFFSET)
        )
        releases = None
        if has_releases:
            faults.targets_kept = KEPT_WITH_RELEASES

            async def start(target: TargetStandin) -> None:
                await target.start(small.store)

            rng = random.Random(seed + RELEASES_SEED_OFFSET)
            releases = Releases(faults, rng, start)
        return await play(
            seed,
            seconds,
            addresses,
            faults,
            silences=silences,
            silent_s=silent_s,
            changes_versions=changes_versions,
            releases=releases,
        )
