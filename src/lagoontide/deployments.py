"""The bundled example deployments, and sample requests for them."""

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
    "DEMO_OPERATOR_TOKEN",
    "SampleRequest",
    "find_deployment",
    "hash_token",
    "load_deployment",
    "generate_sample_requests",
    "make_sample_request",
    "make_account_token",
    "place_replicas",
]

DEMO_OPERATOR_TOKEN = "demo-operator"
DEPLOYMENTS_DIR = Path(__file__).resolve().parents[2] / "deployments"


@dataclass(frozen=True, slots=True)
class Placement:
    """A replica of a service and the failure domain that it runs in."""

    name: str
    service: Service
    failure_domain: str


@dataclass(frozen=True, slots=True)
class SampleRequest:
    """A valid request of a client account to a deployment."""

    account: Account
    route: Route
    priority: Priority
    body: Values


def find_deployment(name: str) -> Path:
    """Return the path of a deployment's file, given its name or a path.

    Raises
    ------
    SettingsError
        If there is no such file.
    """
    for path in (Path(name), DEPLOYMENTS_DIR / f"{name}.toml"):
        if path.is_file():
            return path
    known = ", ".join(sorted(path.stem for path in DEPLOYMENTS_DIR.glob("*.toml")))
    raise SettingsError(
        f"no deployment {name!r}; use one of {known}, or the path of a file"
    )


def load_deployment(name: str) -> Document:
    """Load and return the configuration document of a deployment."""
    return load_document(find_deployment(name))


def place_replicas(document: Document) -> tuple[Placement, ...]:
    """Assign the replicas of each service to failure domains, round robin."""
    return tuple(
        Placement(f"{service.name}-{number}", service, domain)
        for service in document.services.values()
        for number, domain in zip(
            range(1, service.replicas + 1), itertools.cycle(document.failure_domains)
        )
    )


def hash_token(token: str) -> str:
    """Return the SHA-256 hex digest under which settings and documents list a token."""
    return hashlib.sha256(token.encode()).hexdigest()


def make_account_token(account: str) -> str:
    """Return the bearer token of a client account in the example deployments."""
    return f"demo-{account}"


def generate_sample_requests(document: Document, run: str) -> Iterator[SampleRequest]:
    """Yield sample requests indefinitely, cycling over all accounts and routes.

    Parameters
    ----------
    run : str
        Included in each body, so that different runs send different bodies.
    """
    pairs = [
        (account, document.routes[route])
        for account in document.accounts.values()
        for route in account.routes
    ]
    for number, (account, route) in enumerate(itertools.cycle(pairs)):
        yield make_sample_request(account, route, f"{run}-{number}")


def make_sample_request(account: Account, route: Route, mark: str) -> SampleRequest:
    """Return a sample request of an account.

    Parameters
    ----------
    mark : str
        Text included in every field of the body, to make it unique.
    """
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
