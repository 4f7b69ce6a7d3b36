"""The daemons load only what they need."""

import subprocess
import sys

import pytest

SHOW_MODULES = (
    "import sys, lagoontide.cli, {daemon};"
    "print(*{{name.partition('.')[0] for name in sys.modules}})"
)
BORDER_ONLY = {"pydantic", "jinja2", "hypothesis", "behave"}


@pytest.mark.parametrize(
    ("daemon", "unwanted"),
    [
        ("lagoontide.agent.daemon", BORDER_ONLY | {"cheroot"}),
        ("lagoontide.standins.process", {"jinja2", "hypothesis", "behave"}),
    ],
)
def test_modules_of_a_daemon(daemon, unwanted):
    code = SHOW_MODULES.format(daemon=daemon)
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert set(done.stdout.split()) & unwanted == set()
