"""Resumption of streams that callers take up again, at the version that began them."""

import asyncio
import random

from loguru import logger

from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.outcome import NotRun
from lagoontide.forward.retry_after import pick_retry_after
from lagoontide.forward.selection import ready_targets
from lagoontide.routes.records import RouteKind
from lagoontide.targets.records import Target

__all__ = ["fix_version", "record_begin", "record_end"]


async def fix_version(
    state: ForwardingState, call: Call, rng: random.Random
) -> NotRun | None:
    """Fix the service and version of a stream that its caller takes up again.

    Returns
    -------
    NotRun or None
        The outcome if the version is unknown or no target has it: the stream is not
        continued at another one, and its caller may begin anew.
    """
    first_id = call.metadata.resumes
    if call.route.kind is not RouteKind.STREAM or call.metadata.last_event_id is None:
        return None
    version, source = await _find_version(state, call)
    log = logger.bind(
        request=call.metadata.request_id, resumes=first_id, service=call.service
    )
    if version is None:
        possible = _possible_versions(state, call.service)
        log.info(
            "take-up refused, its version is unknown; possible: {}",
            sorted(possible or ()),
        )
        return NotRun(
            "the version that began the stream is unknown", pick_retry_after(rng)
        )
    call.version, call.has_begun = version, True
    call.choices.append(f"taken up at version {version}, known by {source}")
    if not ready_targets(state, call):
        log.info("take-up refused: no target of version {}, {}", version, source)
        return NotRun(
            f"no target of version {version}, which began the stream",
            pick_retry_after(rng),
        )
    if first_id is not None:
        state.origins.begin(first_id, call.service, version)
    return None


async def _find_version(state: ForwardingState, call: Call) -> tuple[str | None, str]:
    """Return the version that began a stream, or None, and how it is known.

    Sets the call's service to the one that began it, among those of its route.
    """
    first_id, origins = call.metadata.resumes, state.origins
    if first_id is not None:
        services = _services(call)
        for service in services:
            version = origins.find(first_id, service)
            if version is not None:
                call.service = service
                return version, "record"
        # Asked even beside one version: a peer may have seen another one earlier.
        versions = await asyncio.gather(
            *(state.ask_origin(first_id, service) for service in services)
        )
        for service, version in zip(services, versions, strict=True):
            if version is not None:
                call.service = service
                return version, "a peer"
    possible = _possible_versions(state, call.service)
    # Cut off, this entry may lack a version that has begun streams elsewhere.
    if possible is not None and len(possible) == 1 and not state.is_cut_off():
        return next(iter(possible)), "being the only one"
    return None, ""


def _services(call: Call) -> list[str]:
    """Return the services that a call may be sent to, the one picked for it first."""
    others = (share.service for share in call.route.shares if share.weight > 0)
    return list(dict.fromkeys((call.service, *others)))


def _possible_versions(state: ForwardingState, service: str) -> frozenset[str] | None:
    """Return the versions that may have begun a stream; None if that is unknown."""
    known = state.origins.possible_versions(service)
    if known is None:
        return None
    targets = state.directory.all()
    return known | {item.version for item in targets if item.service == service}


def record_begin(state: ForwardingState, call: Call, target: Target) -> None:
    """Record the version of the target that a stream is sent to, if it is certain."""
    if call.route.may_repeat:
        state.endings.watch(target)
    if call.has_begun:
        return
    if state.endings.is_in_doubt(target):
        # The stream cannot go on anywhere else.
        call.version = None
        return
    call.version = target.version
    if call.route.may_repeat:
        state.origins.begin(call.metadata.request_id, call.service, target.version)


def record_end(state: ForwardingState, call: Call) -> None:
    """Record that a stream was sent to its caller in full.

    Beside several versions it stays on record, as its end may be lost on the way.
    """
    if not state.origins.is_mixed(call.service):
        state.origins.complete(call.metadata.resumes or call.metadata.request_id)
