"""Calls to a stage target whose answers arrive while this entry is frozen."""

import asyncio
import socket

import pytest

from lagoontide.pieces.hedging import make_hedged
from lagoontide.pieces.records import Piece, PieceResult
from lagoontide.platform.pieces import PlatformPieceClient
from lagoontide.targets.pool import ConnPool
from lagoontide.targets.records import Target, TargetState
from tests.support.freezing import freeze
from tests.support.limits import make_shares

HOST = "127.0.0.1"
BODY = b'{"items":[{"handle":"h:1/a"}]}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)
EXPECTED_S = 0.1


# Guards against pieces that are made twice, and sound targets that are backed off, as
# this entry did not run: the answer is not read yet (LOST).
@pytest.mark.parametrize("frozen", [0.5, 3.0])
def test_call_whose_answer_arrives_while_this_entry_is_frozen_is_not_late(frozen):
    async def main(server):
        port = server.getsockname()[1]
        target = Target("t0", "s", HOST, port, "z", TargetState.READY)
        pool = ConnPool("t0", HOST, port, 8)
        client = PlatformPieceClient(lambda _: pool, make_shares(), None, None)
        late = []

        def answer_and_freeze():
            peer, _ = server.accept()
            peers.append(peer)
            peer.sendall(ANSWER)
            freeze(frozen)

        peers = []
        asyncio.get_running_loop().call_later(0.05, answer_and_freeze)
        pieces = (Piece("r1", 0, 0, "key", (), 1.0),)
        results = await make_hedged(
            client, target, pieces, EXPECTED_S, lambda: late.append(1)
        )
        assert results == (PieceResult("h:1/a"),)
        assert late == []
        pool.close()
        peers[0].close()

    with socket.create_server((HOST, 0)) as server:
        asyncio.run(main(server))
