"""What must hold between the parts of a document.

Each check takes a draft and yields every problem that it finds, so that an
operator sees all of them at once. Parts that are wrong by themselves are left
out; a reference to one is no further problem.
"""

from __future__ import annotations

import functools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING

from lagoontide.errors import Problem

if TYPE_CHECKING:
    from lagoontide.configuration.model import (
        AccountModel,
        Draft,
        RouteModel,
        ServiceModel,
        StageModel,
    )

__all__ = ["find_problems"]

REQUEST_ORIGIN = "request"

# Seconds of each service that one request of a route needs.
Work = dict[str, float]


def find_problems(draft: Draft) -> Iterator[Problem]:
    """Yield what is wrong between the parts of a draft."""
    yield from _find_duplicates("failure_domains", draft.failure_domains)
    for name, service in draft.services.items():
        yield from _check_service(f"services.{name}", service)
    for name, route in draft.routes.items():
        place = f"routes.{name}"
        yield from _check_stages(place, route, draft)
        yield from _check_sources(place, route)
        yield from _check_deadline(place, route, draft)
    least = _make_least(draft)
    for name, account in draft.accounts.items():
        yield from _check_account(f"accounts.{name}", account, draft)
        work = least(account.routes)
        yield from _check_limit(f"accounts.{name}", account, draft, work)
    yield from _check_tokens(draft)


def _find_duplicates(place: str, names: Sequence[str]) -> Iterator[Problem]:
    if len(set(names)) == len(names):
        return
    for name, times in Counter(names).items():
        if times > 1:
            yield Problem(place, f"{name!r} appears {times} times")


def _check_service(place: str, service: ServiceModel) -> Iterator[Problem]:
    yield from _find_duplicates(f"{place}.draining", service.draining)
    marked = len(set(service.draining))
    if marked >= service.replicas:
        yield Problem(
            f"{place}.draining",
            f"{marked} targets are marked and {service.replicas} are meant to serve; "
            "none would be left",
        )


def _check_stages(place: str, route: RouteModel, draft: Draft) -> Iterator[Problem]:
    yield from _find_duplicates(f"{place}.stages", [x.name for x in route.stages])
    for index, stage in enumerate(route.stages):
        here = f"{place}.stages.{index}"
        if stage.name == REQUEST_ORIGIN:
            yield Problem(
                f"{here}.name", "'request' is the name of the body that callers send"
            )
        if stage.service not in draft.names["services"]:
            yield Problem(f"{here}.service", f"no service {stage.service!r}")
        for field in sorted(stage.inputs.keys() & stage.constants.keys()):
            yield Problem(f"{here}.constants.{field}", "is an input already")


def _check_sources(place: str, route: RouteModel) -> Iterator[Problem]:
    known = {REQUEST_ORIGIN}
    later = {stage.name: stage for stage in route.stages}
    for index, stage in enumerate(route.stages):
        for field, source in stage.inputs.items():
            origin = source.partition(".")[0]
            if origin not in known:
                text = _explain_source(stage.name, origin, later)
                yield Problem(f"{place}.stages.{index}.inputs.{field}", text)
        known.add(stage.name)
    for field, source in route.answer.items():
        origin = source.partition(".")[0]
        if origin not in known:
            yield Problem(f"{place}.answer.{field}", f"no stage {origin!r}")


def _explain_source(stage: str, origin: str, stages: dict[str, StageModel]) -> str:
    if origin not in stages:
        return f"no stage {origin!r}"
    if stage in _find_needs(origin, stages):
        return f"{stage!r} and {origin!r} wait for each other: a cycle"
    return f"stage {origin!r} comes later"


def _find_needs(name: str, stages: dict[str, StageModel]) -> set[str]:
    """Return the stages whose output a stage needs, and itself."""
    needs: set[str] = set()
    pending = [name]
    while pending:
        stage = stages.get(pending.pop())
        if stage is None or stage.name in needs:
            continue
        needs.add(stage.name)
        pending.extend(x.partition(".")[0] for x in stage.inputs.values())
    return needs


def _expect(stage: StageModel, draft: Draft) -> float:
    service = draft.services.get(stage.service)
    return stage.expected or (service.expected if service else 0.0)


def _check_deadline(place: str, route: RouteModel, draft: Draft) -> Iterator[Problem]:
    needed = sum(_expect(stage, draft) for stage in route.stages)
    if needed > route.deadline:
        yield Problem(
            f"{place}.deadline",
            f"{route.deadline:g} s is less than the {needed:g} s that its stages "
            "need on idle targets",
        )


def _check_account(
    place: str, account: AccountModel, draft: Draft
) -> Iterator[Problem]:
    yield from _find_duplicates(f"{place}.routes", account.routes)
    yield from _find_duplicates(f"{place}.priorities", account.priorities)
    yield from _find_duplicates(f"{place}.token_hashes", account.token_hashes)
    for index, name in enumerate(account.routes):
        if name not in draft.names["routes"]:
            yield Problem(f"{place}.routes.{index}", f"no route {name!r}")


def _check_limit(
    place: str, account: AccountModel, draft: Draft, work: Work
) -> Iterator[Problem]:
    """Find pools that could not serve the account's rate by any mix of its routes."""
    for name, seconds in work.items():
        service = draft.services[name]
        capacity = (service.replicas - len(service.draining)) * service.slots
        wanted = account.requests_per_second * seconds
        if wanted > capacity:
            yield Problem(
                f"{place}.requests_per_second",
                f"{account.requests_per_second:g} requests/s need at least "
                f"{wanted:g} slots of service {name!r}, which has {capacity}",
            )


def _make_least(draft: Draft) -> Callable[[tuple[str, ...]], Work]:
    """Return a function of routes: the least work that each service has by any mix.

    Most accounts have one of a few sets of routes, so results are kept.
    """
    work = {name: _measure_work(route, draft) for name, route in draft.routes.items()}

    @functools.cache
    def least(names: tuple[str, ...]) -> Work:
        if any(name not in work for name in names):
            return {}
        routes = [work[name] for name in names]
        shared = set(routes[0]).intersection(*routes[1:]) & draft.services.keys()
        return {name: min(x[name] for x in routes) for name in sorted(shared)}

    return least


def _measure_work(route: RouteModel, draft: Draft) -> Work:
    work: Work = defaultdict(float)
    for stage in route.stages:
        work[stage.service] += _expect(stage, draft)
    return work


def _check_tokens(draft: Draft) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for name, account in draft.accounts.items():
        for index, token in enumerate(account.token_hashes):
            owner = owners.setdefault(token, name)
            if owner != name:
                yield Problem(
                    f"accounts.{name}.token_hashes.{index}",
                    f"account {owner!r} has the same token",
                )
