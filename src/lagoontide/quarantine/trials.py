"""Trials of suspect requests, one at a time in the whole fleet."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count
from typing import Protocol

import msgspec
from loguru import logger

from lagoontide.errors import PeerError, PeerTimeout
from lagoontide.quarantine.ledger import Ledger
from lagoontide.quarantine.messages import TrialEnd, TrialReply, TrialRequest
from lagoontide.quarantine.records import REQUEST_KEY_PREFIX, Quarantined
from lagoontide.targets.choose import rendezvous_hash
from lagoontide.wire.conn import Conn
from lagoontide.wire.router import Router
from lagoontide.wire.server import Send

__all__ = ["TrialDesk", "TrialTable"]

MAX_TRIAL_S = 30.0
# A request that must wait for a trial to end is told to come back after this time.
DENIED_WAIT_S = 1.0
ASK_TIMEOUT_S = 0.3
COORDINATOR_KEY = "trials"


@dataclass(frozen=True, slots=True)
class _Trial:
    keys: frozenset[str]
    target: str
    until: float


class TrialTable:
    """The coordinator's trials.

    Parameters
    ----------
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(self, ledger: Ledger, clock: Callable[[], float]) -> None:
        self._ledger = ledger
        self._clock = clock
        self._trials: dict[str, _Trial] = {}

    def request(self, request: TrialRequest) -> TrialReply:
        """Return whether a suspect request may run, else the seconds to wait."""
        now = self._clock()
        self._trials = {
            name: trial for name, trial in self._trials.items() if trial.until > now
        }
        keys = frozenset(request.keys)
        match self._ledger.verdict(keys):
            case Quarantined(_, wait):
                return TrialReply(wait)
        crossing = [
            trial
            for trial in self._trials.values()
            if trial.target == request.target or not trial.keys.isdisjoint(keys)
        ]
        if crossing:
            shared = keys & frozenset().union(*(trial.keys for trial in crossing))
            is_repeat = any(key.startswith(REQUEST_KEY_PREFIX) for key in shared)
            return TrialReply(DENIED_WAIT_S, is_repeat)
        until = now + min(max(request.seconds, 0.0), MAX_TRIAL_S)
        self._trials[request.id] = _Trial(keys, request.target, until)
        return TrialReply(0.0)

    def end(self, name: str) -> None:
        """End a trial."""
        self._trials.pop(name, None)


class Peers(Protocol):
    """The other entries, as a ``TrialDesk`` needs them."""

    name: str

    def live(self) -> Sequence[str]:
        """Return the names of entries that accept work, including this one."""

    def conn(self, name: str) -> Conn | None:
        """Return a connection to another entry, or None."""

    def send(self, name: str, message: msgspec.Struct) -> None:
        """Send a message to an entry without waiting."""


class TrialDesk:
    """Requests trials from the coordinator, and answers requests if this is it.

    Parameters
    ----------
    sees_fleet : callable
        Returns whether this entry hears most of the others, so that they all agree on
        the coordinator.
    clock : callable
        Returns the seconds of a monotonic clock.
    """

    def __init__(
        self,
        ledger: Ledger,
        peers: Peers,
        sees_fleet: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._ledger = ledger
        self._peers = peers
        self._sees_fleet = sees_fleet
        self._table = TrialTable(ledger, clock)
        self._numbers = count()

    def register(self, router: Router) -> None:
        """Register the handlers for messages of other entries."""
        router.register(TrialRequest, self._handle_request)
        router.register(TrialEnd, self._handle_end)

    @property
    def is_coordinator(self) -> bool:
        """Whether this entry coordinates the trials of all."""
        return self._sees_fleet() and self._coordinator() == self._peers.name

    async def request(
        self, keys: frozenset[str], target: str, seconds: float
    ) -> tuple[str, TrialReply]:
        """Ask for a trial; return its id and the coordinator's answer."""
        name = f"{self._peers.name}/{next(self._numbers)}"
        request = TrialRequest(
            name, tuple(sorted(keys)), target, seconds, self._ledger.reports()
        )
        reply = await self._ask(request) if self._sees_fleet() else None
        logger.bind(keys=sorted(keys), target=target, trial=name).info(
            "trial of suspect request: {}",
            "no coordinator"
            if reply is None
            else f"denied for {reply.wait:.2f} s"
            if reply.wait
            else "granted",
        )
        return name, TrialReply(DENIED_WAIT_S) if reply is None else reply

    def end(self, name: str) -> None:
        """End a trial that was granted."""
        self._table.end(name)
        coordinator = self._coordinator()
        if coordinator != self._peers.name:
            self._peers.send(coordinator, TrialEnd(name, self._ledger.reports()))

    def _coordinator(self) -> str:
        return min(
            self._peers.live(), key=lambda name: rendezvous_hash(COORDINATOR_KEY, name)
        )

    async def _ask(self, request: TrialRequest) -> TrialReply | None:
        coordinator = self._coordinator()
        if coordinator == self._peers.name:
            return self._table.request(request)
        conn = self._peers.conn(coordinator)
        if conn is None:
            return None
        try:
            reply = await conn.ask(request, ASK_TIMEOUT_S)
        except (PeerError, PeerTimeout) as exc:
            logger.bind(peer=coordinator).info("trial request failed: {}", exc)
            return None
        return reply if isinstance(reply, TrialReply) else None

    async def _handle_request(
        self, peer: str, message: TrialRequest, send: Send
    ) -> None:
        self._ledger.merge(peer, message.reports)
        await send(self._table.request(message))

    async def _handle_end(self, peer: str, message: TrialEnd, send: Send) -> None:
        self._ledger.merge(peer, message.reports)
        self._table.end(message.id)
