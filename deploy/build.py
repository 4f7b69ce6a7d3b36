"""Installs the libraries of the deployed program into ``target/deps``.

Keeps a folder that this script made on this kind of machine, for these requirements,
from which the program can be imported; anything else is replaced.
"""

import hashlib
import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STAMP = ".built"
PROGRAM = "lagoontide.platform.daemon"


def make_stamp(root):
    """Return the text that a usable folder holds: requirements, Python and machine."""
    requirements = (root / "deploy" / "requirements.txt").read_bytes()
    digest = hashlib.sha256(requirements).hexdigest()
    return f"{digest} {sys.implementation.cache_tag} {sysconfig.get_platform()}\n"


def can_import(root, deps):
    """Return whether the program can be imported with the libraries of a folder."""
    path = os.pathsep.join((str(root / "src"), str(deps)))
    # Without site, so that libraries of this machine do not stand in for missing ones.
    command = [sys.executable, "-S", "-B", "-c", f"import {PROGRAM}"]
    env = os.environ | {"PYTHONPATH": path}
    return subprocess.run(command, env=env, cwd=root).returncode == 0


def is_usable(root, deps):
    """Return whether a folder was completed for this machine and can be used."""
    stamp = deps / STAMP
    if not stamp.is_file() or stamp.read_text("utf-8", "replace") != make_stamp(root):
        return False
    return can_import(root, deps)


def install(root, deps):
    """Install the requirements into a new folder; raises CalledProcessError."""
    command = [sys.executable, "-m", "pip", "install", "-q", "--no-input"]
    command += ["--disable-pip-version-check", "--target", str(deps)]
    command += ["-r", str(root / "deploy" / "requirements.txt")]
    subprocess.run(command, check=True, cwd=root)


def remove_bytecode(root):
    """Remove compiled files beside the sources, which may be of other sources."""
    for folder in tuple((root / "src").rglob("__pycache__")):
        shutil.rmtree(folder, ignore_errors=True)


def build(root=ROOT, install=install):
    """Build if necessary; return the exit code."""
    remove_bytecode(root)
    target = root / "target"
    deps, fresh = target / "deps", target / "deps.new"
    if is_usable(root, deps):
        return 0
    target.mkdir(exist_ok=True)
    shutil.rmtree(fresh, ignore_errors=True)
    install(root, fresh)
    if not can_import(root, fresh):
        print(f"{PROGRAM} cannot be imported with {fresh}", file=sys.stderr)
        return 1
    (fresh / STAMP).write_text(make_stamp(root))
    # A build that breaks off leaves either no folder or a complete one.
    shutil.rmtree(deps, ignore_errors=True)
    fresh.rename(deps)
    return 0


if __name__ == "__main__":
    sys.exit(build())
