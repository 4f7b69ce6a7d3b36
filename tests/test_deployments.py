"""The bundled deployments have the specified services, domains and pipelines."""

import pytest

from lagoontide.configuration.document import ServiceKind
from lagoontide.deployments import load_deployment, place_replicas

REPLICAS_BY_SERVICE = {
    "swanreach": {
        "model": 6,
        "credits": 4,
        "consignments": 4,
        "couriers": 4,
        "bench": 4,
    },
    "bandiera": {
        "araldo": 6,
        "alzabandiera": 4,
        "prefetture": 4,
        "scuole": 4,
        "archivio": 4,
    },
}
FAILURE_DOMAINS = {
    "swanreach": ("welshpool", "osborne-park", "canning-vale", "malaga"),
    "bandiera": ("palermo", "catania", "messina", "siracusa"),
}
LOAD_REPORTERS = {
    "swanreach": {"consignments", "couriers", "bench"},
    "bandiera": {"prefetture", "scuole", "archivio"},
}
PLATFORM_KINDS = {ServiceKind.ENCODER, ServiceKind.RETRIEVER, ServiceKind.RERANKER}


@pytest.mark.parametrize("name", REPLICAS_BY_SERVICE)
def test_services_and_failure_domains(name):
    document = load_deployment(name)
    own = [x for x in document.services.values() if x.kind not in PLATFORM_KINDS]
    assert {item.name: item.replicas for item in own} == REPLICAS_BY_SERVICE[name]
    assert {item.name for item in own if item.reports_load} == LOAD_REPORTERS[name]
    assert document.failure_domains == FAILURE_DOMAINS[name]
    assert len(document.accounts) == 5


@pytest.mark.parametrize("name", REPLICAS_BY_SERVICE)
def test_routes_use_every_service(name):
    document = load_deployment(name)
    stages = [stage for route in document.routes.values() for stage in route.stages]
    assert {stage.service for stage in stages} == set(document.services)
    assert all(3 <= len(route.stages) <= 6 for route in document.routes.values())


def test_credits_and_flag_orders_are_not_repeatable():
    for name, service in (("swanreach", "credits"), ("bandiera", "alzabandiera")):
        routes = load_deployment(name).routes.values()
        stages = [x for route in routes for x in route.stages if x.service == service]
        assert stages
        assert not any(stage.repeatable for stage in stages)


@pytest.mark.parametrize("name", REPLICAS_BY_SERVICE)
def test_replicas_are_spread_over_failure_domains(name):
    document = load_deployment(name)
    places = place_replicas(document)
    assert len(places) == sum(x.replicas for x in document.services.values())
    for service in document.services.values():
        domains = {x.failure_domain for x in places if x.service == service}
        assert domains == set(document.failure_domains)
