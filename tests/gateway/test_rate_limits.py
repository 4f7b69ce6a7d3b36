"""Targets that name a rate limit, with entries and stand-ins in this process."""

import asyncio

import pytest

from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.targets import TargetFault

CONTACT_S = 1.0
WINDOW_S = 4.0
SECONDS = 6.0
REQUESTS_PER_S = 40.0
STREAM = [(b"X-Lagoontide-Token-Counts", b"1200,6")]


@pytest.mark.parametrize(
    ("path", "service", "fault"),
    [
        ("/safe/a", "plain", TargetFault.NONE),
        ("/safe/a", "plain", TargetFault.FULL),
        ("/safe/a", "plain", TargetFault.FAILS),
        ("/events/a", "engine", TargetFault.NONE),
        ("/events/a", "engine", TargetFault.STALLS),
        ("/staged/a", "stage", TargetFault.NONE),
    ],
)
def test_a_limit_is_read_from_answers_refusals_errors_and_heads_of_streams(
    path, service, fault
):
    async def main():
        async with start_deployment(1) as small:
            for target in small.targets_of(service):
                target.rate_limit = "3.5"
                target.fault, target.faults_left = fault, 9
                target.events_before_fault = 0
            extra = [*STREAM, (b"X-Lagoontide-Pieces", b"2,3")]
            extra.append((b"X-Lagoontide-Piece-Key", b"k"))
            sent = asyncio.ensure_future(
                send(small.ports[0], path, "r1", extra=extra, deadline_ms=600)
            )
            await asyncio.sleep(0.4)
            limits = small.gateways[0].state.rate_limits
            assert len(limits) > 0
            ready = small.gateways[0].state.directory.ready(service)
            assert {limits.rate_of(target) for target in ready} <= {3.5, None}
            sent.cancel()

    asyncio.run(main())


def most_in_a_window(times, since):
    """Return the largest number of times in WINDOW_S, after a time."""
    late = sorted(at for at in times if at > since)
    return max(
        (sum(begin <= at < begin + WINDOW_S for at in late) for begin in late),
        default=0,
    )


async def ask_for(small, seconds, path, extra):
    """Send requests to all entries at a steady rate; return the statuses."""
    tasks = []
    for number in range(int(seconds * REQUESTS_PER_S)):
        port = small.ports[number % len(small.ports)]
        tasks.append(asyncio.ensure_future(send(port, path, f"r{number}", extra=extra)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    return [answer.status for answer in await asyncio.gather(*tasks)]


# Guards against targets that get more than the rate limit that they named, summed over
# all entries (incident LIMIT; RULES: one and a half times the limit, and 5 requests).
@pytest.mark.parametrize(
    ("path", "service", "rate"),
    [
        ("/safe/a", "plain", 1.0),
        ("/once/a", "plain", 0.0),
        ("/events/a", "engine", 1.6),
        ("/staged/a", "stage", 1.0),
    ],
)
def test_entries_together_keep_to_the_rate_that_a_target_names(path, service, rate):
    async def main():
        async with start_deployment(4) as small:
            limited, *others = small.targets_of(service)
            limited.rate_limit = f"{rate:g}"
            extra = [*STREAM, (b"X-Lagoontide-Pieces", b"2,3")]
            extra.append((b"X-Lagoontide-Piece-Key", b"k"))
            since = asyncio.get_running_loop().time() + CONTACT_S
            statuses = await ask_for(small, SECONDS, path, extra)
            most = most_in_a_window(limited.arrived_at, since)
            assert most <= 1.5 * rate * WINDOW_S + 5
            assert len(limited.arrived_at) > 0
            assert sum(len(target.arrived_at) for target in others) > 100
            assert statuses.count(200) >= 0.95 * len(statuses)

    asyncio.run(main())
