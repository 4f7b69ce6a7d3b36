"""Run every check of the project and print one closing line."""

import os
import subprocess
import sys
import tempfile
from itertools import chain
from pathlib import Path
from xml.etree import ElementTree

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

STATIC_CHECKS = {
    "formatter": [BIN / "ruff", "format", "--check", "."],
    "linter": [BIN / "ruff", "check", "."],
    "types": [BIN / "mypy"],
}


def known_red():
    """Return the test names that KNOWN-RED.txt lists on its ``test:`` lines."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def run(command):
    """Run one command in the root and return its exit code."""
    env = os.environ | {"PYTHONPATH": f"{ROOT}{os.pathsep}{ROOT / 'src'}"}
    return subprocess.run([str(part) for part in command], cwd=ROOT, env=env).returncode


def read_cases(folder):
    """Yield ``(name, state)`` of every test case in a folder of JUnit files."""
    for path in sorted(Path(folder).glob("*.xml")):
        for case in ElementTree.parse(path).iter("testcase"):
            name = f"{case.get('classname')}::{case.get('name')}"
            skipped = case.find("skipped") is not None
            broken = case.find("failure") is not None or case.find("error") is not None
            yield name, "failed" if broken else "skipped" if skipped else "passed"


def run_tests(folder):
    """Run both test runners and return their cases and exit codes."""
    codes = {
        "pytest": run([BIN / "pytest", f"--junitxml={folder}/pytest.xml"]),
        "behave": run(
            [BIN / "behave", "--junit", f"--junit-directory={folder}", "-f", "progress"]
        ),
    }
    return list(read_cases(folder)), codes


def main():
    """Run all checks; exit 1 unless every failure is a known one."""
    static = {name: run(command) for name, command in STATIC_CHECKS.items()}
    with tempfile.TemporaryDirectory() as folder:
        cases, codes = run_tests(folder)
    allowed = known_red()
    failed = [name for name, state in cases if state == "failed"]
    known = [name for name in failed if name in allowed]
    fresh = [name for name in failed if name not in allowed]
    broken_checks = [name for name, code in static.items() if code]
    # A runner that fails without a failed case did not run its tests at all.
    silent = [name for name, code in codes.items() if code and not failed]
    for name in known:
        print(f"known red: {name}")
    for name in chain(fresh, broken_checks, silent):
        print(f"FAILED: {name}")
    passed = len(static) - len(broken_checks)
    passed += sum(state == "passed" for _, state in cases)
    wrong = len(fresh) + len(broken_checks) + len(silent)
    print(f"{passed} passed, {wrong} failed")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
