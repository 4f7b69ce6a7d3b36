"""A server goes on after messages that are none."""

import asyncio
import contextlib
import threading

import pytest
import zmq

from lagoontide.membership.messages import Hello, Welcome
from lagoontide.protocol import make_protocol_codec
from lagoontide.scheduling.load import Load
from lagoontide.wire.conn import Identity, connect
from lagoontide.wire.server import bind
from tests.support.freezing import freeze

WELCOME = Welcome("i", "service", False, Load())
TIMEOUT_S = 30.0


async def _answer(peer, message, send):
    await send(WELCOME)


async def _send_rubbish_then_ask():
    with zmq.Context() as ctx:
        codec = make_protocol_codec()
        server = bind(ctx, "tcp://127.0.0.1:0", codec, Identity("agent"), _answer)
        raw = ctx.socket(zmq.DEALER)
        raw.connect(server.address)
        for frames in ([b""], [b"x"], [b"x", b"y"], [b"x"] * 5, [b"\xc1" * 100] * 2):
            raw.send_multipart(frames)
        conn = connect(ctx, server.address, codec, Identity("entry"))
        try:
            return await conn.ask(Hello(), TIMEOUT_S)
        finally:
            conn.close()
            raw.close(linger=0)
            server.close()


def test_rubbish_does_not_stop_a_server():
    assert asyncio.run(_send_rubbish_then_ask()) == WELCOME


@contextlib.contextmanager
def serve_in_thread(ctx, answer):
    """Run a server in an event loop of its own; return its address."""
    addresses, loops = [], []
    is_ready, is_over = threading.Event(), asyncio.Event()

    async def serve():
        server = bind(
            ctx, "tcp://127.0.0.1:0", make_protocol_codec(), Identity("agent"), answer
        )
        addresses.append(server.address)
        loops.append(asyncio.get_running_loop())
        is_ready.set()
        await is_over.wait()
        server.close()

    thread = threading.Thread(target=asyncio.run, args=(serve(),))
    thread.start()
    is_ready.wait()
    try:
        yield addresses[0]
    finally:
        loops[0].call_soon_threadsafe(is_over.set)
        thread.join()


# Guards against callers that are refused as a peer seems not to answer, while its
# answer is not read yet as this entry did not run (LOST).
@pytest.mark.parametrize("frozen", [0.5, 2.0])
def test_reply_that_arrives_while_this_entry_is_frozen_is_not_late(frozen):
    async def answer_late(peer, message, send):
        await asyncio.sleep(0.1)
        await send(WELCOME)

    async def ask(ctx, address):
        conn = connect(ctx, address, make_protocol_codec(), Identity("entry"))
        try:
            await conn.ask(Hello(), TIMEOUT_S)
            asyncio.get_running_loop().call_later(0.05, freeze, frozen)
            return await conn.ask(Hello(), 0.3)
        finally:
            conn.close()

    with zmq.Context() as ctx, serve_in_thread(ctx, answer_late) as address:
        assert asyncio.run(ask(ctx, address)) == WELCOME
