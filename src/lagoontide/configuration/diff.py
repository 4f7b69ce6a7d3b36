"""The difference between two documents, as operators read it."""

import itertools
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from lagoontide.configuration.document import Document

__all__ = ["Change", "diff_documents"]

NAMED_SECTIONS = ("services", "routes", "accounts")
STAGES = "stages"


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A value that differs.

    Attributes
    ----------
    place : str
        Keys from the top, joined by dots; a stage by its name.
    before, after : str
        The values as JSON; empty where there is none.
    """

    place: str
    before: str
    after: str


def diff_documents(old: Document | None, new: Document) -> tuple[Change, ...]:
    """Return what changes from one document to the other; all of it without an old."""
    if old is None:
        return tuple(_compare("", {}, msgspec.to_builtins(new)))
    return tuple(
        itertools.chain(
            _compare("failure_domains", old.failure_domains, new.failure_domains),
            *(_compare_section(name, old, new) for name in NAMED_SECTIONS),
            _compare(
                "policies",
                msgspec.to_builtins(old.policies),
                msgspec.to_builtins(new.policies),
            ),
        )
    )


def _compare_section(name: str, old: Document, new: Document) -> Iterator[Change]:
    """Compare items as they are first: most of thousands are equal."""
    before, after = getattr(old, name), getattr(new, name)
    for key in sorted(before.keys() | after.keys()):
        left, right = before.get(key), after.get(key)
        if left != right:
            yield from _compare(f"{name}.{key}", _dump(left), _dump(right))


def _dump(item: Any) -> Any:
    return None if item is None else _without_name(msgspec.to_builtins(item))


def _without_name(item: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in item.items() if key != "name"}


def _compare(place: str, left: Any, right: Any) -> Iterator[Change]:
    if left == right:
        return
    if isinstance(left, Mapping) and isinstance(right, Mapping):
        for key in sorted(left.keys() | right.keys()):
            here = f"{place}.{key}" if place else str(key)
            yield from _compare(here, left.get(key), right.get(key))
    elif place.endswith(f".{STAGES}") and left and right:
        yield from _compare_stages(place, left, right)
    else:
        yield Change(place, _show(left), _show(right))


def _compare_stages(place: str, left: Any, right: Any) -> Iterator[Change]:
    before = {stage["name"]: _without_name(stage) for stage in left}
    after = {stage["name"]: _without_name(stage) for stage in right}
    if list(before) != list(after):
        yield Change(f"{place}.order", _show(list(before)), _show(list(after)))
    for name in sorted(before.keys() | after.keys()):
        yield from _compare(f"{place}.{name}", before.get(name), after.get(name))


def _show(value: Any) -> str:
    return "" if value is None else msgspec.json.encode(value).decode()
