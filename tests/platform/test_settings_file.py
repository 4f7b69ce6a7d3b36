"""Settings files that are odd, or late: what an entry needs, and what has a default."""

import asyncio
import signal
import socket

import msgspec
import pytest

from lagoontide.bench.soak.entries import EntryProcess
from lagoontide.errors import SettingsError
from lagoontide.http1.tcp import connect_tcp
from lagoontide.platform.settings import load_platform_settings
from lagoontide.platform.standins.settings import GRACE_S, write_settings
from tests.support.odd_values import vary

SETTINGS = {
    "node": "front-1",
    "ip": "10.0.0.1",
    "zone": "z1",
    "listen": {
        "front": "10.0.0.1:1",
        "ready": "10.0.0.1:2",
        "control": "10.0.0.1:3",
    },
    "port_range": [7740, 7755],
    "seeds": ["10.0.0.2:3", "10.0.0.3:3"],
    "heartbeat_ms": 1000,
    "limits": {"cpu_share": 0.5, "cores": 2, "memory_mb": 300},
    "bounds": {"grace_s": 5, "retry_ratio": 0.1, "config_apply_ms": 1000},
    "platform": {"address": "10.0.0.9:3", "ttl_min_ms": 2000},
}
REQUIRED = {"node", "ip", "listen", "platform"}
TIMEOUT_S = 20.0
PORTS = (18725, 18721, 18728)
HOST = "127.0.0.1"


def load(tmp_path, data):
    path = tmp_path / "boot.json"
    path.write_bytes(data if isinstance(data, bytes) else msgspec.json.encode(data))
    return load_platform_settings(path)


# Guards against entries that do not start for an option that has a default.
@pytest.mark.parametrize("value", [None, "odd", [None], {"a": None}, -1, 2**64])
@pytest.mark.parametrize("name", sorted(SETTINGS.keys() - REQUIRED))
def test_option_that_cannot_be_read_has_its_default(tmp_path, name, value):
    cfg = load(tmp_path, SETTINGS | {name: value})
    assert cfg.callers == ("10.0.0.1", 1)
    assert cfg.bounds.retry_window == 10.0
    without = {key: SETTINGS[key] for key in SETTINGS if key != name}
    if name != "zone" or not isinstance(value, str):
        assert cfg == load(tmp_path, without)


def test_seed_that_cannot_be_read_is_left_out(tmp_path):
    seeds = ["nowhere", None, "10.0.0.2:3", "10.0.0.2:99999", 7]
    cfg = load(tmp_path, SETTINGS | {"seeds": seeds})
    assert cfg.seeds == (("10.0.0.2", 3),)


def test_bound_that_cannot_be_read_leaves_the_others(tmp_path):
    bounds = {"grace_s": 0, "retry_window_s": None, "config_apply_ms": 1000}
    cfg = load(tmp_path, SETTINGS | {"bounds": bounds})
    assert (cfg.bounds.grace_period, cfg.bounds.apply_within) == (8.0, 1.0)


@pytest.mark.parametrize("name", sorted(REQUIRED))
def test_setting_that_is_needed_is_named_when_it_is_missing(tmp_path, name):
    without = {key: SETTINGS[key] for key in SETTINGS if key != name}
    with pytest.raises(SettingsError, match=name):
        load(tmp_path, without)


# Guards against a reload whose error ends the process.
def test_odd_settings_are_read_or_a_settings_error(tmp_path):
    for value in vary(SETTINGS):
        try:
            cfg = load(tmp_path, value)
        except SettingsError as exc:
            assert "boot.json" in str(exc)
            continue
        assert cfg.bounds.apply_within > 0.0
        msgspec.msgpack.encode(cfg)


async def wait_until_listening(entry):
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            assert entry.child.poll() is None
            try:
                tcp = await connect_tcp(HOST, PORTS[0], 0.5)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            tcp.abort()
            return


def run_entry(tmp_path, scenario):
    settings = tmp_path / "entry.json"
    write_settings(settings, "entry", HOST, PORTS, f"{HOST}:9", [f"{HOST}:9"], GRACE_S)
    entry = EntryProcess("entry", HOST, settings, tmp_path / "entry.log")
    try:
        asyncio.run(scenario(entry, settings))
        entry.child.send_signal(signal.SIGTERM)
        assert entry.child.wait(TIMEOUT_S) == 0
    finally:
        if entry.child.poll() is None:
            entry.child.kill()
            entry.child.wait()


# Guards against an entry that ends as the process before it still has its address.
@pytest.mark.parametrize("place", range(3))
def test_entry_waits_for_an_address_that_is_still_held(tmp_path, place):
    async def scenario(entry, settings):
        with socket.create_server((HOST, PORTS[place])):
            entry.start()
            await asyncio.sleep(2.0)
            assert entry.child.poll() is None
        await wait_until_listening(entry)

    run_entry(tmp_path, scenario)


# Guards against an entry that ends as its settings are written while it starts.
def test_entry_waits_for_settings_that_are_being_written(tmp_path):
    async def scenario(entry, settings):
        text = settings.read_bytes()
        settings.write_bytes(text[: len(text) // 2])
        entry.start()
        await asyncio.sleep(1.0)
        assert entry.child.poll() is None
        settings.write_bytes(text)
        await wait_until_listening(entry)

    run_entry(tmp_path, scenario)
