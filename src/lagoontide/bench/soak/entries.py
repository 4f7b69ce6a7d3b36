"""Entries of a soak as processes of their own, and what signals do to them."""

import asyncio
import os
import random
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from lagoontide.bench.processes import end_children
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.settings import SETTINGS_ENV_VAR
from lagoontide.platform.standins.ports import HOST, loopback_addresses
from lagoontide.platform.standins.settings import (
    ENTRY_PORTS,
    GRACE_S,
    write_settings,
)

__all__ = ["EntryProcess", "EntryProcesses"]

PAUSE_S = (0.2, 2.5)
LOOK_S = 0.05
READY_BOUND_S = 30.0


@dataclass(slots=True)
class EntryProcess:
    """One entry.

    Attributes
    ----------
    command : tuple of str
        Arguments of Python that run it.
    own_exits : list of int
        Codes with which it ended though nothing had been done to it.
    """

    name: str
    host: str
    settings: Path
    log: Path
    command: tuple[str, ...] = ("-m", "lagoontide.platform.daemon")
    child: subprocess.Popen[bytes] | None = None
    is_hurt: bool = False
    own_exits: list[int] = field(default_factory=list)

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as out:
            self.child = subprocess.Popen(
                [sys.executable, *self.command],
                stdout=out,
                stderr=subprocess.STDOUT,
                env=os.environ | {SETTINGS_ENV_VAR: str(self.settings)},
            )
        self.is_hurt = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process is there."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def look(self) -> None:
        """Start it again if it has ended, and note ends of its own."""
        code = self.child.poll() if self.child is not None else None
        if code is None:
            return
        if not self.is_hurt:
            self.own_exits.append(code)
        self.start()


@dataclass(slots=True)
class EntryProcesses:
    """All entries; only these processes are ever signalled.

    Attributes
    ----------
    stopped_at : dict
        Loop times at which ``plan`` told entries to stop, by address.
    """

    entries: list[EntryProcess]
    stopped_at: dict[tuple[str, int], list[float]] = field(default_factory=dict)
    _pauses: list[asyncio.TimerHandle] = field(default_factory=list)

    @classmethod
    def make(cls, folder: Path, store_ports: list[int]) -> "EntryProcesses":
        """Return an entry for each endpoint of the store, not started yet."""
        hosts = loopback_addresses(len(store_ports))
        seeds = [f"{host}:{ENTRY_PORTS[2]}" for host in hosts[:3]]
        entries = []
        for number, (host, port) in enumerate(zip(hosts, store_ports, strict=True)):
            name = f"entry-{number}"
            path = folder / f"{name}.json"
            store = f"{HOST}:{port}"
            write_settings(path, name, host, ENTRY_PORTS, store, seeds, GRACE_S)
            entries.append(EntryProcess(name, host, path, folder / f"{name}.log"))
        return cls(entries)

    def addresses(self) -> list[tuple[str, int]]:
        """Return where callers are taken."""
        return [(entry.host, ENTRY_PORTS[0]) for entry in self.entries]

    async def start(self) -> None:
        """Start all and wait until each takes callers."""
        for entry in self.entries:
            entry.start()
        async with asyncio.timeout(READY_BOUND_S):
            for host, port in self.addresses():
                await _wait_listening(host, port)

    async def keep(self) -> None:
        """Start again what has ended, for ever."""
        while True:
            await asyncio.sleep(LOOK_S)
            for entry in self.entries:
                entry.look()

    def hurt(self, rng: random.Random) -> str:
        """Stop, kill, pause or reload one entry."""
        entry = rng.choice(self.entries)
        number = rng.choice(
            [signal.SIGTERM, signal.SIGKILL, signal.SIGSTOP, signal.SIGHUP]
        )
        if number in (signal.SIGTERM, signal.SIGKILL):
            entry.is_hurt = True
        entry.send(number)
        if number is signal.SIGSTOP:
            wait = rng.uniform(*PAUSE_S)
            resume = asyncio.get_running_loop().call_later(
                wait, entry.send, signal.SIGCONT
            )
            self._pauses.append(resume)
        return f"{entry.name} {number.name}"

    def plan(self, rng: random.Random) -> str:
        """Do planned work on one entry: stop it, or let it reload its settings."""
        entry = rng.choice(self.entries)
        number = rng.choice([signal.SIGTERM, signal.SIGHUP])
        if number is signal.SIGTERM:
            if entry.is_hurt:
                return f"{entry.name} is stopping"
            entry.is_hurt = True
            times = self.stopped_at.setdefault((entry.host, ENTRY_PORTS[0]), [])
            times.append(asyncio.get_running_loop().time())
        entry.send(number)
        return f"{entry.name} {number.name}"

    def kill_all(self) -> str:
        """Kill all entries at once."""
        for entry in self.entries:
            entry.is_hurt = True
            entry.send(signal.SIGKILL)
        return "all entries SIGKILL"

    def heal(self) -> None:
        """Let paused entries go on."""
        for entry in self.entries:
            entry.send(signal.SIGCONT)

    def stop(self) -> None:
        """End all entries, by their ids."""
        for entry in self.entries:
            entry.is_hurt = True
        end_children(
            [entry.child for entry in self.entries if entry.child is not None],
            GRACE_S + 1.0,
        )


async def _wait_listening(host: str, port: int) -> None:
    while True:
        try:
            (await connect_tcp(host, port, 1.0)).close()
        except (OSError, TimeoutError):
            await asyncio.sleep(LOOK_S)
        else:
            return
