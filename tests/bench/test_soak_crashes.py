"""What the soak excuses while targets are down after a crash."""

import asyncio

from lagoontide.bench.soak.crashes import could_run
from lagoontide.bench.soak.records import KINDS, Asked
from lagoontide.platform.standins.store import StoreStandin
from lagoontide.platform.standins.targets import TargetStandin


# Requests counted as not served while the only target was down until the end.
def test_requests_are_excused_while_a_target_is_still_down_at_the_end():
    async def run():
        loop = asyncio.get_running_loop()
        target = TargetStandin("plain-0", "plain", restart_after=60.0)
        await target.start(StoreStandin())
        before = Asked("r0", KINDS[0], "key", loop.time())
        await asyncio.sleep(0.01)
        target.crash()
        await asyncio.sleep(0.01)
        during = Asked("r1", KINDS[0], "key", loop.time())
        await target.close()
        assert could_run(before, [target], {})
        assert not could_run(during, [target], {})

    asyncio.run(run())
