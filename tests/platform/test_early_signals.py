"""Signals that reach an entry while it starts."""

import asyncio
import os
import signal
import sysconfig
from pathlib import Path

import pytest

from lagoontide.bench.soak.entries import EntryProcess
from lagoontide.platform.standins.settings import GRACE_S, write_settings

ROOT = Path(__file__).resolve().parents[2]
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)
START_TIMEOUT_S = 20.0
PORTS = (18625, 18621, 18628)


def signal_mask(pid, name):
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in status.splitlines() if row.startswith(name))
    return int(line.split()[1], 16)


# Guards against an entry that a SIGHUP ends while it is starting (EXIT, issue 31).
@pytest.mark.parametrize(
    "command",
    [
        ("-m", "lagoontide.platform.daemon"),
        (str(ROOT / "src"), "front"),
        ("-S", str(ROOT / "src" / "__main__.py"), "front"),
    ],
)
def test_a_reload_while_an_entry_starts_does_not_end_it(tmp_path, command, monkeypatch):
    # Without site, an entry finds only the libraries that the path names.
    path = (sysconfig.get_path("purelib"), os.environ.get("PYTHONPATH", ""))
    monkeypatch.setenv("PYTHONPATH", os.pathsep.join(filter(None, path)))
    settings = tmp_path / "entry.json"
    write_settings(
        settings, "entry", "127.0.0.1", PORTS, "127.0.0.1:9", ["127.0.0.1:9"], GRACE_S
    )
    entry = EntryProcess(
        "entry", "127.0.0.1", settings, tmp_path / "entry.log", command
    )

    async def main():
        entry.start()
        pid = entry.child.pid
        async with asyncio.timeout(START_TIMEOUT_S):
            # Only the start of the interpreter itself comes before this.
            while not signal_mask(pid, "SigIgn") & SIGHUP_BIT:
                assert not signal_mask(pid, "SigCgt") & SIGHUP_BIT
                await asyncio.sleep(0.001)
            while not signal_mask(pid, "SigCgt") & SIGHUP_BIT:
                entry.send(signal.SIGHUP)
                assert entry.child.poll() is None
                await asyncio.sleep(0.002)
        for _ in range(20):
            entry.send(signal.SIGHUP)
            await asyncio.sleep(0.01)
        assert entry.child.poll() is None

    try:
        asyncio.run(main())
    finally:
        entry.child.terminate()
        entry.child.wait(GRACE_S + 5.0)
