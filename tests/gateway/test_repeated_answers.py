"""Targets that send an answer a second time, late, before the next answer."""

import asyncio
from collections import Counter

import pytest

from lagoontide.errors import TargetUnreachable
from lagoontide.platform.directory import TARGETS_PREFIX
from lagoontide.platform.fields import NOT_RUN, REQUEST_ID, RESPONSE_SEAL
from lagoontide.platform.standins.deployment import send, start_deployment
from lagoontide.platform.standins.ports import HOST
from lagoontide.platform.standins.runs import encode_registration
from lagoontide.platform.standins.targets import TargetStandin
from lagoontide.targets.pool import ConnPool

WORK_S = 0.05
SLOTS = 64
REFUSALS = ((409, b"Conflict"), (503, b"Full"), (429, b"Busy"))


class RepeatingTarget(TargetStandin):
    """Refuses each request once; sends each refusal again before the next answer.

    Attributes
    ----------
    executed : Counter
        Executions of each request, by id.
    """

    def __init__(self, name, service, refusal):
        super().__init__(name, service)
        self.refusal = refusal
        self.refused = set()
        self.executed = Counter()

    async def start(self, store, zone="z1", born=1):
        self._raw = await asyncio.start_server(self._serve_raw, HOST, 0)
        self.address = f"{HOST}:{self._raw.sockets[0].getsockname()[1]}"
        entry = encode_registration(self.service, self.address, zone, SLOTS, born)
        store.put(TARGETS_PREFIX + self.id, entry)

    async def close(self):
        self._raw.close()

    async def _serve_raw(self, reader, writer):
        owed = b""
        try:
            while True:
                fields = parse(await reader.readuntil(b"\r\n\r\n"))
                await reader.readexactly(int(fields.get(b"content-length", 0)))
                request_id = fields[REQUEST_ID.lower()]
                writer.write(owed)
                owed = b""
                if request_id in self.refused:
                    self.executed[request_id] += 1
                    await asyncio.sleep(WORK_S)
                    writer.write(answer(request_id, b"200 OK", RESPONSE_SEAL))
                else:
                    self.refused.add(request_id)
                    status = b"%d %s" % self.refusal
                    owed = answer(request_id, status, NOT_RUN)
                    writer.write(owed)
                await writer.drain()
        except (OSError, EOFError):
            writer.close()


def parse(head):
    lines = head.rstrip(b"\r\n").split(b"\r\n")[1:]
    pairs = (line.partition(b":") for line in lines)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def answer(request_id, status, mark):
    body = b"id: 1\ndata: a\n\n"
    fields = (
        b"HTTP/1.1 " + status,
        REQUEST_ID + b": " + request_id,
        mark + b": 1",
        b"Content-Length: %d" % len(body),
    )
    return b"\r\n".join(fields) + b"\r\n\r\n" + body


# Guards against a second execution of a request that may run once: a late second copy
# of its refusal was taken for the answer to its next send on the same connection.
@pytest.mark.parametrize("refusal", REFUSALS, ids=str)
def test_late_copy_of_a_refusal_is_no_answer_to_the_next_send(refusal):
    async def main():
        stages = [TargetStandin(f"stage-{place}", "stage") for place in range(2)]
        target = RepeatingTarget("eng-0", "engine", refusal)
        async with start_deployment(1, targets=[target, *stages]) as small:
            fields = [(b"X-Lagoontide-Pieces", b"1,1")]
            fields.append((b"X-Lagoontide-Piece-Key", b"key"))
            answers = [
                await send(small.ports[0], "/staged/a", f"r{place}", extra=fields)
                for place in range(8)
            ]
        ran = [place for place in range(8) if target.executed[b"r%d" % place]]
        assert max(target.executed.values(), default=0) <= 1
        # A refusal as its inputs are gone is followed by a second send there.
        assert ran == (list(range(8)) if refusal[0] == 409 else [])
        assert [item.status for item in answers] == (
            [200] * 8 if refusal[0] == 409 else [503] * 8
        )

    asyncio.run(main())


async def count_connections(use, max_open=4):
    """Return the number of connections that a target has accepted in all."""
    accepted = []
    server = await asyncio.start_server(lambda *pair: accepted.append(pair), HOST, 0)
    pool = ConnPool("t", *server.sockets[0].getsockname()[:2], max_open)
    try:
        await use(pool)
        await asyncio.sleep(0.02)
        return len(accepted)
    finally:
        pool.close()
        server.close()
        for _, writer in accepted:
            writer.close()


# Guards against sends whose answer cannot be told from that to an earlier send.
def test_connection_carries_a_request_once():
    async def use(pool):
        first = await pool.acquire(1.0, request_id="a")
        pool.release(first, is_reusable=True)
        assert await pool.acquire(1.0, request_id="b") is first
        pool.release(first, is_reusable=True)
        second = await pool.acquire(1.0, request_id="a")
        assert second is not first
        pool.release(second, is_reusable=True)
        # Other requests use the idle connections still.
        assert await pool.acquire(1.0, request_id="c") is second
        assert await pool.acquire(1.0, request_id="d") is first

    assert asyncio.run(count_connections(use)) == 2


# Guards against more connections than a target accepts from this entry.
def test_idle_connection_that_has_carried_the_request_makes_room_for_a_new_one():
    async def use(pool):
        first = await pool.acquire(1.0, request_id="a")
        pool.release(first, is_reusable=True)
        second = await pool.acquire(1.0, request_id="a")
        assert second is not first
        assert first.tcp.is_lost or first.tcp.transport.is_closing()
        with pytest.raises(TargetUnreachable):
            await pool.acquire(1.0, request_id="b")

    assert asyncio.run(count_connections(use, max_open=1)) == 2
