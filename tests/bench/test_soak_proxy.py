"""The proxies before the targets of a soak."""

import asyncio
import socket

import pytest

from lagoontide.bench.soak.proxy import Proxy
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.standins.ports import HOST


# Another socket got the port of a target that was down, and answered its requests.
def test_the_port_of_a_refusing_proxy_stays_its_own():
    async def run():
        proxy = Proxy(HOST, 1)
        port = await proxy.start()
        proxy.refuse()
        await asyncio.sleep(0.01)
        with pytest.raises(ConnectionRefusedError):
            await connect_tcp(HOST, port, 1.0)
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind((HOST, port))
        proxy.resume()
        await asyncio.sleep(0.05)
        (await connect_tcp(HOST, port, 1.0)).close()
        await proxy.close()

    asyncio.run(run())
