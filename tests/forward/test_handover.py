"""Timers of silent targets, and answers that arrive as they expire."""

import asyncio
import socket
from types import SimpleNamespace

import pytest

from lagoontide.forward.handover import StallTimer
from lagoontide.forward.unary import MAX_BUFFERED_BYTES, read_response
from lagoontide.http1.messages import ResponseHead
from lagoontide.http1.tcp import connect_tcp
from lagoontide.targets.choose import Choice
from lagoontide.targets.records import Target, TargetState
from tests.support.freezing import freeze

SUCCESSOR = Choice(Target("t1", "s", "h", 1, "z", TargetState.READY), 0.0, "test")


class FakeResponse:
    """A response whose long body begins once ``has_data`` is done."""

    def __init__(self, has_data):
        self.head = ResponseHead(200, length=2 * MAX_BUFFERED_BYTES)
        self.metadata = SimpleNamespace(is_encoded=False, is_sealed=True)
        self.target = SimpleNamespace(id="t0")
        self._has_data = has_data

    async def body(self, max_bytes):
        await self._has_data
        for _ in range(4):
            yield bytes(MAX_BUFFERED_BYTES // 2)
            await asyncio.sleep(0)

    def close(self, is_complete=False):
        pass


class FakeReply:
    """Counts the bytes of an answer; writes never wait."""

    may_buffer = True

    def __init__(self):
        self.is_started = False
        self.size = 0

    def account_for(self, size):
        pass

    async def start(self, head):
        self.is_started = True

    async def send_data(self, data):
        self.size += len(data)

    async def finish(self):
        pass


# Guards against long answers that break off as they begin in the same moment in which
# a successor is reserved (LOST).
@pytest.mark.parametrize("passes", range(6))
def test_long_answer_that_begins_as_its_timer_expires_is_whole_or_not_begun(
    passes,
):
    async def main():
        loop = asyncio.get_running_loop()
        has_data, reply, released = loop.create_future(), FakeReply(), []

        def reserve():
            return None if reply.is_started else SUCCESSOR

        try:
            async with asyncio.timeout(None) as wait:
                timer = StallTimer(wait, reserve, released.append)
                loop.call_soon(has_data.set_result, None)
                expire_after(loop, timer, passes)
                await read_response(FakeResponse(has_data), reply, timer)
        except TimeoutError:
            assert not reply.is_started
            assert released == []
        else:
            assert reply.size == 2 * MAX_BUFFERED_BYTES
            assert released in ([], [SUCCESSOR])

    asyncio.run(main())


def expire_after(loop, timer, passes):
    """Let a timer expire after some passes of the event loop."""
    if passes == 0:
        timer.start(0.0)
    else:
        loop.call_soon(expire_after, loop, timer, passes - 1)


# Guards against turns and retry budget that are lost for good with each caller that
# leaves in the moment in which its request is handed over.
def test_successor_is_given_back_if_the_caller_leaves_as_it_is_reserved():
    async def main():
        loop = asyncio.get_running_loop()
        wait, released = asyncio.timeout(None), []
        timer = StallTimer(wait, lambda: SUCCESSOR, released.append)

        async def send():
            try:
                async with wait:
                    timer.start(0.01)
                    try:
                        await loop.create_future()
                    finally:
                        timer.stop()
            finally:
                timer.close()

        sent = asyncio.ensure_future(send())
        while timer.successor is None:
            await asyncio.sleep(0)
        sent.cancel()
        await asyncio.wait([sent])
        assert sent.cancelled()
        assert released == [SUCCESSOR]

    asyncio.run(main())


def test_successor_is_kept_by_the_request_that_is_handed_over_to_it():
    async def main():
        wait, released = asyncio.timeout(None), []
        timer = StallTimer(wait, lambda: SUCCESSOR, released.append)
        with pytest.raises(TimeoutError):
            async with wait:
                timer.start(0.01)
                await asyncio.sleep(1.0)
        assert timer.handed_over(step="x", peer="t0").successor is SUCCESSOR
        timer.close()
        assert released == []

    asyncio.run(main())


# Guards against requests that are taken from sound targets, which are blamed for it, as
# this entry did not run: what the targets sent meanwhile is not read yet (LOST).
@pytest.mark.parametrize("frozen", [0.15, 0.5, 2.0])
@pytest.mark.parametrize("awake", [0.0, 0.05])
def test_request_stays_at_a_target_that_sent_bytes_while_this_entry_was_frozen(
    awake, frozen
):
    async def main(server):
        tcp = await connect_tcp(*server.getsockname(), 1.0)
        peer, _ = server.accept()
        reserved = []

        def reserve():
            reserved.append(SUCCESSOR)
            return SUCCESSOR

        def send_and_freeze():
            peer.sendall(b"event")
            freeze(frozen)

        with peer:
            async with asyncio.timeout(None) as wait:
                timer = StallTimer(wait, reserve, reserved.remove)
                timer.start(0.1)
                asyncio.get_running_loop().call_later(awake, send_and_freeze)
                assert await tcp.read() == b"event"
                timer.stop()
            tcp.close()
        assert reserved == []

    with socket.create_server(("127.0.0.1", 0)) as server:
        asyncio.run(main(server))


def test_silent_target_is_left_soon_after_this_entry_was_frozen():
    async def main():
        loop = asyncio.get_running_loop()
        wait = asyncio.timeout(None)
        timer = StallTimer(wait, lambda: SUCCESSOR, lambda choice: None)
        since = loop.time()
        with pytest.raises(TimeoutError):
            async with wait:
                timer.start(0.1)
                freeze(0.5)
                await asyncio.sleep(5.0)
        assert timer.handed_over(step="x", peer="t0").successor is SUCCESSOR
        assert loop.time() - since < 0.5 + 2 * 0.1

    asyncio.run(main())
