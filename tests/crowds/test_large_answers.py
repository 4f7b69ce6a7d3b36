"""Long answers to many callers at once, against an entry with little memory."""

import asyncio
import contextlib

import pytest

from lagoontide.http1.client import InvalidResponse
from lagoontide.http1.messages import Response, ResponseHead
from lagoontide.platform.standins.deployment import send
from lagoontide.platform.standins.targets import TargetStandin
from tests.crowds.site import ENTRY_HOST, SMALLEST, TINY, run_site
from tests.support.waiting import wait_for

MAX_CONNS = 500
TIMEOUT_MS = 20_000
PART_BYTES = 64 << 10


class LongAnswers(TargetStandin):
    """Sends most of each long answer at once, and the rest once it may."""

    size = 900_000
    held = 0
    may_finish = False

    async def _send_response(self, req, reply, response_fields, fault):
        if not req.head.path.startswith(b"/once/long"):
            await reply.send(Response(200, response_fields, b"short"))
            return
        kind = type(self)
        await reply.start(ResponseHead(200, response_fields, length=kind.size))
        left = kind.size
        while left > PART_BYTES:
            await reply.send_data(bytes(PART_BYTES))
            left -= PART_BYTES
        kind.held += 1
        while not kind.may_finish:
            await asyncio.sleep(0.05)
        await reply.send_data(bytes(left))
        await reply.finish()


async def ask(site, number):
    """Return whether a caller gets its long answer whole."""
    with contextlib.suppress(OSError, TimeoutError, InvalidResponse):
        name = f"long-{number}"
        path = f"/once/long/{number}"
        answer = await send(
            site.port, path, name, host=ENTRY_HOST, deadline_ms=TIMEOUT_MS
        )
        return answer.status == 200 and len(answer.body) == LongAnswers.size
    return False


# Guards against a process that runs out of memory for answers that targets are still
# sending, or that has no room for ordinary requests beside them.
@pytest.mark.parametrize(
    ("machine", "callers", "size"),
    [
        (TINY, 30, 300_000),
        (TINY, 30, 900_000),
        (SMALLEST, 300, 300_000),
        (SMALLEST, 300, 900_000),
    ],
)
def test_long_answers_leave_the_entry_within_its_machine(
    tmp_path, machine, callers, size
):
    async def main():
        LongAnswers.size, LongAnswers.held, LongAnswers.may_finish = size, 0, False
        async with run_site(
            tmp_path, machine, TIMEOUT_MS, LongAnswers, MAX_CONNS
        ) as site:
            asked = [asyncio.create_task(ask(site, place)) for place in range(callers)]
            await wait_for(lambda: LongAnswers.held == callers, seconds=15.0)
            assert await site.is_served("beside")
            LongAnswers.may_finish = True
            assert all(await asyncio.gather(*asked))
            assert await site.is_served("after")
            assert site.peak_mb() <= machine.memory_mb

    asyncio.run(main())
