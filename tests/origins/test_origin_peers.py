"""Origins of streams that other entries know."""

import asyncio
import socket

from lagoontide.errors import PeerTimeout
from lagoontide.mesh.origin_peers import ASK_TIMEOUT_S, MAX_PEERS, OriginPeers
from lagoontide.origins.ledger import Origins
from lagoontide.origins.messages import OriginReply
from tests.support.freezing import freeze
from tests.support.virtual import run_virtual


class Conn:
    """A connection to an entry that answers after a delay, or never."""

    def __init__(self, asked, delay):
        self.asked = asked
        self.delay = delay
        self.calls = 0

    async def ask(self, message, timeout):
        self.calls += 1
        if self.delay is None:
            await asyncio.sleep(timeout)
            raise PeerTimeout("no reply", step="reply")
        await asyncio.sleep(self.delay)
        replies = []

        async def send(reply):
            replies.append(reply)

        await self.asked._handle_request("me", message, send)
        return replies[0]


class Peers:
    name = "me"

    def __init__(self, conns):
        self.conns = conns

    def live(self):
        return ("me", *self.conns)

    def conn(self, name):
        return self.conns[name]


def make_peer(*records, delay=0.01):
    origins = Origins(asyncio.get_running_loop().time)
    for record in records:
        origins.begin(*record)
    return Conn(OriginPeers(origins, Peers({})), delay)


def run(conns_of, scenario):
    async def main():
        origins = Origins(asyncio.get_running_loop().time)
        conns = conns_of()
        await scenario(OriginPeers(origins, Peers(conns)), origins, conns)

    run_virtual(main())


async def timed(work):
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    return await work, loop.time() - started_at


def test_the_first_peer_that_knows_is_believed_and_its_answer_kept():
    async def scenario(asker, origins, conns):
        version, seconds = await timed(asker.find_at_peers("r1", "s"))
        assert version == "v1"
        assert seconds < ASK_TIMEOUT_S / 2
        assert origins.find("r1", "s") == "v1"

    run(
        lambda: {
            "silent": make_peer(delay=None),
            "ignorant": make_peer(),
            "knows": make_peer(("r1", "s", "v1"), delay=0.02),
        },
        scenario,
    )


def test_nobody_knows_or_answers():
    async def scenario(asker, origins, conns):
        version, seconds = await timed(asker.find_at_peers("r1", "s"))
        assert version is None
        assert seconds <= ASK_TIMEOUT_S + 0.01
        assert len(origins) == 0

    run(
        lambda: {
            "silent": make_peer(delay=None),
            "other service": make_peer(("r1", "other", "v1")),
            "late": make_peer(("r1", "s", "v1"), delay=1.0),
            "unknown": None,
        },
        scenario,
    )


def test_without_peers_there_is_no_wait():
    async def scenario(asker, origins, conns):
        version, seconds = await timed(asker.find_at_peers("r1", "s"))
        assert (version, seconds) == (None, 0.0)

    run(dict, scenario)


def test_a_bounded_number_of_peers_is_asked():
    async def scenario(asker, origins, conns):
        assert await asker.find_at_peers("r1", "s") is None
        assert sum(conn.calls for conn in conns.values()) == MAX_PEERS

    run(lambda: {f"e{place}": make_peer() for place in range(300)}, scenario)


class ConnWithUnreadReply:
    """A connection whose reply arrives while the event loop is frozen."""

    async def ask(self, message, timeout):
        reader, writer = socket.socketpair()
        with reader, writer:
            reader.setblocking(False)
            asyncio.get_running_loop().call_soon(writer.send, b"x")
            freeze(2 * ASK_TIMEOUT_S)
            await asyncio.get_running_loop().sock_recv(reader, 1)
        return OriginReply("v1")


# Guards against take-ups that are refused as the peers' replies are not read yet: this
# entry did not run.
def test_reply_that_arrives_while_this_entry_is_frozen_is_read():
    async def main():
        origins = Origins(asyncio.get_running_loop().time)
        peers = OriginPeers(origins, Peers({"e1": ConnWithUnreadReply()}))
        return await peers.find_at_peers("r1", "engine")

    assert asyncio.run(main()) == "v1"
