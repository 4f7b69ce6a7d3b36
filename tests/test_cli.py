"""The CLI rejects bad arguments before running anything, with exit code 2."""

import sys

import pytest

from lagoontide import cli


def _run(monkeypatch, capsys, *arguments):
    monkeypatch.setattr(sys, "argv", ["lagoontide", *arguments])
    with pytest.raises(SystemExit) as caught:
        cli.main()
    return caught.value.code, capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["entry", "--settings=missing.toml"], ["missing.toml"]),
        (["entry", "--setings=x"], ["--setings", "--settings"]),
        (["local", "--deployment=nowhere"], ["'nowhere'", "bandiera", "swanreach"]),
        (["local", "--bogus=1"], ["--bogus", "--deployment", "--requests"]),
        (["local", "--requests=many"], ["--requests", "'many'", "int"]),
        (["local", "--keep=perhaps"], ["--keep", "'perhaps'", "bool"]),
        (["bench", "path", "--seconds=x"], ["--seconds", "'x'", "float"]),
        (["config", "validate", "--file=7"], ["7"]),
        (["nonsense"], ["nonsense"]),
        (["agent"], ["settings"]),
    ],
)
def test_invalid_arguments(monkeypatch, capsys, arguments, words):
    code, err = _run(monkeypatch, capsys, *arguments)
    assert code == 2
    for word in words:
        assert word in err


def test_all_document_problems_are_printed(monkeypatch, capsys, tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text('failure_domains = []\nservices = {}\nextra = 1\nroutes = "x"\n')
    code, err = _run(monkeypatch, capsys, "config", "validate", str(path))
    assert code == 2
    for place in ("failure_domains", "services", "routes", "accounts", "extra"):
        assert place in err
