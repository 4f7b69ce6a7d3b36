"""One change on its way through a form: what was typed, merged and validated.

A form carries the version that it was filled from and the texts as they were
then. When the document has changed meanwhile, a field that the operator left
alone takes the new value, one that the operator changed keeps what was typed, and
one that both changed is marked. So nothing typed is lost, and nothing that others
changed is turned back unseen.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from lagoontide.configuration.acceptance import make_writer
from lagoontide.configuration.document import Document
from lagoontide.configuration.model import dump_document, parse_document
from lagoontide.console.fields import FieldKind
from lagoontide.console.forms import (
    STAGES,
    Form,
    Typed,
    build_item,
    close_gaps,
    flatten_item,
)
from lagoontide.errors import DocumentError

__all__ = [
    "Edit",
    "find_item",
    "make_document",
    "merge_edit",
    "read_edit",
    "start_edit",
]

WAS = "was."
NEW_ITEM = "+"


@dataclass(frozen=True, slots=True)
class Edit:
    """A filled form.

    Attributes
    ----------
    name : str
        Name of the item; typed if it is new.
    version : int
        Version of the document that the form was filled from.
    writer : str
        Id of the proposal.
    typed, was : dict of str to str
        The texts now and as they were filled in.
    is_removal : bool
        Whether the item is to go.
    clashes : dict of str to str
        Fields that others changed too, and their accepted texts.
    """

    name: str
    version: int
    writer: str
    typed: Typed
    was: Typed
    is_removal: bool = False
    clashes: Typed = field(default_factory=dict)

    def uses_stage(self, index: int) -> bool:
        """Whether anything stands in the fields of a stage."""
        prefix = f"{STAGES}.{index}."
        return any(x for name, x in self.typed.items() if name.startswith(prefix))


def start_edit(form: Form, name: str, version: int, item: Mapping[str, Any]) -> Edit:
    """Return the form as it is filled at first."""
    typed = flatten_item(form, item)
    return Edit(name, version, make_writer(), typed, typed)


def read_edit(form: Form, name: str, sent: Mapping[str, list[str]]) -> Edit:
    """Return the form as it was sent; what cannot be one is as if never filled."""
    typed, was = {}, {}
    for item in form.list_fields():
        values = [_clean(text) for text in sent.get(item.name, [])]
        if item.kind is FieldKind.MANY:
            names = " ".join(values).replace(",", " ").split()
            typed[item.name] = "\n".join(sorted(set(names)))
        else:
            typed[item.name] = values[0] if values else ""
        was[item.name] = _clean(sent.get(f"{WAS}{item.name}", [""])[0])
    return Edit(
        name=_first(sent, "item_name") if name == NEW_ITEM else name,
        version=_read_version(_first(sent, "version")),
        writer=_first(sent, "writer")[:32] or make_writer(),
        typed=close_gaps(form, typed),
        was=was,
        is_removal=bool(_first(sent, "remove")),
    )


def merge_edit(
    form: Form, edit: Edit, version: int, item: Mapping[str, Any] | None
) -> Edit:
    """Return the edit over a newer version; ``item`` is None if it is gone."""
    if edit.version == version:
        return edit
    if item is None:
        return replace(edit, version=version, writer=make_writer())
    now = flatten_item(form, item)
    typed = {
        name: now[name] if text == edit.was[name] else text
        for name, text in edit.typed.items()
    }
    clashes = {
        name: now[name]
        for name, text in typed.items()
        if now[name] not in (text, edit.was[name])
    }
    return replace(
        edit,
        version=version,
        writer=make_writer(),
        typed=typed,
        was=now,
        clashes=clashes,
    )


def make_document(form: Form, edit: Edit, document: Document) -> Document:
    """Return the document with the edit in it.

    Raises
    ------
    DocumentError
        With every problem of the form and of the document.
    """
    data = dump_document(document)
    built, problems = build_item(form, edit.typed)
    item = _keep_same(form, edit, built, find_item(data, form.place) or {})
    _put(data, form, edit, item)
    try:
        changed = parse_document(data)
    except DocumentError as exc:
        unread = () if edit.is_removal else problems
        raise DocumentError((*unread, *exc.problems)) from None
    if problems and not edit.is_removal:
        raise DocumentError(tuple(problems))
    return changed


def find_item(data: Mapping[str, Any], place: tuple[str, ...]) -> Any:
    """Return the part of a dumped document, or None."""
    item: Any = data
    for key in place:
        item = item.get(key) if item is not None else None
    return item


def _keep_same(
    form: Form, edit: Edit, built: dict[str, Any], old: Mapping[str, Any]
) -> dict[str, Any]:
    """Take the old value where the text is the same, with its order."""
    now = flatten_item(form, old)
    changed = {
        name.partition(".")[0]
        for name, text in edit.typed.items()
        if text != now.get(name)
    }
    names = {name.partition(".")[0] for name in edit.typed}
    kept = {name: old[name] for name in names - changed if name in old}
    return built | kept


def _put(data: dict[str, Any], form: Form, edit: Edit, item: dict[str, Any]) -> None:
    match form.place:
        case ():
            data.update(item)
        case (key,):
            data[key] = item
        case (section, _) if edit.is_removal:
            data[section].pop(edit.name, None)
        case (section, _):
            data[section][edit.name] = item


def _first(sent: Mapping[str, list[str]], name: str) -> str:
    return sent.get(name, [""])[0].strip()


def _clean(text: str) -> str:
    return text.replace("\r\n", "\n").strip()


def _read_version(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() and len(text) < 19 else -1
