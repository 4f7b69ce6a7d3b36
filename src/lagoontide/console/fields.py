"""Fields of forms: between text that is typed and values of the document."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from lagoontide.errors import Problem

__all__ = ["Field", "FieldKind", "read_value", "show_value"]

ON = "on"


class FieldKind(StrEnum):
    """How a field is shown and read."""

    TEXT = "text"
    CHOICE = "choice"
    CHECK = "check"
    MANY = "many"
    LINES = "lines"
    PAIRS = "pairs"


@dataclass(frozen=True, slots=True)
class Field:
    """A field of a form.

    Attributes
    ----------
    name : str
        Its key in the item of the document.
    choices : tuple of str
        What a CHOICE or MANY offers; MANY also takes other names.
    """

    name: str
    label: str
    kind: FieldKind = FieldKind.TEXT
    help: str = ""
    choices: tuple[str, ...] = ()


def show_value(field: Field, value: Any) -> str:
    """Return the text of a value of the document; None is empty."""
    match field.kind:
        case _ if value is None:
            return ""
        case FieldKind.CHECK:
            return ON if value else ""
        case FieldKind.MANY:
            return "\n".join(sorted(map(str, value)))
        case FieldKind.LINES:
            return "\n".join(map(str, value))
        case FieldKind.PAIRS:
            return "\n".join(f"{key} = {_show(item)}" for key, item in value.items())
        case _:
            return _show(value)


def read_value(field: Field, text: str, place: str) -> tuple[Any, list[Problem]]:
    """Return the value of a typed text and what is wrong with it.

    An empty text gives None for a single value: the document's default. Numbers
    stay text; validation reads them and names what it cannot read.
    """
    match field.kind:
        case FieldKind.CHECK:
            return bool(text), []
        case FieldKind.MANY:
            return text.replace(",", " ").split(), []
        case FieldKind.LINES:
            return [line.strip() for line in text.splitlines() if line.strip()], []
        case FieldKind.PAIRS:
            return _read_pairs(text, place)
        case _:
            return text.strip() or None, []


def _read_pairs(text: str, place: str) -> tuple[dict[str, Any], list[Problem]]:
    pairs: dict[str, Any] = {}
    problems = []
    for line in filter(None, map(str.strip, text.splitlines())):
        key, equals, value = (part.strip() for part in line.partition("="))
        if not equals:
            problems.append(Problem(place, f"write NAME = VALUE, not {line!r}"))
        elif key in pairs:
            problems.append(Problem(place, f"{key!r} appears twice"))
        else:
            pairs[key] = _read_scalar(value)
    return pairs, problems


def _read_scalar(text: str) -> Any:
    """Return a JSON number, truth value or quoted string; else the text."""
    try:
        value = msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return text
    return value if isinstance(value, str | int | float | bool) else text


def _show(value: Any) -> str:
    """Return the text that reads as the same value."""
    if not isinstance(value, str):
        return msgspec.json.encode(value).decode()
    if (
        value != value.strip()
        or not value.isprintable()
        or _read_scalar(value) != value
    ):
        return msgspec.json.encode(value).decode()
    return value
