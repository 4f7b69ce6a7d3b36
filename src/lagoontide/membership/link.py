"""One agent as an entry sees it, from the list and from the agent itself."""

import asyncio
import math
import random
import uuid
from collections.abc import Callable

from loguru import logger

from lagoontide.errors import PeerError, PeerTimeout
from lagoontide.membership.messages import LEAVING, OTHER_INCARNATION, Hello, Welcome
from lagoontide.membership.pace import is_late, spread
from lagoontide.routing.choose import Candidate
from lagoontide.routing.health import Health
from lagoontide.scheduling.load import Load
from lagoontide.store.instances import Instance, InstanceState
from lagoontide.wire.conn import Conn, Exchange

__all__ = ["Link"]

REPLY_S = 1.0
MAX_REPLY_S = 16.0
MISSED_HEARTBEATS = 2
MAX_MISSED = 10
RECONNECT_S = 0.2
# The agent's epoch has to be heard again within one epoch.
MAX_BEAT_S = 30.0
INCARNATION = uuid.uuid4().hex


class Link:
    """One agent as this entry sees it, with a task that keeps in touch.

    Parameters
    ----------
    interval : callable
        Gives the seconds of silence after which the agent is asked.
    delay : float
        Seconds before the first message.

    Attributes
    ----------
    incarnation : str
        The agent's process; empty before its first word.
    epoch : int
        The agent's newest count of time.
    heard_at : float
        Loop time of its last word.
    sent : int
        Calls of this entry that are under way there.
    sent_since : int
        Those sent since the last word of its load.
    """

    def __init__(
        self,
        instance: Instance,
        conn: Conn,
        interval: Callable[[], float],
        rng: random.Random,
        delay: float = 0.0,
    ) -> None:
        self.instance = instance
        self.conn = conn
        self.incarnation = ""
        self.epoch = 0
        self.load = Load()
        self.heard_at = -math.inf
        self.sent = 0
        self.sent_since = 0
        self.health = Health()
        self.is_leaving = False
        self.missed = 0
        self._interval = interval
        self._rng = rng
        self._start(delay)

    @property
    def name(self) -> str:
        """Name of the agent's instance."""
        return self.instance.name

    @property
    def is_usable(self) -> bool:
        """Whether new work may go there."""
        return (
            bool(self.incarnation)
            and not self.is_leaving
            and self.instance.state is InstanceState.LIVE
            and self.missed < MISSED_HEARTBEATS
        )

    @property
    def expected_wait(self) -> float:
        """Seconds that a call sent now is expected to wait there."""
        load = self.load
        if load.queued + load.running + self.sent_since < load.limit:
            return 0.0
        return load.wait + self.sent_since * load.service_time / max(1, load.limit)

    def observe(self, load: Load) -> None:
        """Take the load that came with a message, which is a sign of life too."""
        self.load = load
        self.sent_since = 0
        self.heard_at = asyncio.get_running_loop().time()
        self.missed = 0

    def refuse(self, reason: str) -> None:
        """Take what a refusal says of the agent itself."""
        if reason == LEAVING:
            self.is_leaving = True
        elif reason == OTHER_INCARNATION and self.incarnation:
            self.incarnation = ""
            self._task.cancel()
            self._start(0.0)

    def to_candidate(self, now: float) -> Candidate:
        """Return the link as routing sees it."""
        return Candidate(
            name=self.name,
            failure_domain=self.instance.failure_domain,
            queued=self.load.queued,
            running=self.load.running,
            limit=max(1, self.load.limit),
            age=now - self.heard_at,
            sent=self.sent,
            service_time=self.load.service_time,
            sent_since=self.sent_since,
            ratio=self.health.ratio,
        )

    def close(self) -> None:
        """End the task and the connection."""
        self._task.cancel()
        self.conn.close()

    def _start(self, delay: float) -> None:
        self._task = asyncio.create_task(self._keep_in_touch(delay), name=self.name)

    async def _keep_in_touch(self, delay: float) -> None:
        await asyncio.sleep(delay)
        while True:
            try:
                await self._beat()
            except PeerError as exc:
                self.missed = min(MAX_MISSED, self.missed + 1)
                logger.bind(peer=self.name, step="heartbeat").debug("{}", exc)
                await asyncio.sleep(spread(RECONNECT_S, self._rng))

    async def _beat(self) -> None:
        """Say hello and take what the agent says until the next beat is due.

        Replies to calls are signs of life as well and put the next beat off.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        silence = spread(self._interval(), self._rng)
        due = started + min(MAX_REPLY_S, REPLY_S * 2**self.missed)
        hello = Hello(INCARNATION, min(MAX_BEAT_S, silence + REPLY_S))
        with await self.conn.open(hello) as exchange:
            while (left := due - loop.time()) > 0:
                await self._take_next(exchange, left)
                if self.heard_at >= started:
                    due = min(self.heard_at + silence, started + MAX_BEAT_S)
        if self.heard_at < started and not is_late(due, loop.time()):
            self.missed = min(MAX_MISSED, self.missed + 1)

    async def _take_next(self, exchange: Exchange, left: float) -> None:
        try:
            welcome: Welcome = await exchange.next(left)
        except PeerTimeout:
            return
        if welcome.incarnation != self.incarnation:
            logger.bind(peer=self.name).debug("incarnation {}", welcome.incarnation)
        self.incarnation = welcome.incarnation
        self.epoch = welcome.epoch
        self.is_leaving = welcome.leaving
        self.observe(welcome.load)
