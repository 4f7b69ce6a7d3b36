"""Calls to the store whose answers arrive while this entry is frozen."""

import asyncio
import socket

from lagoontide.platform.store import CALL_TIMEOUT_S, PlatformStore
from tests.support.freezing import freeze

BODY = b'{"as_of":3,"items":[]}'
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


# Guards against a store that seems to have been down, so that requests are sent to
# targets that have left: its answer is not read yet as this entry did not run (LOST).
def test_store_that_answers_while_this_entry_is_frozen_is_available():
    async def main(server):
        client = PlatformStore(*server.getsockname())
        peers = []

        def answer_and_freeze():
            peer, _ = server.accept()
            peers.append(peer)
            peer.sendall(ANSWER)
            freeze(CALL_TIMEOUT_S + 0.5)

        asyncio.get_running_loop().call_later(0.05, answer_and_freeze)
        listing = await client.list("")
        assert listing.as_of.number == 3
        client.renew_connections()
        peers[0].close()

    with socket.create_server(("127.0.0.1", 0)) as server:
        asyncio.run(main(server))
