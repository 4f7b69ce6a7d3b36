"""The metrics page names what the code sends, and nothing else."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SOURCE = ROOT / "src" / "lagoontide"
PAGE = ROOT / "docs" / "operations" / "metrics.md"
KINDS = {"count": "counter", "time": "timer", "gauge": "gauge"}


def _read_name(node):
    """A constant, or an f-string whose parts that vary become stars."""
    if isinstance(node, ast.Constant):
        return node.value
    assert isinstance(node, ast.JoinedStr), (
        f"line {node.lineno}: write the metric's name in the call itself"
    )
    parts = (x.value if isinstance(x, ast.Constant) else "*" for x in node.values)
    return "".join(parts)


def _find_sent(path):
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        holder = ast.unparse(node.func.value)
        if node.func.attr in KINDS and holder.split(".")[-1] in {"metrics", "_metrics"}:
            yield _read_name(node.args[0]), KINDS[node.func.attr]


def _find_documented():
    row = re.compile(r"^\| `([A-Za-z_.]+)` \| (\w+) \| (\w+) \|", re.MULTILINE)
    for name, kind, _ in row.findall(PAGE.read_text("utf-8")):
        yield re.sub(r"[A-Z]+", "*", name), kind


def test_page_and_code_agree():
    sent = {item for path in SOURCE.rglob("*.py") for item in _find_sent(path)}
    documented = list(_find_documented())
    assert len(documented) == len(set(documented))
    assert sent == set(documented)
