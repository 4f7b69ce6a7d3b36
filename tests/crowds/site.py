"""An entry as a process of its own, beside stand-ins, for crowds of hostile clients."""

import asyncio
import contextlib
import os
import socket
import subprocess
import sys
from dataclasses import dataclass
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
SAMPLE_S = 0.02
# Of a socket that listens: its queue counts connections.
LISTEN_STATE = "0A"
(ENTRY_HOST,) = loopback_addresses(1)


@dataclass(frozen=True)
class Machine:
    """What the settings of an entry say of its machine."""

    memory_mb: int = MEMORY_MB
    max_fds: int = MAX_FDS


TINY = Machine()
# The smallest machine of an entry in the deployments that are in force.
SMALLEST = Machine(160, 4100)


class Site:
    """The addresses and the process of an entry."""

    def __init__(self, port, ready_port, process, targets):
        self.port = port
        self.ready_port = ready_port
        self.process = process
        self.targets = targets
        self.most_fds = 0
        self.most_occupied_mb = 0.0

    async def sample(self):
        """Keep the largest sum of resident and of received, unread bytes."""
        while self.process.poll() is None:
            occupied = self.resident_mb() + self.unread_mb()
            self.most_occupied_mb = max(self.most_occupied_mb, occupied)
            await asyncio.sleep(SAMPLE_S)

    def unread_mb(self):
        """Return what the kernel has received for the entry, of callers and targets.

        That is also of connections that the entry has not accepted or closed yet.
        """
        host = _hex_host(ENTRY_HOST)
        callers = {f"{host}:{port:04X}" for port in (self.port, self.ready_port)}
        hosts = {target.address.partition(":") for target in self.targets}
        targets = {f"{_hex_host(host)}:{int(port):04X}" for host, _, port in hosts}
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, remote, state, queues, *_ = line.split()
            if state != LISTEN_STATE and (local in callers or remote in targets):
                total += int(queues.partition(":")[2], 16)
        return total / (1 << 20)

    def resident_mb(self):
        return self._memory_mb("VmRSS")

    def peak_mb(self):
        """Return the largest resident size that the process has had."""
        return self._memory_mb("VmHWM")

    def _memory_mb(self, name):
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        lines = (line for line in text.splitlines() if line.startswith(name))
        # A process that has just ended has none.
        return sum(int(line.split()[1]) / 1024 for line in lines)

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


def _hex_host(host):
    return bytes(reversed(socket.inet_aton(host))).hex().upper()


def start_entry(settings):
    with settings.with_suffix(".log").open("wb") as out:
        return subprocess.Popen(
            [sys.executable, "-m", "lagoontide.platform.daemon"],
            stdout=out,
            stderr=subprocess.STDOUT,
            env=os.environ | {SETTINGS_ENV_VAR: str(settings)},
        )


@contextlib.asynccontextmanager
async def run_site(
    folder, machine=TINY, timeout_ms=2000, kind=TargetStandin, max_conns=50
):
    """Run an entry, a store and targets for the duration of the block.

    ``timeout_ms`` is that of each route, ``kind`` the class of plain targets, each of
    which takes ``max_conns`` connections.
    """
    store = StoreStandin()
    limits = {"max_header_bytes": MAX_HEAD_BYTES, "max_body_bytes": MAX_BODY_BYTES}
    limits |= {"header_timeout_ms": 5000, "idle_timeout_ms": 30000}
    value = msgspec.json.decode(make_configuration(1, limits=limits))
    for route in value["routes"]:
        route["timeout_ms"] = timeout_ms
    value["services"][0]["max_conns"] = max_conns
    store.put(CONFIGURATION_KEY, msgspec.json.encode(value))
    endpoint = StoreEndpoint(store)
    targets = [kind(f"plain-{number}", "plain") for number in range(3)]
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
        data["limits"] |= {
            "memory_mb": machine.memory_mb,
            "max_fds": machine.max_fds,
        }
        path.write_bytes(msgspec.json.encode(data))
        process = start_entry(path)
        try:
            site = Site(callers, ready, process, targets)
            await site.wait_until_served("first")
            sampling = asyncio.create_task(site.sample())
            yield site
            sampling.cancel()
        finally:
            process.kill()
            process.wait()
