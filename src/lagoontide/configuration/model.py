"""The document as operators write it: validated whole, all errors at once."""

import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from lagoontide.configuration.checks import find_problems
from lagoontide.configuration.document import (
    Account,
    CutOff,
    Document,
    Policies,
    Priority,
    Route,
    Service,
    ServiceKind,
    Stage,
)
from lagoontide.errors import DocumentError, Problem

__all__ = [
    "AccountModel",
    "Draft",
    "PoliciesModel",
    "RouteModel",
    "ServiceModel",
    "StageModel",
    "dump_document",
    "load_document",
    "parse_document",
]

MIN_STAGES = 3
MAX_STAGES = 6
MAX_DEADLINE_S = 60.0
MAX_WINDOW_S = 90 * 86400.0
# The store confirms a version every 20 s, and word of it needs a few more.
MIN_CUT_OFF_S = 30.0
MAX_CUT_OFF_S = 86400.0
SECTIONS = ("failure_domains", "services", "routes", "accounts")

Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Source = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]*\.[a-z][a-z0-9_]*$")]
TokenHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
FieldName = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_]{0,62}$")]
Expected = Annotated[float, Field(ge=0, le=MAX_DEADLINE_S)]
Objective = Annotated[float, Field(gt=0, lt=1)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class ServiceModel(_Model):
    """Border model of a service."""

    kind: ServiceKind
    replicas: Annotated[int, Field(ge=1, le=100_000)]
    reports_load: bool = False
    checks_orders: bool = False
    slots: Annotated[int, Field(ge=1, le=4096)] = 8
    expected: Expected = 0.0
    draining: tuple[Name, ...] = ()


class StageModel(_Model):
    """Border model of a stage."""

    name: Name
    service: Name
    operation: Name
    inputs: dict[FieldName, Source]
    constants: dict[FieldName, str | int | float | bool] = {}
    repeatable: bool = True
    expected: Expected = 0.0


class RouteModel(_Model):
    """Border model of a route."""

    deadline: Annotated[float, Field(gt=0, le=MAX_DEADLINE_S)]
    priority: Priority = Priority.NORMAL
    stages: Annotated[
        tuple[StageModel, ...], Field(min_length=MIN_STAGES, max_length=MAX_STAGES)
    ]
    answer: Annotated[dict[FieldName, Source], Field(min_length=1)]
    objective: Objective = 0.99


class AccountModel(_Model):
    """Border model of a client account."""

    token_hashes: Annotated[tuple[TokenHash, ...], Field(min_length=1)]
    priorities: Annotated[tuple[Priority, ...], Field(min_length=1)]
    routes: Annotated[tuple[Name, ...], Field(min_length=1)]
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    requests_per_second: Annotated[float, Field(gt=0, le=1_000_000)] = 100.0
    burst: Annotated[int, Field(ge=1, le=1_000_000)] = 100
    objective: Objective | None = None


class PoliciesModel(_Model):
    """Border model of the policies."""

    objective_window: Annotated[float, Field(ge=60, le=MAX_WINDOW_S)] = 30 * 86400.0
    cut_off_after: Annotated[float, Field(ge=MIN_CUT_OFF_S, le=MAX_CUT_OFF_S)] = 30.0
    cut_off: CutOff = CutOff.SERVE


class _Names(_Model):
    names: Annotated[tuple[Name, ...], Field(min_length=1)]


class _Key(_Model):
    name: Name


Item = TypeVar("Item", bound=_Model)


class Draft:
    """What could be read of a document, and what is wrong with the rest.

    Attributes
    ----------
    services, routes, accounts : dict
        The models that are valid by themselves; ``names`` also has the others, so
        that a reference to one is no further problem.
    """

    def __init__(self, data: Mapping[str, Any]) -> None:
        self.problems: list[Problem] = []
        self.names: dict[str, frozenset[str]] = {}
        self.failure_domains = self._read_names(data)
        self.services = self._read_section(data, "services", ServiceModel)
        self.routes = self._read_section(data, "routes", RouteModel)
        self.accounts = self._read_section(data, "accounts", AccountModel)
        self.policies = self._read("policies", PoliciesModel, data.get("policies", {}))
        for key in data.keys() - {*SECTIONS, "policies"}:
            self.problems.append(Problem(str(key), "is no part of a document"))

    def to_document(self) -> Document:
        """Return the document; only to be called when there is no problem."""
        assert self.policies is not None
        return Document(
            failure_domains=self.failure_domains,
            services={
                name: Service(name=name, **model.model_dump())
                for name, model in self.services.items()
            },
            routes={
                name: _make_route(name, model) for name, model in self.routes.items()
            },
            accounts={
                name: Account(name=name, **model.model_dump())
                for name, model in self.accounts.items()
            },
            policies=Policies(**self.policies.model_dump()),
        )

    def _read_names(self, data: Mapping[str, Any]) -> tuple[str, ...]:
        place = "failure_domains"
        try:
            return _Names.model_validate({"names": data.get(place, ())}).names
        except ValidationError as exc:
            self.problems.extend(_describe(place, exc, skip=1))
            return ()

    def _read_section(
        self, data: Mapping[str, Any], place: str, kind: type[Item]
    ) -> dict[str, Item]:
        items = data.get(place)
        self.names[place] = frozenset(items) if isinstance(items, dict) else frozenset()
        if not isinstance(items, dict) or not items:
            self.problems.append(Problem(place, "has to name at least one"))
            return {}
        read = {
            name: self._read(f"{place}.{name}", kind, item)
            for name, item in items.items()
        }
        for name in items:
            self._read(f"{place}.{name}", _Key, {"name": name}, skip=1)
        return {name: model for name, model in read.items() if model is not None}

    def _read(
        self, place: str, kind: type[Item], value: Any, skip: int = 0
    ) -> Item | None:
        try:
            return kind.model_validate(value)
        except ValidationError as exc:
            self.problems.extend(_describe(place, exc, skip))
            return None


def _make_route(name: str, model: RouteModel) -> Route:
    return Route(
        name=name,
        deadline=model.deadline,
        priority=model.priority,
        stages=tuple(Stage(**stage.model_dump()) for stage in model.stages),
        answer=model.answer,
        objective=model.objective,
    )


def _describe(place: str, exc: ValidationError, skip: int = 0) -> Iterator[Problem]:
    for error in exc.errors(include_url=False):
        parts = (str(part) for part in error["loc"][skip:])
        text = f"{error['msg']}, got {error['input']!r:.80}"
        yield Problem(".".join((place, *parts)), text)


def parse_document(data: Mapping[str, Any]) -> Document:
    """Return the document of parsed TOML or JSON.

    Raises
    ------
    DocumentError
        With every problem found, each named by its place.
    """
    draft = Draft(data)
    problems = (*draft.problems, *find_problems(draft))
    if problems:
        raise DocumentError(problems)
    return draft.to_document()


def load_document(path: Path) -> Document:
    """Return the document of a TOML file.

    Raises
    ------
    DocumentError
        If the file cannot be read, is not TOML or not a valid document.
    """
    try:
        data = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise DocumentError((Problem(str(path), str(exc)),), step="read") from exc
    return parse_document(data)


def dump_document(document: Document) -> dict[str, Any]:
    """Return a document as ``parse_document`` takes it."""
    names = Document.__struct_fields__
    data = {name: msgspec.to_builtins(getattr(document, name)) for name in names}
    for place in ("services", "routes", "accounts"):
        for item in data[place].values():
            del item["name"]
    for account in data["accounts"].values():
        if account["objective"] is None:
            del account["objective"]
    return data
