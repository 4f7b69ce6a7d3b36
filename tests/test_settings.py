"""Every setting is validated; errors name the file, key, value and constraint."""

import pytest

from lagoontide.errors import SettingsError
from lagoontide.settings import AgentSettings, EntrySettings, load_settings

ENTRY = """
name = "entry-1"
failure_domain = "malaga"
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "127.0.0.1:8082"
store = "http://127.0.0.1:2379"
instances = "http://127.0.0.1:2380"
"""


def _load(tmp_path, text, kind=EntrySettings):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return load_settings(path, kind)


def test_valid_settings(tmp_path):
    cfg = _load(tmp_path, ENTRY)
    assert cfg.name == "entry-1"
    assert cfg.log.format == "text"


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("threads = 0", ["threads = 0", ">= 1"]),
        ('threads = "many"', ["threads = 'many'", "int"]),
        ("drain = -1.0", ["drain = -1.0", "> 0"]),
        ("colour = 1", ["colour"]),
        ('log = { format = "xml" }', ["log.format = 'xml'", "text|json"]),
        ('statsd = { address = "metrics:8125" }', ["statsd.address", "'metrics:8125'"]),
    ],
)
def test_invalid_value(tmp_path, line, words):
    with pytest.raises(SettingsError) as caught:
        _load(tmp_path, ENTRY + line)
    for word in ["settings.toml", *words]:
        assert word in str(caught.value)


@pytest.mark.parametrize("address", ["localhost:80", "127.0.0.1", "http://127.0.0.1:1"])
def test_address_must_be_ip_and_port(tmp_path, address):
    text = ENTRY.replace("127.0.0.1:8080", address)
    with pytest.raises(SettingsError, match="callers"):
        _load(tmp_path, text)


def test_missing_key(tmp_path):
    with pytest.raises(SettingsError, match="callers"):
        _load(tmp_path, ENTRY.replace("callers", "# callers"))


def test_agent_requires_a_target(tmp_path):
    text = 'name = "a"\nfailure_domain = "d"\nservice = "s"\nlisten = "127.0.0.1:1"\n'
    with pytest.raises(SettingsError, match="target"):
        _load(tmp_path, text, AgentSettings)


@pytest.mark.parametrize("text", ["name = ", "\x00", "[[["])
def test_invalid_toml(tmp_path, text):
    with pytest.raises(SettingsError, match=r"settings\.toml"):
        _load(tmp_path, text)


def test_missing_file(tmp_path):
    with pytest.raises(SettingsError, match="missing"):
        load_settings(tmp_path / "missing.toml", EntrySettings)
