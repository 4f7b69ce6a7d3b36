"""An entry as a process of its own, beside stand-ins, for crowds of hostile clients."""

import asyncio
import contextlib
import os
import subprocess
import sys
from pathlib import Path

import msgspec

from lagoontide.http1.client import InvalidResponse
from lagoontide.platform.configuration import CONFIGURATION_KEY
from lagoontide.platform.settings import SETTINGS_ENV_VAR
from lagoontide.platform.standins.deployment import make_configuration, send
from lagoontide.platform.standins.ports import HOST, loopback_addresses, reserve_ports
from lagoontide.platform.standins.settings import write_settings
from lagoontide.platform.standins.store import StoreEndpoint, StoreStandin
from lagoontide.platform.standins.targets import TargetStandin

# The limits of the machine in the entry's settings, and of a body.
MEMORY_MB = 90
MAX_FDS = 260
MAX_BODY_BYTES = 1 << 20
MAX_HEAD_BYTES = 8192
TIMEOUT_S = 60.0
POLL_S = 0.05
(ENTRY_HOST,) = loopback_addresses(1)


class Site:
    """The addresses and the process of an entry."""

    def __init__(self, port, process, targets):
        self.port = port
        self.process = process
        self.targets = targets
        self.most_fds = 0

    def peak_mb(self):
        """Return the largest resident size that the process has had."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (line for line in text.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def count_fds(self):
        number = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        self.most_fds = max(self.most_fds, number)
        return number

    async def is_served(self, name):
        """Return whether one ordinary request is answered with success."""
        self.count_fds()
        with contextlib.suppress(OSError, TimeoutError, InvalidResponse):
            async with asyncio.timeout(5.0):
                answer = await send(self.port, "/safe/a", name, host=ENTRY_HOST)
                return answer.status == 200
        return False

    async def wait_until_served(self, name):
        """Wait until an ordinary request is answered with success."""
        loop = asyncio.get_running_loop()
        until, number = loop.time() + TIMEOUT_S, 0
        while not await self.is_served(f"{name}-{number}"):
            assert self.process.poll() is None, "the process has ended"
            assert loop.time() < until, f"{name}: no ordinary request is answered"
            number += 1
            await asyncio.sleep(POLL_S)


def start_entry(settings):
    with settings.with_suffix(".log").open("wb") as out:
        return subprocess.Popen(
            [sys.executable, "-m", "lagoontide.platform.daemon"],
            stdout=out,
            stderr=subprocess.STDOUT,
            env=os.environ | {SETTINGS_ENV_VAR: str(settings)},
        )


@contextlib.asynccontextmanager
async def run_site(folder):
    """Run an entry, a store and targets for the duration of the block."""
    store = StoreStandin()
    limits = {"max_header_bytes": MAX_HEAD_BYTES, "max_body_bytes": MAX_BODY_BYTES}
    limits |= {"header_timeout_ms": 5000, "idle_timeout_ms": 30000}
    store.put(CONFIGURATION_KEY, make_configuration(1, limits=limits))
    endpoint = StoreEndpoint(store)
    targets = [TargetStandin(f"plain-{number}", "plain") for number in range(3)]
    targets += [TargetStandin("eng-0", "engine", events=6)]
    async with contextlib.AsyncExitStack() as stack:
        await endpoint.start()
        stack.push_async_callback(endpoint.close)
        for target in targets:
            await target.start(store)
            stack.push_async_callback(target.close)
        (callers, ready, peers) = reserve_ports(
            stack.enter_context(contextlib.ExitStack()), 3, ENTRY_HOST
        )
        path = folder / "entry.json"
        address = f"{HOST}:{endpoint.port}"
        ports = callers, ready, peers
        write_settings(path, "entry-0", ENTRY_HOST, ports, address, [], 4.0)
        data = msgspec.json.decode(path.read_bytes())
        data["limits"] |= {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        path.write_bytes(msgspec.json.encode(data))
        process = start_entry(path)
        try:
            site = Site(callers, process, targets)
            await site.wait_until_served("first")
            yield site
        finally:
            process.kill()
            process.wait()
