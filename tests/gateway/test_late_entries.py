"""Answers that arrive while their entry is frozen."""

import asyncio

import pytest

from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.targets import TargetStandin
from tests.support.freezing import freeze

DEADLINE_MS = 400


# Guards against callers that get 504 although the answer to their request has arrived,
# as their deadline passed while this entry did not run (LOST).
@pytest.mark.parametrize("frozen", [0.5, 2.0])
def test_answer_that_arrived_before_a_freeze_is_returned_after_the_deadline(
    monkeypatch, frozen
):
    send_response = TargetStandin._send_response

    async def send_and_freeze(*arguments):
        await send_response(*arguments)
        freeze(frozen)

    async def main():
        async with start_deployment() as small:
            monkeypatch.setattr(TargetStandin, "_send_response", send_and_freeze)
            return await send(small.ports[0], "/safe/a", "r1", deadline_ms=DEADLINE_MS)

    answer = asyncio.run(main())
    assert (answer.status, answer.body) == (200, b"done:x")
