"""An entry as a process that is stopped and goes on."""

import asyncio
import contextlib
import signal
import subprocess
import sys

import pytest

from lagoontide.platform.settings import SETTINGS_ENV_VAR
from lagoontide.platform.standins.deployment import make_configuration
from lagoontide.platform.standins.ports import HOST, reserve_ports
from tests.platform.test_processes import (
    ENTRY_HOST,
    Processes,
    call_port,
    is_served,
    status_of,
    until,
)

STANDIN = "lagoontide", "standin", "platform"
REQUESTS = 8
# The answers are made, and the stall timers end, while the entry is stopped.
WORK_S = 0.3
STOPPED_S = 1.4


@pytest.fixture
def stack():
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.fixture
def ports(stack):
    """Ports of the store, of two targets, and the control ports of each."""
    return reserve_ports(stack, 6)


@pytest.fixture
def entry(stack, ports, tmp_path):
    """An entry before a store and two targets."""
    store, store_control, *_ = ports
    processes = Processes(stack, tmp_path)
    configuration = tmp_path / "configuration.json"
    configuration.write_bytes(make_configuration(1))
    settings = tmp_path / "entry.json"
    subprocess.run(
        [sys.executable, "-m", *STANDIN, "settings", f"--file={settings}"]
        + [f"--store={HOST}:{store}", f"--host={ENTRY_HOST}", "--name=entry-0"],
        check=True,
    )
    processes.start(
        *STANDIN,
        "store",
        f"--listen={HOST}:{store}",
        f"--control={HOST}:{store_control}",
        f"--configuration={configuration}",
    )
    for number, port in enumerate(ports[2:4]):
        processes.start(
            *STANDIN,
            "target",
            f"--listen={HOST}:{port}",
            f"--control={HOST}:{ports[4 + number]}",
            f"--store={HOST}:{store}",
            "--service=plain",
            f"--name=plain-{number}",
            f"--work={WORK_S}",
        )
    return processes.start(
        "lagoontide.platform.daemon", **{SETTINGS_ENV_VAR: str(settings)}
    )


async def count_runs(ports):
    answers = [await call_port(port, b"GET", b"/runs") for port in ports[4:]]
    return sum(sum(runs.values()) for _, runs in answers)


# Guards against requests that run twice, or get no answer, as their entry was stopped
# while they ran (LOST).
def test_requests_run_once_if_their_entry_is_stopped_meanwhile(entry, ports):
    async def main():
        await until(is_served)
        before = await count_runs(ports)
        sent = [
            asyncio.ensure_future(status_of(f"r{number}")) for number in range(REQUESTS)
        ]
        await asyncio.sleep(WORK_S / 2)
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(STOPPED_S)
        entry.send_signal(signal.SIGCONT)
        statuses = await asyncio.gather(*sent)
        return statuses, await count_runs(ports) - before

    assert asyncio.run(main()) == ([200] * REQUESTS, REQUESTS)
