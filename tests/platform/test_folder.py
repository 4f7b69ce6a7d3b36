"""Only the platform/ folder uses the platform's names, and it makes no decisions."""

import ast
import re
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[2] / "src" / "lagoontide"
FOLDER = SOURCE / "platform"

# Names in the platform's documentation that lagoontide does not use itself.
PLATFORM_NAMES = re.compile(
    r"x-lagoontide|/lagoontide/|lagoontide_config|kv-(range|watch|txn|lease|keep|key)"
    r"|stage-(run|free)|op/config|servers/|\b(api_keys|target_latency_ms|headroom_mb"
    r"|allow_anonymous|traffic_split|resume_streams|gap_target_ms|not.executed"
    r"|expect.instance|kv_capacity_tokens|max_body_bytes_ms)\b",
    re.IGNORECASE,
)
# Modules that make routing, batching or retry decisions: not to be imported here.
DECISION_MODULES = (
    "lagoontide.targets.choose",
    "lagoontide.targets.health",
    "lagoontide.pieces.batch",
    "lagoontide.pieces.admission",
    "lagoontide.forward.retries",
    "lagoontide.forward.outcome",
)


def files(folder):
    return [path for path in folder.rglob("*.py") if "__pycache__" not in path.parts]


def lines(paths):
    return sum(len(path.read_text("utf-8").splitlines()) for path in paths)


def test_platform_names_stay_in_platform_folder():
    violations = [
        f"{path.relative_to(SOURCE)}: {match[0]}"
        for path in files(SOURCE)
        if FOLDER not in path.parents
        for match in PLATFORM_NAMES.finditer(path.read_text("utf-8"))
    ]
    assert violations == []


def test_folder_is_under_a_tenth_of_the_package():
    assert lines(files(FOLDER)) * 10 < lines(files(SOURCE))


def test_folder_imports_no_decision_module():
    violations = [
        f"{path.name} imports {node.module}"
        for path in files(FOLDER)
        for node in ast.walk(ast.parse(path.read_text("utf-8")))
        if isinstance(node, ast.ImportFrom) and node.module in DECISION_MODULES
    ]
    assert violations == []
