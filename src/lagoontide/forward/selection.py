"""Targets that may get a request, the best of them, and turns at limited ones."""

import asyncio
import random
from collections.abc import Collection, Mapping, Sequence

from lagoontide.forward.call import Call, ForwardingState
from lagoontide.routes.records import RouteKind
from lagoontide.routes.urgency import levels_below_highest
from lagoontide.targets.choose import (
    Choice,
    choose_engine_target,
    choose_lowest_cost,
    choose_stream_target,
    usable,
)
from lagoontide.targets.records import Target

__all__ = [
    "candidates",
    "choose_target",
    "is_beyond_limits",
    "is_decode_heavy",
    "ready_targets",
    "wait_for_turn",
]

# A request waits for its turn at a limited target for at most this share of the time
# to its objective, or of all the time left to it if that is more, and the less the less
# urgent it is.
OBJECTIVE_WAIT_SHARE = 0.5
TIME_WAIT_SHARE = 0.2
# A stream that is taken up again has no other targets than those of its version.
BEGUN_WAIT_SHARE = 0.5
# A request is decode-heavy, a long stream, if its output tokens exceed this share of
# its prompt tokens.
DECODE_HEAVY_SHARE = 0.2
NO_INPUT_BYTES: Mapping[str, float] = {}


def ready_targets(state: ForwardingState, call: Call) -> Sequence[Target]:
    """Return the targets that accept a call; of its version only if it has begun.

    A stream has to be taken up at the version that began it, so that targets whose
    version is in doubt are left out for one that has begun, and where there are others
    for one that may have to be taken up.
    """
    targets = state.directory.ready(call.service)
    if call.has_begun:
        certain = state.endings.certain(targets)
        return [target for target in certain if target.version == call.version]
    if call.route.kind is RouteKind.STREAM and call.route.may_repeat:
        return state.endings.certain(targets) or targets
    return targets


def choose_target(
    state: ForwardingState,
    call: Call,
    tried: Collection[str],
    rng: random.Random,
    inputs: Mapping[str, float] = NO_INPUT_BYTES,
) -> Choice | None:
    """Return the best target for a request at present, or None if there is none.

    Parameters
    ----------
    tried : collection of str
        Ids of targets to leave out.
    inputs : mapping
        Bytes of stage results that the target has to fetch, by failure domain.
    """
    targets = candidates(state, call, tried)
    is_stream = call.route.kind is RouteKind.STREAM
    parts = call.metadata.prompt_parts if is_stream else ()
    if not parts:
        return choose_lowest_cost(
            targets, state.loads, state.health, state.failure_domain, rng, inputs
        )
    if is_decode_heavy(call):
        return choose_stream_target(targets, state.streams, state.health)
    return choose_engine_target(
        targets,
        [(part.id, part.tokens) for part in parts],
        state.loads,
        state.health,
        inputs,
        state.streams,
    )


def is_decode_heavy(call: Call) -> bool:
    """Return whether a request's output is long in relation to its prompt."""
    metadata = call.metadata
    return metadata.output_tokens > DECODE_HEAVY_SHARE * metadata.prompt_tokens


def candidates(
    state: ForwardingState, call: Call, tried: Collection[str]
) -> list[Target]:
    """Return the untried targets that may get a request now.

    A stream that was sent to a target before stays at its version if it can, even
    before its first event, as its record need not follow then.
    """
    targets = ready_targets(state, call)
    if call.version is not None and not call.has_begun:
        same = [target for target in targets if target.version == call.version]
        return _usable(state, same, tried) or _usable(state, targets, tried)
    return _usable(state, targets, tried)


def _usable(
    state: ForwardingState, ready: Sequence[Target], tried: Collection[str]
) -> list[Target]:
    """Return the untried ones of some targets that may get a request now.

    If the limit of some of them was not confirmed lately, only these: their responses
    show whether it has ended.
    """
    shares = state.rate_shares
    targets = usable(shares.admitting(ready), state.health, tried)
    if shares.limits.is_empty:
        return targets
    due = [
        target
        for target in targets
        if shares.is_due(target) and not state.health.is_backed_off(target)
    ]
    return due or targets


def is_beyond_limits(state: ForwardingState, call: Call) -> bool:
    """Return whether all targets pause, or are limited with no turn in time."""
    known = ready_targets(state, call)
    ready = state.rate_limits.pauses.awake(known)
    if known and not ready:
        wait = state.rate_shares.shortest_wait(known)
        call.choices.append(f"all {len(known)} targets pause: next in {wait:.2f} s")
        return True
    wait = state.rate_shares.shortest_wait(ready)
    if not ready or wait <= _max_wait(call):
        return False
    if not call.has_pieces and any(map(state.rate_shares.lender, ready)):
        # Without pieces to make before, a borrowed turn can be used at once.
        return False
    call.choices.append(
        f"all {len(ready)} targets at their rate limits: turn in {wait:.2f} s, "
        f"waits at most {_max_wait(call):.2f} s"
    )
    return True


async def wait_for_turn(
    state: ForwardingState, call: Call, tried: Collection[str]
) -> Choice | None:
    """Reserve the next request to a limited target, and wait until it may be sent.

    Returns None if there is no target, or no turn in time.
    """
    # The end of a pause is not waited for.
    ready = state.rate_limits.pauses.awake(ready_targets(state, call))
    untried = [target for target in ready if target.id not in tried]
    if not untried:
        return None
    shares = state.rate_shares
    target = min(untried, key=shares.wait)
    wait = shares.wait(target)
    if wait > _max_wait(call):
        return await _borrow_turn(state, untried)
    shares.charge(target)
    try:
        await asyncio.sleep(wait)
    except asyncio.CancelledError:
        shares.refund(target)
        raise
    return Choice(target, wait, f"turn after {wait:.2f} s", has_turn=True)


async def _borrow_turn(
    state: ForwardingState, targets: Sequence[Target]
) -> Choice | None:
    """Return a target for which another entry lends a turn, or None."""
    for target in targets:
        if state.rate_shares.lender(target) and await state.borrow_turn(target):
            return Choice(target, 0.0, "turn lent by another entry", has_turn=True)
    return None


def _max_wait(call: Call) -> float:
    """Return the longest time in seconds that a call waits for its turn."""
    if call.has_begun:
        return max(0.0, BEGUN_WAIT_SHARE * call.time_left)
    to_objective = call.objective_at - asyncio.get_running_loop().time()
    longest = max(OBJECTIVE_WAIT_SHARE * to_objective, TIME_WAIT_SHARE * call.time_left)
    return max(0.0, longest) / (1 + levels_below_highest(call.urgency))
