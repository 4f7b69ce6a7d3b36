"""Targets that name a rate limit, with entries and stand-ins in this process."""

import asyncio

import pytest

from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.targets import TargetFault

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
