"""The deploy file's build replaces whatever it did not complete on this machine."""

import importlib.util
import os
import shutil
import subprocess
import time
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
SPEC = importlib.util.spec_from_file_location("build", ROOT / "deploy" / "build.py")
build = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(build)


class Installer:
    """Installs a library that the program imports; counts its calls."""

    def __init__(self, name="library"):
        self.name = name
        self.calls = 0

    def __call__(self, root, deps):
        self.calls += 1
        deps.mkdir()
        (deps / f"{self.name}.py").write_text("")


@pytest.fixture
def root(tmp_path):
    package = tmp_path / "src" / "lagoontide" / "platform"
    package.mkdir(parents=True)
    for folder in (package, package.parent):
        (folder / "__init__.py").write_text("")
    (package / "daemon.py").write_text("import library\n")
    (tmp_path / "deploy").mkdir()
    (tmp_path / "deploy" / "requirements.txt").write_text("library==1\n")
    return tmp_path


def leave_empty(root, deps):
    deps.mkdir(parents=True)
    (deps / ".done").touch()


def leave_unstamped(root, deps):
    leave_empty(root, deps)
    (deps / "library.py").write_text("")


def leave_of_another_machine(root, deps):
    leave_unstamped(root, deps)
    stamp = build.make_stamp(root).replace(
        build.sysconfig.get_platform(), "linux-s390x"
    )
    (deps / build.STAMP).write_text(stamp)


def leave_of_another_python(root, deps):
    leave_unstamped(root, deps)
    tag = build.sys.implementation.cache_tag
    (deps / build.STAMP).write_text(build.make_stamp(root).replace(tag, "cpython-301"))


def leave_damaged(root, deps):
    leave_empty(root, deps)
    (deps / build.STAMP).write_text(build.make_stamp(root))


def leave_half_installed(root, deps):
    deps.with_name("deps.new").mkdir(parents=True)
    (deps.with_name("deps.new") / "half.py").write_text("")


# Guards against a program that cannot start, as its libraries are from elsewhere.
@pytest.mark.parametrize(
    "leave",
    [
        leave_empty,
        leave_unstamped,
        leave_of_another_machine,
        leave_of_another_python,
        leave_damaged,
        leave_half_installed,
    ],
)
def test_folder_that_was_left_is_replaced(root, leave):
    deps = root / "target" / "deps"
    leave(root, deps)
    late = time.time() + 3600
    for path in (root / "target").rglob("*"):
        os.utime(path, (late, late))
    installer = Installer()
    assert build.build(root, installer) == 0
    assert installer.calls == 1
    assert sorted(path.name for path in deps.iterdir() if path.is_file()) == [
        build.STAMP,
        "library.py",
    ]
    assert not deps.with_name("deps.new").exists()


def test_folder_of_this_machine_is_kept_until_the_requirements_change(root):
    installer = Installer()
    assert build.build(root, installer) == 0
    assert build.build(root, installer) == 0
    assert installer.calls == 1
    (root / "deploy" / "requirements.txt").write_text("library==2\n")
    assert build.build(root, installer) == 0
    assert installer.calls == 2


def test_failed_build_says_so_and_leaves_the_folder_before(root):
    assert build.build(root, Installer()) == 0
    (root / "deploy" / "requirements.txt").write_text("library==2\n")
    assert build.build(root, Installer("other")) == 1
    assert (root / "target" / "deps" / "library.py").exists()


def test_bytecode_beside_the_sources_is_removed(root):
    folder = root / "src" / "lagoontide" / "__pycache__"
    folder.mkdir()
    (folder / "errors.cpython-311.pyc").write_bytes(b"of other sources")
    assert build.build(root, Installer()) == 0
    assert not folder.exists()


# Guards against a build that trusts the time of an empty folder, with the shell's line.
def test_line_of_the_deploy_file_names_the_build(root):
    shutil.copy(ROOT / "deploy" / "build.py", root / "deploy")
    line = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    installer = Installer()
    assert build.build(root, installer) == 0
    assert subprocess.run(line, shell=True, cwd=root).returncode == 0
    (root / "deploy" / "requirements.txt").write_text("./missing\n")
    leave_empty(root, root / "target" / "else")
    assert subprocess.run(line, shell=True, cwd=root).returncode != 0
