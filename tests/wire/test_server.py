"""A server goes on after messages that are none."""

import asyncio

import zmq

from lagoontide.membership.messages import Hello, Welcome
from lagoontide.protocol import make_protocol_codec
from lagoontide.scheduling.load import Load
from lagoontide.wire.conn import Identity, connect
from lagoontide.wire.server import bind

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
