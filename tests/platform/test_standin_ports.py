"""The ports of stand-ins of targets."""

import asyncio
import socket

import pytest

from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.standins.store import StoreStandin
from lagoontide.platform.standins.targets import TargetStandin


# Another socket got the port of a target that was down, which then could not listen.
def test_the_port_of_a_crashed_target_stays_its_own():
    async def run():
        target = TargetStandin("plain-0", "plain", restart_after=0.2)
        await target.start(StoreStandin())
        host, _, port = target.address.rpartition(":")
        target.crash()
        await asyncio.sleep(0.05)
        with pytest.raises(ConnectionRefusedError):
            await connect_tcp(host, int(port), 1.0)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((host, int(port)))
        await asyncio.sleep(0.3)
        assert target.is_up
        (await connect_tcp(host, int(port), 1.0)).close()
        await target.close()
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((host, int(port)))

    asyncio.run(run())
