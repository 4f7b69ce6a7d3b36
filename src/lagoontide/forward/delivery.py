"""Sends of a request to targets until one of them answers it."""

import contextlib
import random
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.forward.attempt import InputsGone, SendOptions
from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.guard import RequestWithheld
from lagoontide.forward.handover import HandedOver, Reservation, Retake
from lagoontide.forward.inputs import Inputs, InputsFailed
from lagoontide.forward.outcome import Answered, Outcome, Relayed
from lagoontide.forward.retry_after import pick_limited_retry_after
from lagoontide.forward.selection import choose_target, wait_for_turn
from lagoontide.http1.messages import is_success
from lagoontide.targets.choose import Choice
from lagoontide.targets.records import Target

__all__ = ["Choose", "Delivery", "deliver"]

Choose = Callable[[], Choice | None]


class Delivery(Protocol):
    """The delivery of one kind of answer, from whichever target gives it.

    Attributes
    ----------
    max_refused_sends : int
        A refusal after this many sends in total ends the request.
    """

    max_refused_sends: int

    @property
    def can_move(self) -> bool:
        """Whether another target can give the answer, or the rest of it."""

    def make_options(self, inputs: tuple[str, ...], has_turn: bool) -> SendOptions:
        """Return the values to send to the next target."""

    async def send(
        self, target: Target, options: SendOptions, choose: Choose
    ) -> Outcome:
        """Send the request to a target and deliver what it answers.

        Parameters
        ----------
        choose : callable
            Returns the best other target at present, or None.

        Raises
        ------
        TargetUnreachable
            If the request provably did not run.
        TargetFailed
            If it may have run; HandedOver if a successor is reserved.
        """

    def describe_failure(self) -> str:
        """Return what a failed send has interrupted, for the log."""

    def failure_of(self, outcome: Outcome) -> str:
        """Return why another target is better asked; empty if the outcome is final."""

    def partial_outcome(self, reason: str) -> Outcome | None:
        """Return the outcome if no target is asked again, for some reason.

        None if the caller has nothing of an answer and no target gave one.
        """


async def deliver(
    state: ForwardingState,
    call: Call,
    inputs: Inputs,
    delivery: Delivery,
    rng: random.Random,
) -> Outcome:
    """Send a request, to other targets again where that is allowed.

    Raises
    ------
    InputsFailed
        If its inputs cannot be made and the caller has nothing of an answer.
    """
    with contextlib.closing(Reservation(state, call)) as reservation:
        return await _deliver(state, call, inputs, delivery, rng, reservation)


async def _deliver(
    state: ForwardingState,
    call: Call,
    inputs: Inputs,
    delivery: Delivery,
    rng: random.Random,
    reservation: Reservation,
) -> Outcome:
    tried: set[str] = set()
    reason = "no target"
    withheld: RequestWithheld | None = None
    successor: Choice | None = None
    retake: Retake | None = None
    log = logger.bind(request=call.metadata.request_id)

    def choose() -> Choice | None:
        return choose_target(state, call, tried, rng, inputs.bytes_by_domain())

    while True:
        try:
            handles = await inputs.ready()
        except InputsFailed as exc:
            reason = str(exc)
            if retake is None:
                outcome = delivery.partial_outcome(reason)
                if outcome is None:
                    raise
                return outcome
            log.info("inputs of a successor failed: {}", exc)
            reservation.close()
            successor = None
            await retake.pause()
            continue
        call.record_step("inputs")
        is_retry = call.send_tracker.sends > 0
        choice, successor = successor, None
        if choice is None:
            choice = choose()
            if choice is None and not is_retry:
                choice = await wait_for_turn(state, call, tried)
                if choice is not None:
                    reservation.hold(choice)
            if choice is None or (is_retry and not state.budget.take(call.service)):
                if retake is None:
                    break
                await retake.pause()
                tried.clear()
                continue
        target = choice.target
        tried.add(target.id)
        call.choices.append(_describe_choice(state, call, choice))
        options = delivery.make_options(handles, choice.has_turn)
        log = log.bind(target=target.id)
        try:
            async with state.guard.watch(call, target) as run:
                outcome = await delivery.send(target, options, choose)
                run.is_complete = _is_complete_success(outcome)
        except RequestWithheld as exc:
            reason, withheld = str(exc), exc
            break
        except TargetUnreachable as exc:
            reason = str(exc)
            log.info("request did not run at the target: {}", exc)
            if isinstance(exc, InputsGone):
                tried.discard(target.id)
                inputs.renew()
            if call.send_tracker.sends >= delivery.max_refused_sends:
                if retake is None:
                    break
                await retake.pause()
            continue
        except TargetFailed as exc:
            reason = str(exc)
            call.attempts += 1
            log.warning("{}: {}", delivery.describe_failure(), exc)
            if not delivery.can_move:
                break
            if isinstance(exc, HandedOver):
                successor, retake = exc.successor, Retake()
                reservation.hold(successor, is_successor=True)
            else:
                retake = None
        else:
            reason = delivery.failure_of(outcome)
            if not reason:
                return outcome
            call.attempts += 1
            log.info("target did not serve the request: {}", reason)
        if not call.can_retry():
            break
    partial = delivery.partial_outcome(reason)
    if partial is not None:
        return partial
    if withheld is not None:
        after = withheld.retry_after
    else:
        after = pick_limited_retry_after(state, call, rng)
    return call.send_tracker.failure_outcome(reason, after)


def _is_complete_success(outcome: Outcome) -> bool:
    match outcome:
        case Answered(response):
            return is_success(response.status)
        case Relayed(is_complete):
            return is_complete
    return False


def _describe_choice(state: ForwardingState, call: Call, choice: Choice) -> str:
    """Return the chosen target and the values behind the choice, for the log."""
    target = choice.target
    ready = len(state.directory.ready(call.service))
    record = state.health.record_of(target)
    limit = state.rate_limits.describe(target)
    return (
        f"{target.id} of {ready}: {choice.reason}, cost {choice.cost:.3g}, "
        f"load {state.loads.total_of(target):.3g}, mean {record.mean_seconds:.3f} s, "
        f"failures {record.failure_rate:.2f}, revision {target.revision}"
        f"{limit and f', {limit}'}"
    )
