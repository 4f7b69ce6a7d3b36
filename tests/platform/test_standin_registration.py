"""What stand-ins of targets write to the store."""

import asyncio

import msgspec

from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.standins.store import StoreStandin
from lagoontide.platform.standins.targets import TargetStandin


# A target that left after a crash named its first start, as if another one had left.
def test_a_target_leaves_under_its_present_start():
    async def run():
        store = StoreStandin()
        target = TargetStandin("plain-0", "plain", restart_after=0.0, keeps_id=True)
        await target.start(store)
        target.crash()
        await asyncio.sleep(0.1)
        target.register(store, state="draining")
        entry = msgspec.json.decode(store.value_of(TARGETS_PREFIX + target.id))
        assert (entry["state"], entry["born"]) == ("draining", 2)
        await target.close()

    asyncio.run(run())
