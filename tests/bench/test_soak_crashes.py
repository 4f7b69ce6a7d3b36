"""What the soak excuses while targets are down after a crash."""

import asyncio

import pytest

from lagoontide.bench.soak.checker import Changes, NamedLimit
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
        assert could_run(before, [target], Changes())
        assert not could_run(during, [target], Changes())

    asyncio.run(run())


# Requests counted as not served while all targets but one that takes one request in
# two seconds were down.
def test_requests_are_excused_while_only_a_limited_target_is_up():
    item = Asked("r0", KINDS[0], "key", 5.0)
    limited, other = (TargetStandin(f"plain-{n}", "plain") for n in range(2))
    changes = Changes(limits=[NamedLimit("plain-0", 0.5, 4.0)])
    assert could_run(item, [limited, other], changes)
    other.down.append((4.5, 6.0))
    assert not could_run(item, [limited, other], changes)
    changes.limits[0].until = 4.9
    assert could_run(item, [limited, other], changes)


# Requests counted as not served in the moment in which one target's limit began and
# entries had not heard that the other's had ended, though they may not guess that.
@pytest.mark.parametrize(
    ("sent_at", "is_excused"), [(5.05, True), (5.25, True), (5.45, False)]
)
def test_requests_are_excused_until_the_end_of_a_limit_is_known(sent_at, is_excused):
    item = Asked("r0", KINDS[0], "key", sent_at)
    limited, other = (TargetStandin(f"plain-{n}", "plain") for n in range(2))
    changes = Changes(limits=[NamedLimit("plain-0", 0.5, 5.0)])
    changes.unlimited_at["plain-1"] = 2.0
    other.arrived_at = [1.9, 5.1, 5.2]
    assert could_run(item, [limited, other], changes) is not is_excused
    # Without another limit that has just begun there is no such moment.
    changes.limits[0].since = 3.0
    assert could_run(item, [limited, other], changes)


# A target that gets nothing after the end of its limit is a fault of the entries.
def test_the_end_of_a_limit_excuses_requests_for_a_second_at_most():
    limited, other = (TargetStandin(f"plain-{n}", "plain") for n in range(2))
    changes = Changes(limits=[NamedLimit("plain-0", 0.5, 5.0)])
    changes.unlimited_at["plain-1"] = 2.0
    item = Asked("r0", KINDS[0], "key", 5.9)
    assert not could_run(item, [limited, other], changes)
    item.sent_at = 6.0
    assert could_run(item, [limited, other], changes)
