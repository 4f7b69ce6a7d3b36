"""Handover of a request from a silent target to a reserved successor."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import TypeVar

from lagoontide.errors import TargetFailed
from lagoontide.forward.attempt import record_losses
from lagoontide.forward.call import Call, ForwardingState
from lagoontide.forward.inputs import Inputs
from lagoontide.targets.choose import Choice
from lagoontide.targets.records import Target
from lagoontide.timers import RunTimer

__all__ = ["HandedOver", "Reservation", "Retake", "StallTimer", "until_handover"]

# A request that stays at its silent target looks for a successor again after this.
RETRY_INTERVAL_S = 0.1
# Longest pause of a request whose successors refuse it; each refusal takes a unit of
# the retry budget.
MAX_PAUSE_S = 1.0
# A target fetches its inputs before it begins to run a request (PROTOCOL, Stages). They
# are released after this time, as they occupy memory that other requests wait for.
INPUT_FETCH_S = 0.12

ResultT = TypeVar("ResultT")
Reserve = Callable[[], Choice | None]


class HandedOver(TargetFailed):
    """A silent target was given up for a successor, which is reserved."""

    def __init__(self, successor: Choice, *, step: str, peer: str) -> None:
        super().__init__(
            f"silent, handed over to {successor.target.id}", step=step, peer=peer
        )
        self.successor = successor


class Retake:
    """Pauses of a request that left a silent target, while other targets refuse it.

    The silent target would have gone on, so that the request tries again until its
    deadline, at that target as well.
    """

    def __init__(self) -> None:
        self._pause = RETRY_INTERVAL_S

    async def pause(self) -> None:
        """Wait before the next send, longer each time."""
        await asyncio.sleep(self._pause)
        self._pause = min(2 * self._pause, MAX_PAUSE_S)


class Reservation:
    """Holds what the next send of a request has taken in advance.

    It is given back unless the request is sent, as when its caller leaves before.
    """

    def __init__(self, state: ForwardingState, call: Call) -> None:
        self._state = state
        self._call = call
        self._choice: Choice | None = None
        self._is_successor = False
        self._sends = 0

    def hold(self, choice: Choice, *, is_successor: bool = False) -> None:
        """Hold the turn of a choice, if it has one.

        Parameters
        ----------
        is_successor : bool
            Whether it has taken a unit of the retry budget as well.
        """
        self.close()
        self._choice = choice if choice.has_turn else None
        self._is_successor = is_successor
        self._sends = self._call.send_tracker.sends

    def close(self) -> None:
        """Give back what is held, unless the request was sent since."""
        choice, self._choice = self._choice, None
        if choice is None or self._call.send_tracker.sends > self._sends:
            return
        if self._is_successor:
            _release_successor(self._state, self._call, choice)
        else:
            self._state.rate_shares.refund(choice.target)


class StallTimer:
    """Ends the wait for a silent target once a successor is reserved.

    Silence alone never ends it: the target may be sound and go on. Time in which
    this process did not run is no silence of the target.

    Parameters
    ----------
    wait : asyncio.Timeout
        The wait for the target; it expires when the request is handed over.
    reserve : callable
        Reserves a successor and returns it, or returns None if there is none now.
    release : callable
        Gives a reserved successor back.

    Attributes
    ----------
    successor : Choice or None
        The target that the request is handed over to.
    """

    def __init__(
        self, wait: asyncio.Timeout, reserve: Reserve, release: Callable[[Choice], None]
    ) -> None:
        self.successor: Choice | None = None
        self._wait = wait
        self._reserve = reserve
        self._release = release
        self._loop = asyncio.get_running_loop()
        self._timer: RunTimer | None = None

    def start(self, seconds: float) -> None:
        """Look for a successor unless stopped or started again within some seconds."""
        self.stop()
        self._timer = RunTimer(seconds, self._hand_over)

    def stop(self) -> None:
        """Stay at the target, which has gone on, unless the wait for it has ended."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.successor is not None and not self._wait.expired():
            self._wait.reschedule(None)
            self._release(self.successor)
            self.successor = None

    def handed_over(self, *, step: str, peer: str) -> HandedOver:
        """Return the error of a wait that has ended for the successor."""
        assert self.successor is not None
        successor, self.successor = self.successor, None
        return HandedOver(successor, step=step, peer=peer)

    def close(self) -> None:
        """Give a successor back to which the request was not handed over.

        It ended otherwise while it was, as when its caller left.
        """
        if self.successor is not None:
            self._release(self.successor)
            self.successor = None

    def _hand_over(self) -> None:
        self._timer = None
        self.successor = self._reserve()
        if self.successor is None:
            self.start(RETRY_INTERVAL_S)
        else:
            self._wait.reschedule(self._loop.time())


async def until_handover(
    state: ForwardingState,
    call: Call,
    target: Target,
    inputs: Inputs,
    patience: float,
    choose: Callable[[], Choice | None],
    attempt: Callable[[StallTimer], Awaitable[ResultT]],
) -> ResultT:
    """Return the result of one send, unless a successor takes over.

    Records losses of the target, and releases the inputs once it has fetched them.

    Parameters
    ----------
    patience : float
        Seconds without progress until a successor is looked for.
    choose : callable
        Returns an untried target, or None.
    attempt : callable
        Sends the request and reads its answer; starts the timer anew at each progress.

    Raises
    ------
    HandedOver
        If a successor is reserved while the target is silent.
    """
    wait = asyncio.timeout(None)
    timer = StallTimer(
        wait,
        lambda: _reserve_successor(state, call, choose, inputs.prepare),
        lambda choice: _release_successor(state, call, choice),
    )
    loop = asyncio.get_running_loop()
    release_timer = loop.call_later(INPUT_FETCH_S, inputs.release)
    try:
        with record_losses(state.health, target):
            async with wait:
                if call.can_retry(after=1):
                    timer.start(patience)
                try:
                    return await attempt(timer)
                finally:
                    timer.stop()
    except TimeoutError:
        state.health.record_loss(target)
        raise timer.handed_over(step="wait", peer=target.id) from None
    finally:
        timer.close()
        release_timer.cancel()


def _reserve_successor(
    state: ForwardingState,
    call: Call,
    choose: Callable[[], Choice | None],
    prepare: Callable[[], bool],
) -> Choice | None:
    """Reserve a target that a request may be handed over to, or return None.

    Its turn and a unit of the retry budget are taken once its inputs are made, so that
    nothing but a failure of the successor itself can end the request after its target
    was given up.
    """
    if not call.can_retry(after=1) or state.budget.left(call.service) < 1.0:
        return None
    choice = choose()
    if choice is None or state.health.is_backed_off(choice.target):
        return None
    if not state.pools.pool_of(choice.target).has_room or state.guard.is_suspect(call):
        return None
    if not prepare() or not state.rate_shares.take(choice.target):
        return None
    state.budget.take(call.service)
    return replace(choice, has_turn=True)


def _release_successor(state: ForwardingState, call: Call, choice: Choice) -> None:
    """Give back what ``_reserve_successor`` took."""
    state.rate_shares.refund(choice.target)
    state.budget.refund(call.service)
