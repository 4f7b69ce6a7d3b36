"""Modules import only from their own layer and from those below."""

import ast
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "lagoontide"

# Ordered from the lowest layer to the highest.
LAYERS = [
    {"decoding", "errors", "settings", "tasks", "timers", "__init__"},
    {"arguments", "logs", "metrics", "lifecycle", "supervision", "httpd", "wire"},
    {"httppool", "http1"},
    {"store", "targets", "routes", "quarantine", "origins"},
    {"scheduling", "configuration"},
    {"routing", "operators"},
    {"membership"},
    {"spreading"},
    {"dispatch"},
    {"claims", "admission"},
    {"pipeline"},
    {"protocol"},
    {"report", "console"},
    {"forward"},
    {"pieces", "mesh"},
    {"agent", "entry", "gateway"},
    {"platform"},
    {"standins", "deployments"},
    {"local"},
    {"bench"},
    {"logbook"},
    {"cli", "__main__"},
]
RANK = {name: rank for rank, names in enumerate(LAYERS) for name in names}

# Command modules are part of their package but belong to the layer of the CLI.
COMMANDS_MODULE = "commands"


def _top_level_name(module):
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else "__init__"


def _imported_modules(path):
    tree = ast.parse(path.read_text("utf-8"))
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def test_imports_point_downward():
    wrong = []
    for path in SOURCE.rglob("*.py"):
        if path.stem == COMMANDS_MODULE:
            continue
        top = path.relative_to(SOURCE).parts[0].removesuffix(".py")
        for module in _imported_modules(path):
            if module.split(".")[0] != "lagoontide":
                continue
            if RANK[_top_level_name(module)] > RANK[top]:
                wrong.append(f"{path.relative_to(SOURCE)} imports {module}")
    assert wrong == []


def test_only_bench_starts_processes():
    banned = {"subprocess", "multiprocessing"}
    wrong = [
        str(path.relative_to(SOURCE))
        for path in SOURCE.rglob("*.py")
        if "bench" not in path.parts
        and any(module.split(".")[0] in banned for module in _imported_modules(path))
    ]
    assert wrong == []
