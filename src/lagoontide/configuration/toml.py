"""A document as TOML text, for operators to edit."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

__all__ = ["render_toml"]

TABLES_AT_TOP = ("services", "routes", "accounts")
STAGES = "stages"


def render_toml(data: Mapping[str, Any]) -> str:
    """Return the TOML of a dumped document."""
    return "\n".join(_render(data)) + "\n"


def _render(data: Mapping[str, Any]) -> Iterator[str]:
    yield f"failure_domains = {_show(data['failure_domains'])}"
    for section in TABLES_AT_TOP:
        for name, item in data[section].items():
            yield f"\n[{section}.{name}]"
            yield from _render_table(item)
            for stage in item.get(STAGES, ()):
                yield f"\n[[{section}.{name}.{STAGES}]]"
                yield from _render_table(stage)
    yield "\n[policies]"
    yield from _render_table(data["policies"])


def _render_table(item: Mapping[str, Any]) -> Iterator[str]:
    for key, value in item.items():
        if key != STAGES:
            yield f"{key} = {_show(value)}"


def _show(value: Any) -> str:
    match value:
        case Mapping():
            inner = ", ".join(f"{key} = {_show(item)}" for key, item in value.items())
            return f"{{ {inner} }}" if inner else "{}"
        case list() | tuple():
            return f"[{', '.join(map(_show, value))}]"
        case str():
            # TOML reads JSON's strings, but for one control character.
            return msgspec.json.encode(value).decode().replace("\x7f", "\\u007f")
        case _:
            return msgspec.json.encode(value).decode()
