"""The forms: which fields each part of the document has."""

import itertools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Any

from lagoontide.configuration.document import (
    CutOff,
    Document,
    Priority,
    ServiceKind,
)
from lagoontide.configuration.model import MAX_STAGES
from lagoontide.console.fields import Field, FieldKind, read_value, show_value
from lagoontide.errors import Problem

__all__ = [
    "STAGES",
    "Form",
    "Typed",
    "build_item",
    "close_gaps",
    "flatten_item",
    "make_form",
]

STAGES = "stages"
ONCE = "once"

# Texts of a form by the field's full name, such as ``stages.0.service``.
Typed = dict[str, str]

PRIORITY_CHOICES = tuple(map(str, Priority))
OBJECTIVE_HELP = "Share of requests right and in time, such as 0.99."


@dataclass(frozen=True, slots=True)
class Form:
    """A form over one part of the document.

    Attributes
    ----------
    place : tuple of str
        Keys of the part from the top; none for values at the top itself.
    stages : tuple of Field
        Fields of each stage; none unless the part is a route.
    """

    place: tuple[str, ...]
    fields: tuple[Field, ...]
    stages: tuple[Field, ...] = ()

    @property
    def slots(self) -> range:
        """Places for stages, used or empty."""
        return range(MAX_STAGES if self.stages else 0)

    def list_fields(self) -> Iterator[Field]:
        """Yield every field under its full name."""
        yield from self.fields
        for index in self.slots:
            yield from self.list_stage(index)

    def list_stage(self, index: int) -> Iterator[Field]:
        """Yield the fields of one stage under their full names."""
        for field in self.stages:
            yield replace(field, name=f"{STAGES}.{index}.{field.name}")

    def name_place(self, field: str) -> str:
        """Return the place in the document of a field, as problems name it."""
        return ".".join((*self.place, field))


def make_form(
    section: str, name: str, document: Document, targets: tuple[str, ...] = ()
) -> Form | None:
    """Return the form of a part, or None if there is no such section.

    Parameters
    ----------
    targets : tuple of str
        Targets of a service that are known, to choose from.
    """
    match section:
        case "routes":
            services = tuple(sorted(document.services))
            return Form((section, name), _ROUTE, _make_stage(services))
        case "services":
            return Form((section, name), _make_service(targets))
        case "accounts":
            return Form((section, name), _make_account(tuple(sorted(document.routes))))
        case "policies":
            return Form((section,), _POLICIES)
        case "failure-domains":
            return Form((), _DOMAINS)
    return None


def flatten_item(form: Form, item: Mapping[str, Any]) -> Typed:
    """Return the texts of a part as the document has it."""
    typed = {
        field.name: show_value(field, item.get(field.name)) for field in form.fields
    }
    stages = item.get(STAGES, ())
    for index, field in itertools.product(form.slots, form.stages):
        stage = _show_stage(stages[index]) if index < len(stages) else {}
        text = show_value(field, stage.get(field.name))
        typed[f"{STAGES}.{index}.{field.name}"] = text
    return typed


def build_item(form: Form, typed: Typed) -> tuple[dict[str, Any], list[Problem]]:
    """Return the part that was typed and what cannot be read of it."""
    item, problems = _build(form, form.fields, typed, "")
    if not form.stages:
        return item, problems
    stages = []
    for index in form.slots:
        prefix = f"{STAGES}.{index}."
        if any(typed.get(f"{prefix}{field.name}") for field in form.stages):
            stage, wrong = _build(form, form.stages, typed, prefix)
            stages.append(_read_stage(stage))
            problems.extend(wrong)
    return item | {STAGES: stages}, problems


def close_gaps(form: Form, typed: Typed) -> Typed:
    """Return the texts with used stages first, so that indexes are the document's."""
    names = [field.name for field in form.stages]
    slots = [
        [typed.get(f"{STAGES}.{i}.{name}", "") for name in names] for i in form.slots
    ]
    used = sorted(slots, key=lambda texts: not any(texts))
    moved = {
        f"{STAGES}.{index}.{name}": text
        for index, texts in enumerate(used)
        for name, text in zip(names, texts, strict=True)
    }
    return typed | moved


def _show_stage(stage: Mapping[str, Any]) -> dict[str, Any]:
    """Turn ``repeatable`` round: a stage that is not there has no mark."""
    return {**stage, ONCE: not stage.get("repeatable", True)}


def _read_stage(stage: dict[str, Any]) -> dict[str, Any]:
    kept = {key: value for key, value in stage.items() if key != ONCE}
    return kept | {"repeatable": not stage[ONCE]}


def _build(
    form: Form, fields: tuple[Field, ...], typed: Typed, prefix: str
) -> tuple[dict[str, Any], list[Problem]]:
    item, problems = {}, []
    for field in fields:
        place = form.name_place(f"{prefix}{field.name}")
        value, wrong = read_value(field, typed.get(f"{prefix}{field.name}", ""), place)
        problems.extend(wrong)
        if value is not None:
            item[field.name] = value
    return item, problems


_ROUTE = (
    Field("deadline", "Deadline in seconds", help="From arrival to the whole answer."),
    Field("priority", "Priority", FieldKind.CHOICE, choices=PRIORITY_CHOICES),
    Field("objective", "Objective", help=OBJECTIVE_HELP),
    Field(
        "answer",
        "Answer",
        FieldKind.PAIRS,
        "One FIELD = STAGE.FIELD on each line.",
    ),
)

_POLICIES = (
    Field(
        "objective_window",
        "Window of the objectives in seconds",
        help="2592000 is 30 days.",
    ),
    Field(
        "cut_off_after",
        "Seconds without word of the store until an entry counts as cut off",
    ),
    Field(
        "cut_off",
        "What it serves then",
        FieldKind.CHOICE,
        "All, routes without non-repeatable stages only, or nothing.",
        tuple(map(str, CutOff)),
    ),
)

_DOMAINS = (
    Field("failure_domains", "Failure domains", FieldKind.LINES, "One on each line."),
)


def _make_stage(services: tuple[str, ...]) -> tuple[Field, ...]:
    return (
        Field("name", "Stage"),
        Field("service", "Service", FieldKind.CHOICE, choices=("", *services)),
        Field("operation", "Operation"),
        Field("expected", "Expected seconds", help="0 takes the service's."),
        Field(
            ONCE,
            "May not be repeated",
            FieldKind.CHECK,
            "Runs at most once, as for a credit note or an order.",
        ),
        Field(
            "inputs",
            "Inputs",
            FieldKind.PAIRS,
            "One NAME = request.FIELD or STAGE.FIELD on each line.",
        ),
        Field("constants", "Constants", FieldKind.PAIRS, "One NAME = VALUE each."),
    )


def _make_service(targets: tuple[str, ...]) -> tuple[Field, ...]:
    return (
        Field("kind", "Kind", FieldKind.CHOICE, choices=tuple(map(str, ServiceKind))),
        Field("replicas", "Targets meant to serve"),
        Field("slots", "Calls that one target takes at the same time, at first"),
        Field("expected", "Expected seconds of a call on an idle target"),
        Field("reports_load", "Reports its load", FieldKind.CHECK),
        Field(
            "checks_orders",
            "Checks who gives it an order",
            FieldKind.CHECK,
            "It refuses an order with an old fencing number.",
        ),
        Field(
            "draining",
            "Drain",
            FieldKind.MANY,
            "Marked targets get no new work; what runs there goes on.",
            targets,
        ),
    )


def _make_account(routes: tuple[str, ...]) -> tuple[Field, ...]:
    return (
        Field("routes", "Routes", FieldKind.MANY, choices=routes),
        Field("priorities", "Priorities", FieldKind.MANY, choices=PRIORITY_CHOICES),
        Field("weight", "Weight", help="Share of a busy target beside other accounts."),
        Field("requests_per_second", "Requests a second, over all entries"),
        Field("burst", "Requests at once beyond the rate"),
        Field("objective", "Objective", help=f"{OBJECTIVE_HELP} May be empty."),
        Field(
            "token_hashes",
            "Tokens",
            FieldKind.LINES,
            "SHA-256 of each bearer token in hex, one on each line.",
        ),
    )
