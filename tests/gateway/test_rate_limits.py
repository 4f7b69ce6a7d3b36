"""Targets that name a rate limit, with entries and stand-ins in this process."""

import asyncio

import msgspec
import pytest

from lagoontide.http1.messages import field_value
from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.runs import TargetFault

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
            assert limits.limited_targets > 0
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


def test_the_end_of_a_limit_is_seen_by_all_entries():
    async def main():
        async with start_deployment(4) as small:
            limited = small.targets_of("plain")[0]
            limited.rate_limit = "0"
            await ask_for(small, 2.0, "/safe/a", [])
            ready = small.gateways[0].state.directory.ready("plain")
            target = next(item for item in ready if item.id == limited.id)
            known = [item.state.rate_limits.rate_of(target) for item in small.gateways]
            assert known == [0.0] * 4
            limited.rate_limit = ""
            # A limit of 0 still gets one request in 4 s.
            await ask_for(small, 6.0, "/safe/a", [])
            assert all(
                item.state.rate_limits.get(target) is None for item in small.gateways
            )
            before = len(limited.arrived_at)
            await ask_for(small, 1.0, "/safe/a", [])
            assert len(limited.arrived_at) - before > 5

    asyncio.run(main())


# Guards against requests that wait for their deadline although no limit admits them.
def test_requests_beyond_the_limits_of_all_targets_are_rejected_at_once():
    async def main():
        async with start_deployment(2) as small:
            for target in small.targets_of("plain"):
                target.rate_limit = "1"
            await ask_for(small, 2.0, "/safe/a", [])
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            answers = await asyncio.gather(
                *(send(small.ports[n % 2], "/safe/a", f"x{n}") for n in range(40))
            )
            rejected = [answer for answer in answers if answer.status == 503]
            assert len(rejected) >= 30
            assert len(rejected) + sum(item.status == 200 for item in answers) == 40
            for answer in rejected:
                assert 0.1 <= float(field_value(answer.fields, b"retry-after")) <= 0.7
            # Those that were admitted waited for a turn, at most a fifth of their time.
            assert loop.time() - started_at < 0.6

    asyncio.run(main())


def test_unreadable_limits_leave_answers_and_targets_as_they_are():
    async def main():
        async with start_deployment(1) as small:
            for target, text in zip(
                small.targets_of("plain"), ("nan", "-1", "9" * 400), strict=True
            ):
                target.rate_limit = text
            statuses = await ask_for(small, 1.0, "/safe/a", [])
            assert statuses.count(200) == len(statuses)
            assert all(target.arrived_at for target in small.targets_of("plain"))
            assert small.gateways[0].state.rate_limits.limited_targets == 0

    asyncio.run(main())


# Guards against stages that are never called again, as admission control takes a limit
# of 0 that has ended for a lack of targets (soak with processes, seed 216).
def test_stages_are_called_again_after_the_end_of_all_limits():
    async def main():
        async with start_deployment(2) as small:
            staged = [*STREAM, (b"X-Lagoontide-Pieces", b"2,3")]
            staged.append((b"X-Lagoontide-Piece-Key", b"k"))
            for target in small.targets_of("stage"):
                target.rate_limit = "0"
            await ask_for(small, 1.0, "/staged/a", staged)
            # Freeing the last results would show the end of the limit, too.
            await asyncio.sleep(2.5)
            for target in small.targets_of("stage"):
                target.rate_limit = ""
            await ask_for(small, 5.0, "/staged/a", staged)
            statuses = await ask_for(small, 1.0, "/staged/a", staged)
            assert statuses.count(200) >= 0.95 * len(statuses)

    asyncio.run(main())


# Guards against rejections for seconds when the limits of all targets have ended while
# the entries with a share have no callers (RECOVER, issue 31).
@pytest.mark.parametrize("path", ["/safe/a", "/events/a"])
@pytest.mark.parametrize("place", range(4))
def test_an_entry_without_a_share_finds_out_that_limits_have_ended(path, place):
    async def main():
        async with start_deployment(4) as small:
            targets = small.targets_of("plain" if path == "/safe/a" else "engine")
            for target in targets:
                target.rate_limit = "0"
            await ask_for(small, 1.0, path, STREAM)
            for target in targets:
                target.rate_limit = ""
            # No response confirms the limits any more, and nobody asks.
            await asyncio.sleep(6.0)
            statuses = []
            for number in range(20):
                port = small.ports[place]
                answer = await send(port, path, f"late{number}", extra=STREAM)
                statuses.append(answer.status)
                await asyncio.sleep(0.05)
            # RECOVER of the soak: nine in ten of the first calm second.
            assert statuses.count(200) >= 0.9 * len(statuses)

    asyncio.run(main())


# Guards against a surge on a target that has just started, over all entries (FAILBACK).
def test_entries_together_spare_a_target_that_is_cold():
    async def main():
        async with start_deployment(4) as small:
            services = [{"name": "plain", "max_conns": 50, "cold_per_s": 2.0}]
            small.configure(2, services=services)
            cold, *others = small.targets_of("plain")
            value = msgspec.json.decode(cold.entry("z1"))
            value |= {"cold_left_ms": 60_000, "born": 2}
            small.store.put(TARGETS_PREFIX + cold.id, msgspec.json.encode(value))
            await asyncio.sleep(CONTACT_S)
            since = asyncio.get_running_loop().time()
            statuses = await ask_for(small, 4.0, "/safe/a", [])
            times = [at for at in cold.arrived_at if at > since]
            most = max(
                sum(begin <= at < begin + 1.0 for at in times) for begin in times
            )
            assert most <= 1.5 * 2.0 + 5
            assert statuses.count(200) >= 0.95 * len(statuses)
            # It is warm: its share of the requests is that of the others again.
            value |= {"cold_left_ms": 0}
            small.store.put(TARGETS_PREFIX + cold.id, msgspec.json.encode(value))
            await asyncio.sleep(CONTACT_S)
            before = len(cold.arrived_at)
            await ask_for(small, 2.0, "/safe/a", [])
            # More than a cold target may get in this time.
            assert len(cold.arrived_at) - before > 1.5 * 2.0 * 2.0 + 5
            await ask_for(small, 4.0, "/safe/a", [])
            # The share of 15 in 80, over a time in which one entry that takes it for
            # slow for a moment does not decide.
            assert len(cold.arrived_at) - before > 3 * 15

    asyncio.run(main())
