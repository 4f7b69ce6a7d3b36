"""Simulated fleets under random, overlapping failures, with a check of invariants.

    python -m tests.mesh.test_seeds 100 40

runs the seeds 100 to 139. The checker is tested as well: it has to find a violation in
each variant of the code that lacks a guard (VARIANTS).
"""

import asyncio
import sys
from unittest import mock

import pytest

from lagoontide.mesh import relay
from lagoontide.mesh.relay import Relay, RelayReceiver
from lagoontide.store.follower import Follower
from lagoontide.store.revision_store import Revision
from tests.mesh.fleet import CONFIG_KEY, TARGET_PREFIX, Fleet
from tests.support.virtual import run_virtual

FLEET_SIZE = 40
STEPS = 30
STEP_S = 0.7
# Time after the last failure for all entries to reach the state of the store.
CONVERGENCE_S = 7.0
SEEDS = (1, 2, 3)
VARIANT_SEEDS = range(1, 13)


class FaultScenario:
    """One run of random failures during continuous changes of the store."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = fleet.rng
        self.rng.seed(seed)
        self.version = 1
        self.targets = []
        self.gone = set()

    def actions(self):
        return (
            self._kill,
            self._block_store,
            self._block_store,
            self._pause,
            self._partition,
            self._drop_history,
            self._lose_hubs,
        )

    async def run(self):
        for _ in range(STEPS):
            self._change()
            action = self.rng.choice(self.actions())
            asyncio.ensure_future(action(self.rng.uniform(0.5, 4.0)))
            await asyncio.sleep(STEP_S)
        await asyncio.sleep(5.0)
        self.fleet.cut = set()
        self._change()

    def _change(self):
        store = self.fleet.store
        self.version += 1
        store.put(CONFIG_KEY, str(self.version).encode())
        name = f"t{self.version}"
        self.targets.append(name)
        store.put(f"{TARGET_PREFIX}{name}", b"ready")
        if len(self.targets) > 6:
            left = self.targets.pop(self.rng.randrange(3))
            self.gone.add(left)
            if self.rng.random() < 0.5:
                store.put(f"{TARGET_PREFIX}{left}", b"leaving")
            store.delete(f"{TARGET_PREFIX}{left}")

    def _sample_names(self, share):
        names = sorted(self.fleet.entries)
        return self.rng.sample(names, max(1, int(share * len(names))))

    async def _kill(self, seconds):
        names = self._sample_names(self.rng.choice((0.05, 0.3)))
        for name in names:
            self.fleet.kill(name)
        await asyncio.sleep(seconds)
        for name in names:
            if name not in self.fleet.entries:
                self.fleet.start(name)

    async def _block_store(self, seconds):
        entries = [self.fleet.entries[name] for name in self._sample_names(0.35)]
        trouble = self.rng.choice(("refuses", "silent"))
        for entry in entries:
            entry.store_client.trouble = trouble
        await asyncio.sleep(2.0 * seconds)
        for entry in entries:
            if not entry.is_paused:
                entry.store_client.trouble = ""

    async def _pause(self, seconds):
        names = [
            n for n in self._sample_names(0.15) if not self.fleet.entries[n].is_paused
        ]
        for name in names:
            self.fleet.pause(name)
        await asyncio.sleep(seconds)
        for name in names:
            if name in self.fleet.entries:
                self.fleet.resume(name)

    async def _partition(self, seconds):
        one_way = self.rng.random() < 0.5
        inside = set(self._sample_names(0.3))
        for name in inside:
            for other in set(self.fleet.entries) - inside:
                self.fleet.cut.add((name, other))
                if not one_way:
                    self.fleet.cut.add((other, name))
        await asyncio.sleep(seconds)
        self.fleet.cut = set()

    async def _drop_history(self, seconds):
        self.fleet.store.drop_history()

    async def _lose_hubs(self, seconds):
        hubs = sorted(n for n, entry in self.fleet.entries.items() if entry.mesh.is_hub)
        for name in hubs[::2]:
            self.fleet.kill(name)
        await asyncio.sleep(seconds)
        for name in hubs[::2]:
            if name not in self.fleet.entries:
                self.fleet.start(name)


class RestoreScenario(FaultScenario):
    """The same with a store that is restored from copies."""

    def __init__(self, fleet, seed):
        super().__init__(fleet, seed)
        self.copies = []

    def actions(self):
        return (*super().actions(), self._restore, self._restore, self._restore)

    def _change(self):
        self.copies.append(self.fleet.store.copy())
        super()._change()

    async def _restore(self, seconds):
        store = self.fleet.store
        store.restore(self.copies[-min(len(self.copies), 1 + int(seconds / STEP_S))])
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        # The operator and the targets write again.
        store.put(CONFIG_KEY, str(self.version).encode())
        for name in self.targets:
            store.put(f"{TARGET_PREFIX}{name}", b"ready")
        for name in self.gone:
            store.delete(f"{TARGET_PREFIX}{name}")


def find_faults(scenario):
    """Return the violated invariants.

    Revisions and versions must not decrease. In the end all entries must agree on the
    live entries and have the state of the store.
    """
    fleet, faults = scenario.fleet, []
    for entry in fleet.all():
        for (as_of, version), (later, newer) in zip(
            entry.seen, entry.seen[1:], strict=False
        ):
            if later < as_of or newer < version:
                faults.append(f"{entry.name} went back to {later}, {newer}")
    lives = {frozenset(entry.mesh.live()) for entry in fleet.entries.values()}
    if lives != {frozenset(fleet.entries)}:
        faults.append(f"{len(lives)} lists of live entries")
    for entry in fleet.entries.values():
        if entry.version != scenario.version:
            faults.append(f"{entry.name} has {entry.version} of {scenario.version}")
        if back := entry.ready() & scenario.gone:
            faults.append(f"{entry.name} uses {back}, which left")
        if lacks := set(scenario.targets) - entry.ready():
            faults.append(f"{entry.name} does not know {lacks}")
    return faults


def run_seed(seed, make_scenario=FaultScenario):
    """Return the violations found with a seed."""

    async def main():
        fleet = Fleet(FLEET_SIZE, seed)
        await fleet.settle()
        scenario = make_scenario(fleet, seed)
        await scenario.run()
        await asyncio.sleep(CONVERGENCE_S)
        return find_faults(scenario)

    return run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_state_never_regresses_and_converges(seed):
    assert run_seed(seed) == []


# Guards against entries of a large fleet, many of them followers of hubs, that do not
# follow a store which goes back to a copy (incident CONFIG).
@pytest.mark.parametrize("seed", SEEDS)
def test_state_converges_over_restores(seed):
    assert run_seed(seed, RestoreScenario) == []


def receive_despite_gaps(self, peer, message):
    """Apply changes although changes before them are missing."""
    self._reports[peer] = relay._HubReport(
        self._clock(), message.as_of, message.age, message.uptime
    )
    self._on_report(self)
    if message.as_of > self._as_of():
        items = [relay.unpack(change) for change in message.changes]
        self._apply(items, message.as_of)


def always_fresh(self):
    return 0.0


def accept_any_revision(self, as_of):
    self.as_of = as_of
    self._must_list = False


def hide_discarded(self, name):
    """Claim that no changes are missing even if some were discarded."""
    known, at = self._followers[name]
    now = self._clock()
    message = relay.ChangeBatch(
        Revision(),
        self._as_of,
        now - self._store_heard_at,
        self._uptime() or 0.0,
        tuple(self._changes),
    )
    self._followers[name] = known, at
    self._send_message(name, message)


VARIANTS = {
    "gaps are not detected": (RelayReceiver, "receive", receive_despite_gaps),
    "stale hubs are trusted": (RelayReceiver, "response_age", always_fresh),
    "a hub hides discarded changes": (Relay, "_send", hide_discarded),
    "revisions may decrease": (Follower, "advance_to", accept_any_revision),
}


@pytest.mark.parametrize("variant", VARIANTS)
def test_checker_detects_removed_guards(variant):
    owner, name, replacement = VARIANTS[variant]
    with mock.patch.object(owner, name, replacement):
        assert any(run_seed(seed) for seed in VARIANT_SEEDS)


def main():
    """Run the seeds given on the command line."""
    first, number = map(int, sys.argv[1:])
    found = {seed: run_seed(seed) for seed in range(first, first + number)}
    broken = {seed: faults for seed, faults in found.items() if faults}
    for seed, faults in broken.items():
        print(f"seed {seed}: {faults[:5]}")
    print(f"{number} seeds, {len(broken)} with faults")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
