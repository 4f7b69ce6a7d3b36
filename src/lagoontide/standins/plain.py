"""Stand-in of an encoder, retriever, reranker or plain service."""

import asyncio
import random
from collections import deque

import msgspec

from lagoontide.configuration.document import ServiceKind
from lagoontide.errors import TargetFailed, TargetRejectedInput, TargetUnreachable
from lagoontide.standins.compute import compute
from lagoontide.standins.faults import Faults
from lagoontide.standins.ledger import Ledger, note_execution
from lagoontide.standins.profiles import Profile
from lagoontide.targets.http import OnTokens, TargetLoad, TargetRequest

__all__ = ["PlainTarget"]

REPORT_LAG_S = 2.0


class PlainTarget:
    """A target that answers each call whole.

    Parameters
    ----------
    slots : int
        Calls it works on at the same time; others wait.
    """

    def __init__(
        self,
        name: str,
        kind: ServiceKind,
        profile: Profile,
        slots: int,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.faults = Faults()
        self.ledger = Ledger()
        self._kind = kind
        self._profile = profile
        self._limit = slots
        self._slots = asyncio.Semaphore(slots)
        self._rng = rng
        self._running = 0
        self._history: deque[tuple[float, TargetLoad]] = deque(maxlen=4096)

    async def run(self, work: TargetRequest) -> bytes:
        """See TargetClient."""
        self._check_up()
        async with self._slots:
            self._note(1)
            try:
                seconds = self._profile.draw(self._rng)
                self.ledger.spend(work, seconds / self._limit)
                await self._spend(seconds)
            finally:
                self._note(-1)
        body = self._answer(work)
        now = asyncio.get_running_loop().time()
        self.ledger.add(note_execution(work, now))
        if self.faults.take_drop():
            raise TargetFailed("the answer was lost", step="run", peer=self.name)
        return body

    async def stream(self, work: TargetRequest, on_tokens: OnTokens) -> bytes:
        """See TargetClient."""
        raise TargetFailed("no model here", step="stream", peer=self.name, ran=False)

    async def cancel(self, attempt: str) -> None:
        """See TargetClient; plain work is not cancelled."""

    def load(self) -> TargetLoad:
        """Return the load as it was some time ago."""
        now = asyncio.get_running_loop().time()
        old = [load for at, load in self._history if now - at >= REPORT_LAG_S]
        return old[-1] if old else TargetLoad()

    def _check_up(self) -> None:
        if self.faults.down:
            raise TargetUnreachable("the target is down", step="run", peer=self.name)

    async def _spend(self, seconds: float) -> None:
        await self.faults.pass_stall()
        if seconds:
            await asyncio.sleep(seconds * self.faults.slow)
        await self.faults.pass_stall()

    def _answer(self, work: TargetRequest) -> bytes:
        try:
            inputs = msgspec.json.decode(work.body, type=dict)
            return msgspec.json.encode(compute(self._kind, work.operation, inputs))
        except (msgspec.DecodeError, TypeError, ValueError) as exc:
            raise TargetRejectedInput(
                f"bad input: {exc}", step="run", peer=self.name
            ) from None

    def _note(self, change: int) -> None:
        self._running += change
        now = asyncio.get_running_loop().time()
        self._history.append((now, TargetLoad(running=self._running)))
