"""The document as operators write it: validated whole, all errors at once."""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from lagoontide.configuration.document import (
    Account,
    Document,
    Priority,
    Route,
    Service,
    ServiceKind,
    Stage,
)
from lagoontide.errors import DocumentError

__all__ = ["DocumentModel", "load_document", "parse_document"]

MIN_STAGES = 3
MAX_STAGES = 6
MAX_DEADLINE_S = 60.0

Name = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,62}$")]
Source = Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]*\.[a-z][a-z0-9_]*$")]
TokenHash = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
FieldName = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_]{0,62}$")]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class ServiceModel(_Model):
    """Border model of a service."""

    kind: ServiceKind
    replicas: Annotated[int, Field(ge=1, le=100_000)]
    reports_load: bool = False
    checks_orders: bool = False
    slots: Annotated[int, Field(ge=1, le=4096)] = 8


class StageModel(_Model):
    """Border model of a stage."""

    name: Name
    service: Name
    operation: Name
    inputs: dict[FieldName, Source]
    constants: dict[FieldName, str | int | float | bool] = {}
    repeatable: bool = True


class RouteModel(_Model):
    """Border model of a route."""

    deadline: Annotated[float, Field(gt=0, le=MAX_DEADLINE_S)]
    priority: Priority = Priority.NORMAL
    stages: Annotated[
        tuple[StageModel, ...], Field(min_length=MIN_STAGES, max_length=MAX_STAGES)
    ]
    answer: Annotated[dict[FieldName, Source], Field(min_length=1)]


class AccountModel(_Model):
    """Border model of a client account."""

    token_hashes: Annotated[tuple[TokenHash, ...], Field(min_length=1)]
    priorities: Annotated[tuple[Priority, ...], Field(min_length=1)]
    routes: Annotated[tuple[Name, ...], Field(min_length=1)]
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    requests_per_second: Annotated[float, Field(gt=0, le=1_000_000)] = 100.0
    burst: Annotated[int, Field(ge=1, le=1_000_000)] = 100


class DocumentModel(_Model):
    """Border model of the whole document."""

    failure_domains: Annotated[tuple[Name, ...], Field(min_length=1)]
    services: Annotated[dict[Name, ServiceModel], Field(min_length=1)]
    routes: Annotated[dict[Name, RouteModel], Field(min_length=1)]
    accounts: Annotated[dict[Name, AccountModel], Field(min_length=1)]

    def to_document(self) -> Document:
        """Return the document as data classes."""
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
        )


def _make_route(name: str, model: RouteModel) -> Route:
    return Route(
        name=name,
        deadline=model.deadline,
        priority=model.priority,
        stages=tuple(Stage(**stage.model_dump()) for stage in model.stages),
        answer=model.answer,
    )


def parse_document(data: dict[str, Any]) -> Document:
    """Return the document of parsed TOML or JSON.

    Raises
    ------
    DocumentError
        With every problem found, each named by its place.
    """
    try:
        model = DocumentModel.model_validate(data)
    except ValidationError as exc:
        raise DocumentError(tuple(_describe(exc))) from None
    problems = tuple(_find_problems(model))
    if problems:
        raise DocumentError(problems)
    return model.to_document()


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
        raise DocumentError((f"{path}: {exc}",), step="read") from exc
    return parse_document(data)


def _describe(exc: ValidationError) -> Iterator[str]:
    for error in exc.errors(include_url=False):
        place = ".".join(str(part) for part in error["loc"])
        yield f"{place}: {error['msg']}, got {error['input']!r:.80}"


def _find_problems(model: DocumentModel) -> Iterator[str]:
    yield from _find_duplicates("failure_domains", model.failure_domains)
    for name, route in model.routes.items():
        yield from _find_route_problems(f"routes.{name}", route, model)
    for name, account in model.accounts.items():
        for route_name in account.routes:
            if route_name not in model.routes:
                yield f"accounts.{name}.routes: no route {route_name!r}"


def _find_duplicates(place: str, names: tuple[str, ...]) -> Iterator[str]:
    for index, name in enumerate(names):
        if name in names[:index]:
            yield f"{place}: {name!r} appears twice"


def _find_route_problems(
    place: str, route: RouteModel, model: DocumentModel
) -> Iterator[str]:
    yield from _find_duplicates(
        f"{place}.stages", tuple(stage.name for stage in route.stages)
    )
    known = {"request"}
    for stage in route.stages:
        here = f"{place}.stages.{stage.name}"
        if stage.name == "request":
            yield f"{here}: 'request' is the name of the caller's body"
        if stage.service not in model.services:
            yield f"{here}.service: no service {stage.service!r}"
        for field in sorted(stage.inputs.keys() & stage.constants.keys()):
            yield f"{here}.constants.{field}: is an input already"
        yield from _find_source_problems(f"{here}.inputs", stage.inputs, known)
        known.add(stage.name)
    yield from _find_source_problems(f"{place}.answer", route.answer, known)


def _find_source_problems(
    place: str, sources: dict[str, str], known: set[str]
) -> Iterator[str]:
    for field, source in sources.items():
        origin = source.partition(".")[0]
        if origin not in known:
            yield f"{place}.{field}: {origin!r} is no earlier stage"
