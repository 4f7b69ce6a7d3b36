"""The deployments that come with the project, and requests that fit them."""

import hashlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from lagoontide.configuration.document import (
    Account,
    Document,
    Priority,
    Route,
    Service,
)
from lagoontide.configuration.model import load_document
from lagoontide.errors import SettingsError
from lagoontide.standins.compute import Values

__all__ = [
    "Placement",
    "OPERATOR_TOKEN",
    "SampleRequest",
    "find_deployment",
    "hash_token",
    "load_deployment",
    "make_requests",
    "make_sample",
    "make_token",
    "place_replicas",
]

OPERATOR_TOKEN = "demo-operator"
FOLDER = Path(__file__).resolve().parents[2] / "deployments"


@dataclass(frozen=True, slots=True)
class Placement:
    """A replica of a service and where it runs."""

    name: str
    service: Service
    failure_domain: str


@dataclass(frozen=True, slots=True)
class SampleRequest:
    """A request that a caller of a deployment might send."""

    account: Account
    route: Route
    priority: Priority
    body: Values


def find_deployment(name: str) -> Path:
    """Return the file of a deployment, by its name or its path.

    Raises
    ------
    SettingsError
        If there is none.
    """
    for path in (Path(name), FOLDER / f"{name}.toml"):
        if path.is_file():
            return path
    known = ", ".join(sorted(path.stem for path in FOLDER.glob("*.toml")))
    raise SettingsError(f"no deployment {name!r}; there are {known}, or give a file")


def load_deployment(name: str) -> Document:
    """Return the document of a deployment."""
    return load_document(find_deployment(name))


def place_replicas(document: Document) -> tuple[Placement, ...]:
    """Spread the replicas of each service over the failure domains."""
    return tuple(
        Placement(f"{service.name}-{number}", service, domain)
        for service in document.services.values()
        for number, domain in zip(
            range(1, service.replicas + 1), itertools.cycle(document.failure_domains)
        )
    )


def hash_token(token: str) -> str:
    """Return the SHA-256 hex digest by which a token is known."""
    return hashlib.sha256(token.encode()).hexdigest()


def make_token(account: str) -> str:
    """Return the bearer token of an account in a demo."""
    return f"demo-{account}"


def make_requests(document: Document, run: str) -> Iterator[SampleRequest]:
    """Yield requests of all accounts and routes in turn, without end.

    Parameters
    ----------
    run : str
        Makes the requests' bodies different from those of another run.
    """
    pairs = [
        (account, document.routes[route])
        for account in document.accounts.values()
        for route in account.routes
    ]
    for number, (account, route) in enumerate(itertools.cycle(pairs)):
        yield make_sample(account, route, f"{run}-{number}")


def make_sample(account: Account, route: Route, mark: str) -> SampleRequest:
    """Return a request of an account whose body carries a mark."""
    priority = route.priority
    if priority not in account.priorities:
        priority = account.priorities[0]
    return SampleRequest(account, route, priority, _make_body(route, mark))


def _make_body(route: Route, mark: str) -> Values:
    sources = (source for stage in route.stages for source in stage.inputs.values())
    names = {
        source.removeprefix("request.")
        for source in sources
        if source.startswith("request.")
    }
    return {name: f"{name} {mark}" for name in sorted(names)}
