"""Requests that one target answers whole."""

import asyncio
import random

from loguru import logger

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.forward.attempt import Opened, SendOptions, losses_noted, open_attempt
from lagoontide.forward.call import Call, World
from lagoontide.forward.outcome import Answer, Ended, Outcome
from lagoontide.http1.messages import Response, ResponseHead, end_to_end, is_success
from lagoontide.http1.server import Reply
from lagoontide.targets.choose import Choice, choose_least, usable
from lagoontide.targets.records import Target

__all__ = [
    "MAX_FAILURE_BYTES",
    "describe_choice",
    "forward_plain",
    "has_failed",
    "retry_after",
]

# Sends that were refused, and so did not run, before the request is given up.
MOST_REFUSALS = 3
# Longer answers are passed on as they come and cannot be asked for again.
BUFFER_BYTES = 1 << 20
# A failure is passed on whole or not at all; it is short.
MAX_FAILURE_BYTES = 256 << 10
# An answer that is longer is cut: it is taken for one without end.
MAX_ANSWER_BYTES = 256 << 20
FIRST_SERVER_ERROR = 500
# A repeatable request is asked for elsewhere after this many times the usual
# time, but no earlier than this share of its objective.
PATIENCE_FACTOR = 4.0
PATIENCE_SHARE = 0.4
# Retry-After, spread so that callers do not come back as one burst.
RETRY_AFTER_S = (0.1, 0.4)


def has_failed(status: int) -> bool:
    """Return whether a status says that the target failed."""
    return status >= FIRST_SERVER_ERROR


def retry_after(rng: random.Random) -> float:
    """Return the seconds after which a refused caller should come back."""
    return round(rng.uniform(*RETRY_AFTER_S), 2)


def describe_choice(world: World, choice: Choice, targets: int) -> str:
    """Return a choice of a target with what it went by, for the log."""
    target = choice.target
    record = world.health.of(target)
    return (
        f"{target.id} of {targets}: {choice.why}, cost {choice.weight:.3g}, "
        f"load {world.loads.of(target):.3g}, mean {record.time:.3f} s, "
        f"failures {record.failures:.2f}, revision {target.revision}"
    )


async def forward_plain(
    world: World, call: Call, reply: Reply, rng: random.Random
) -> Outcome:
    """Have a request answered, by another target if the first may be replaced."""
    tried: set[str] = set()
    failure: Answer | None = None
    why = "no target"
    while True:
        targets = world.directory.ready(call.service)
        choice = choose_least(
            usable(targets, world.health, tried),
            world.loads,
            world.health,
            world.failure_domain,
            rng,
        )
        is_repeat = call.ledger.sends > 0
        if choice is None or (is_repeat and not world.budget.take(call.service)):
            break
        target = choice.target
        tried.add(target.id)
        call.choices.append(describe_choice(world, choice, len(targets)))
        log = logger.bind(request=call.asked.request_id, target=target.id)
        try:
            answer = await _ask(world, call, target, reply)
        except TargetUnreachable as exc:
            why = str(exc)
            log.info("not run: {}", exc)
            if call.ledger.sends >= MOST_REFUSALS:
                break
            continue
        except TargetFailed as exc:
            why = str(exc)
            log.warning("may have run: {}", exc)
            call.attempts += 1
            if reply.is_started:
                return Ended(is_whole=False, why=why)
        else:
            if isinstance(answer, Ended) or not has_failed(answer.response.status):
                return answer
            failure = answer
            why = f"status {answer.response.status}"
            call.attempts += 1
            log.info("target failed with {}", answer.response.status)
        if not call.may_go_on():
            break
    return failure or call.ledger.give_up(why, retry_after(rng))


async def _ask(
    world: World, call: Call, target: Target, reply: Reply
) -> Answer | Ended:
    loop = asyncio.get_running_loop()
    began = loop.time()
    patience = _patience(world, call)
    world.loads.begin(target)
    try:
        with losses_noted(world.health, target):
            answer = await _ask_for(world, call, target, reply, patience)
    finally:
        world.loads.end(target)
    failed = isinstance(answer, Answer) and has_failed(answer.response.status)
    world.health.note_answer(target, loop.time() - began, failed)
    return answer


async def _ask_for(
    world: World, call: Call, target: Target, reply: Reply, patience: float | None
) -> Answer | Ended:
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        async with asyncio.timeout(patience):
            opened = await open_attempt(world, call, target, SendOptions())
            try:
                return await _read_answer(opened, reply)
            finally:
                opened.close()
    except TimeoutError:
        raise TargetFailed(
            f"no answer in {loop.time() - began:.3f} s", step="wait", peer=target.id
        ) from None


def _patience(world: World, call: Call) -> float | None:
    """Return the seconds to wait for a target that may be replaced, or None."""
    if not call.may_go_on(after=1):
        return None
    if world.budget.left(call.service) < 1.0:
        return None
    peers = world.directory.ready(call.service)
    usual = world.health.typical_time(peers, call.route.objective)
    return max(PATIENCE_FACTOR * usual, PATIENCE_SHARE * call.route.objective)


async def _read_answer(opened: Opened, reply: Reply) -> Answer | Ended:
    head = opened.head
    peer = opened.target.id
    if opened.marks.is_encoded:
        raise TargetFailed("an encoded body", step="head", peer=peer)
    if is_success(head.status) and not opened.marks.is_sealed:
        raise TargetFailed("success without a seal", step="head", peer=peer)
    body = bytearray()
    is_failure = has_failed(head.status)
    chunks = opened.body(MAX_FAILURE_BYTES if is_failure else MAX_ANSWER_BYTES)
    async for data in chunks:
        body += data
        if len(body) > BUFFER_BYTES:
            await reply.start(
                ResponseHead(head.status, end_to_end(head.fields), length=head.length)
            )
            await reply.send_data(bytes(body))
            async for rest in chunks:
                await reply.send_data(rest)
            await reply.finish()
            opened.close(is_whole=True)
            return Ended(is_whole=True)
    opened.close(is_whole=True)
    return Answer(Response(head.status, end_to_end(head.fields), bytes(body)))
