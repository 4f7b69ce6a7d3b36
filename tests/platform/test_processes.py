"""The stand-ins as processes, with an entry before them, all by command line."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import subprocess
import sys
import time

import pytest

from lagoontide.http1.client import TargetConn
from lagoontide.http1.link import connect_link
from lagoontide.http1.messages import RequestHead
from lagoontide.platform.settings import SETTINGS_VARIABLE
from lagoontide.platform.standins.deployment import make_configuration, send
from lagoontide.platform.standins.ports import HOST, keep_ports, own_hosts
from lagoontide.platform.standins.settings import ENTRY_PORTS

(ENTRY_HOST,) = own_hosts(1)
BOUND_S = 30.0
POLL_S = 0.05
REQUESTS = 10
# The users' bound for a start after all power was lost (their sheet, recovery_s).
RECOVERY_S = 12.0
# A target of the test that is started so much later than the others.
LATE_S = 2.5
# The entry is the fourth process that a test starts.
ENTRY_NUMBER = 3
# Runs a module once some seconds have passed; both stand in the arguments.
DELAYED = """
import runpy, sys, time
_, seconds, *sys.argv = sys.argv
time.sleep(float(seconds))
runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)
"""


class Processes:
    """The processes of one test, ended by their ids."""

    def __init__(self, stack, folder):
        self._stack = stack
        self._folder = folder
        self._numbers = itertools.count()

    def start(self, *arguments, delay=0.0, **environment):
        how = ["-c", DELAYED, str(delay)] if delay else ["-m"]
        with (self._folder / f"{next(self._numbers)}.log").open("wb") as out:
            child = subprocess.Popen(
                [sys.executable, *how, *arguments],
                stdout=out,
                stderr=subprocess.STDOUT,
                env=os.environ | environment,
            )
        self._stack.callback(self._end, child)
        return child

    @staticmethod
    def _end(child):
        if child.poll() is None:
            child.kill()
        child.wait()


async def tell(port, method, path, body=b""):
    """Send a call to a control port; return status and body."""
    conn = TargetConn(await connect_link(HOST, port, 1.0))
    try:
        head = RequestHead(method, path, [(b"Host", b"control")])
        answer = await conn.call(head, body)
        return answer.status, json.loads(answer.body)
    finally:
        conn.close()


async def until(ask):
    """Ask again until there is a true answer; return it."""
    async with asyncio.timeout(BOUND_S):
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                if answer := await ask():
                    return answer
            await asyncio.sleep(POLL_S)


async def status_of(request_id):
    answer = await send(ENTRY_PORTS[0], "/safe/a", request_id, host=ENTRY_HOST)
    return answer.status


async def all_started(ports):
    """Return whether the control ports answer and every target has registered."""
    store, store_control, control, *_ = ports
    calm = b'{"trouble": "none"}'
    await tell(store_control, b"POST", b"/trouble", calm)
    await tell(control, b"GET", b"/runs")
    _, listed = await tell(store, b"GET", b"/lagoontide/kv-range?prefix=servers/")
    return len(listed["items"]) == 2


async def start_serving(ports):
    """Wait until everything has started, and the path serves.

    One target alone can serve while the other is still starting.
    """
    await until(lambda: all_started(ports))
    await until(is_served)


async def is_served(request_id="first"):
    return await status_of(request_id) == 200


@pytest.fixture
def folder(tmp_path):
    (tmp_path / "configuration.json").write_bytes(make_configuration(1))
    return tmp_path


@pytest.fixture
def stack():
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.fixture
def ports(stack):
    return keep_ports(stack, 5)


@pytest.fixture
def processes(stack, folder):
    return Processes(stack, folder)


@pytest.fixture
def late():
    """Seconds by which the first target starts after the others."""
    return 0.0


@pytest.fixture
def children(processes, ports, folder, late):
    """A store, two targets and an entry, in that order."""
    store, store_control, control, *listen = ports
    standin = "lagoontide", "standin", "platform"
    settings = folder / "entry.json"
    subprocess.run(
        [sys.executable, "-m", *standin, "settings", f"--file={settings}"]
        + [f"--store={HOST}:{store}", f"--host={ENTRY_HOST}", "--name=entry-0"],
        check=True,
    )
    return [
        processes.start(
            *standin,
            "store",
            f"--listen={HOST}:{store}",
            f"--control={HOST}:{store_control}",
            f"--configuration={folder / 'configuration.json'}",
        ),
        *(
            processes.start(
                *standin,
                "target",
                f"--listen={HOST}:{port}",
                f"--store={HOST}:{store}",
                "--service=plain",
                f"--name=plain-{number}",
                *([] if number else [f"--control={HOST}:{control}"]),
                delay=0.0 if number else late,
            )
            for number, port in enumerate(listen)
        ),
        processes.start(
            "lagoontide.platform.daemon", **{SETTINGS_VARIABLE: str(settings)}
        ),
    ]


async def serve_through_troubles(children, ports):
    _, store_control, target_control, *_ = ports
    await start_serving(ports)

    # One of two targets says that it is full: its requests go to the other.
    order = b'{"fault": "full", "count": 1000}'
    assert (await tell(target_control, b"POST", b"/fault", order))[0] == 200
    await until(is_served)
    _, before = await tell(target_control, b"GET", b"/runs")
    assert all([await is_served(f"full {number}") for number in range(REQUESTS)])
    assert await tell(target_control, b"GET", b"/runs") == (200, before)
    order = b'{"fault": "none"}'
    assert (await tell(target_control, b"POST", b"/fault", order))[0] == 200

    # The store fails its callers; requests are served from what is known.
    for trouble in (b"silent", b"reset", b"loses answers", b"busy", b"none"):
        body = b'{"trouble": "%s"}' % trouble
        assert (await tell(store_control, b"POST", b"/trouble", body))[0] == 200
        assert await is_served(f"while {trouble.decode()}")
    assert (await tell(store_control, b"POST", b"/compact"))[0] == 200

    # A target that stops says so first and leaves with its work done.
    for child in reversed(children):
        child.send_signal(signal.SIGTERM)
        assert await asyncio.to_thread(child.wait, BOUND_S) == 0


async def change_keys(ports):
    store_control = ports[1]
    await start_serving(ports)
    changed = make_configuration(2, tenants=[{"name": "first", "api_keys": ["other"]}])
    assert (await tell(store_control, b"POST", b"/configuration", changed))[0] == 200

    async def is_refused():
        return await status_of("after") == 401

    await until(is_refused)


def test_the_whole_path_as_processes(children, ports):
    asyncio.run(serve_through_troubles(children, ports))


@pytest.mark.parametrize("late", [LATE_S])
def test_the_whole_path_with_a_target_that_starts_late(children, ports):
    asyncio.run(serve_through_troubles(children, ports))


def lines_of(folder, number, words):
    """Return the log lines of a process that have these words."""
    text = (folder / f"{number}.log").read_text()
    return [line for line in text.splitlines() if words in line]


async def change_settings(entry, folder):
    """Change the settings file, wrongly and rightly, while a request runs."""
    path = folder / "entry.json"
    sound = path.read_bytes()
    kept_out, reloaded = "the old ones hold", "settings reloaded"

    async def is_told(words, times):
        return len(lines_of(folder, ENTRY_NUMBER, words)) >= times

    for times, broken in enumerate((b"{", b"[]", sound.replace(b'"ip"', b'"pi"')), 1):
        path.write_bytes(broken)
        entry.send_signal(signal.SIGHUP)
        await until(lambda times=times: is_told(kept_out, times))
        assert await is_served(f"broken {times}")
    data = json.loads(sound)
    data["bounds"] = {"grace_s": 5.0}
    # Replaced in place, and with no signal.
    path.write_bytes(json.dumps(data).encode())
    await until(lambda: is_told(reloaded, 1))
    assert await is_served("reloaded")
    assert entry.poll() is None


def test_changed_settings_files_are_taken_and_broken_ones_kept_out(
    children, folder, ports
):
    asyncio.run(start_serving(ports))
    asyncio.run(change_settings(children[-1], folder))


def test_power_lost_at_every_entry_is_made_good_by_the_store_alone(
    children, processes, folder, ports
):
    asyncio.run(start_serving(ports))
    *_, entry = children
    entry.kill()
    entry.wait()
    began = time.monotonic()
    processes.start(
        "lagoontide.platform.daemon",
        **{SETTINGS_VARIABLE: str(folder / "entry.json")},
    )
    asyncio.run(until(is_served))
    assert time.monotonic() - began < RECOVERY_S


def test_a_target_stops_also_when_the_store_is_gone(children, ports):
    asyncio.run(start_serving(ports))
    store, target, *_ = children
    store.kill()
    store.wait()
    target.send_signal(signal.SIGTERM)
    assert target.wait(BOUND_S) == 0


@pytest.mark.usefixtures("children")
def test_a_new_configuration_is_taken_from_the_control_port(ports):
    asyncio.run(change_keys(ports))


@pytest.mark.parametrize(
    ("path", "body", "words"),
    [
        (b"/trouble", b'{"trouble": "odd"}', "odd"),
        (b"/trouble", b"{", "truncated"),
        (b"/nothing", b"{}", "/nothing"),
    ],
)
@pytest.mark.usefixtures("children")
def test_a_wrong_order_says_what_is_wrong(ports, path, body, words):
    async def ask():
        return await tell(ports[1], b"POST", path, body)

    status, answer = asyncio.run(until(ask))
    assert status == (404 if path == b"/nothing" else 400)
    assert words in answer["error"]


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["store", "--listen=nowhere"], ["nowhere"]),
        (["store", "--listen=127.0.0.1:0", "--configuration=missing"], ["missing"]),
        (
            ["target", "--listen=127.0.0.1:0", "--store=x", "--service=plain"],
            ["'x'", "IP:PORT"],
        ),
        (["store", "--lisen=127.0.0.1:0"], ["--lisen", "--listen"]),
        (
            ["target", "--listen=a", "--store=b", "--service=c", "--events=many"],
            ["--events", "'many'", "int"],
        ),
    ],
)
def test_wrong_arguments(arguments, words):
    command = [sys.executable, "-m", "lagoontide", "standin", "platform", *arguments]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=BOUND_S)
    assert ended.returncode == 2
    for word in words:
        assert word in ended.stderr
