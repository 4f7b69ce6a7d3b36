"""Log lines of entries, as files hold them."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from lagoontide.errors import UsageError

__all__ = ["Line", "parse_line", "read_files"]

# A collector may put its own time and the process before a line.
PREFIXED = re.compile(r"^\s*(?P<time>-?\d+\.\d+)\s+(?P<process>\S+)\s+(?P<json>\{.*)$")


@dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Attributes
    ----------
    time : str
        The collector's time if it put one in front, else the process's own.
    order : float or str
        What lines of one collection are sorted by.
    fields : dict
        Everything else that the line says.
    """

    time: str
    order: float | str
    process: str
    level: str
    message: str
    fields: dict[str, Any] = field(default_factory=dict)


def parse_line(text: str) -> Line | None:
    """Return a log line, or None for any other text."""
    prefixed = PREFIXED.match(text)
    body = prefixed["json"] if prefixed else text
    try:
        data = msgspec.json.decode(body.strip().encode(), type=dict[str, Any])
    except (msgspec.DecodeError, RecursionError):
        return None
    if "message" not in data:
        return None
    time = str(data.pop("time", ""))
    process = str(data.pop("process", ""))
    order: float | str = time
    if prefixed:
        time, process = prefixed["time"], process or prefixed["process"]
        order = float(time)
    level = str(data.pop("level", ""))
    return Line(time, order, process, level, str(data.pop("message")), data)


def read_files(paths: Iterable[str]) -> Iterator[Line]:
    """Yield the log lines of files; other text in them is passed over.

    Raises
    ------
    UsageError
        If a file cannot be read.
    """
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                yield from filter(None, map(parse_line, file))
        except OSError as exc:
            raise UsageError(f"{path}: {exc}", step="logs") from exc
