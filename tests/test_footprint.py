"""Daemons do not import heavy dependencies that they have no use for."""

import subprocess
import sys

import pytest

PRINT_MODULES_CODE = (
    "import sys, lagoontide.cli, {daemon};"
    "print(*{{name.partition('.')[0] for name in sys.modules}})"
)
UNNEEDED_BY_AGENTS = {"pydantic", "jinja2", "hypothesis", "behave"}


@pytest.mark.parametrize(
    ("daemon", "unwanted"),
    [
        ("lagoontide.agent.daemon", UNNEEDED_BY_AGENTS | {"cheroot"}),
        ("lagoontide.standins.process", {"jinja2", "hypothesis", "behave"}),
    ],
)
def test_daemon_does_not_import_unneeded_modules(daemon, unwanted):
    code = PRINT_MODULES_CODE.format(daemon=daemon)
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert set(done.stdout.split()) & unwanted == set()
