"""The only door to a target: queue, limit, record of attempts and drain."""

import asyncio
import uuid
from dataclasses import dataclass

from loguru import logger

from lagoontide.agent.planner import Planner
from lagoontide.agent.tokens import TokenSender
from lagoontide.dispatch.attempts import AttemptLog, AttemptState, Final, Record
from lagoontide.dispatch.messages import (
    Call,
    Cancel,
    Done,
    Failed,
    NotRun,
    Pending,
    Settle,
    Unknown,
    digest,
    is_whole,
)
from lagoontide.errors import TargetFailed, TargetUnreachable
from lagoontide.membership.messages import (
    LEAVING,
    OTHER_INCARNATION,
    Hello,
    Welcome,
)
from lagoontide.metrics import Metrics
from lagoontide.platform.targets import Target, Work
from lagoontide.scheduling.load import Load
from lagoontide.scheduling.tactics import ByShare, Order
from lagoontide.scheduling.waiting import Waiting
from lagoontide.wire.server import Send

__all__ = ["Agent"]

RECORD_WINDOW_S = 120.0
RECORD_BYTES = 4 << 20
PEER_SILENCE_S = 10.0


@dataclass(slots=True)
class Job:
    """A call that waits or runs, and where its replies go."""

    call: Call
    send: Send
    record: Record
    deadline: float
    queued_at: float
    timer: asyncio.TimerHandle | None = None


class Agent:
    """Serves calls at one target.

    Parameters
    ----------
    name, service : str
        Of the instance and of its target's pool.
    target : Target
        The back end.
    limit : int
        Calls that the target has at the same time.
    metrics : Metrics
        Where counters and timings go.
    order : Order
        In which waiting calls start.
    """

    def __init__(
        self,
        name: str,
        service: str,
        target: Target,
        limit: int,
        metrics: Metrics,
        order: Order | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.incarnation = uuid.uuid4().hex
        self.is_leaving = False
        self._target = target
        self._metrics = metrics
        self._planner = Planner(order or ByShare(), limit)
        self._log = AttemptLog(RECORD_WINDOW_S, RECORD_BYTES)
        self._jobs: dict[str, Job] = {}
        self._running: dict[str, asyncio.Task[None]] = {}
        self._peers: dict[str, Send] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def load(self) -> Load:
        """The load at this moment."""
        return self._planner.load

    async def handle(self, peer: str, message: object, send: Send) -> None:
        """Answer one message of a peer."""
        match message:
            case Hello():
                self._peers[peer] = send
                await send(self._welcome())
            case Call():
                await self._take(message, send)
            case Settle():
                await send(self._settle(message))
            case Cancel(attempt=attempt):
                await self._cancel(attempt)
            case _:
                logger.bind(peer=peer).warning("unexpected {!r:.80}", message)

    async def drain(self, bound: float) -> bool:
        """Take no more work and wait until all is done; return whether it was.

        Parameters
        ----------
        bound : float
            Seconds to wait at most.
        """
        self.is_leaving = True
        for send in tuple(self._peers.values()):
            await send(self._welcome())
        try:
            async with asyncio.timeout(bound):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    def _welcome(self) -> Welcome:
        return Welcome(self.incarnation, self.service, self.is_leaving, self.load)

    async def _take(self, call: Call, send: Send) -> None:
        refusal = self._find_refusal(call)
        if refusal:
            self._metrics.count(f"agent.not_run.{refusal.replace(' ', '_')}")
            await send(NotRun(call.attempt, refusal, self.load))
            return
        record = self._log.get(call.attempt)
        if record is None:
            now = asyncio.get_running_loop().time()
            item = self._planner.plan(call, now)
            if self._planner.comes_too_late(item, now):
                self._metrics.count("agent.not_run.overloaded")
                self._log.bury(call.attempt, "overloaded", now)
                await send(NotRun(call.attempt, "overloaded", self.load))
                return
            record = self._enqueue(call, send, item)
        await send(await asyncio.shield(record.final))

    def _find_refusal(self, call: Call) -> str:
        """Return why a call is not taken, or an empty string."""
        if call.incarnation != self.incarnation:
            return OTHER_INCARNATION
        if self._log.get(call.attempt) is not None:
            return ""
        if not is_whole(call):
            return "cut call"
        if self.is_leaving:
            return LEAVING
        if call.budget <= 0:
            return "deadline"
        return ""

    def _enqueue(self, call: Call, send: Send, item: Waiting) -> Record:
        loop = asyncio.get_running_loop()
        record = self._log.add(call.attempt)
        job = Job(call, send, record, item.deadline, loop.time())
        self._jobs[call.attempt] = job
        self._planner.push(item)
        self._idle.clear()
        self._start_next()
        if record.state is AttemptState.QUEUED:
            job.timer = loop.call_at(item.latest_start, self._give_up, job)
        return record

    def _give_up(self, job: Job) -> None:
        """End a call that waited until it could no longer make its deadline."""
        if self._planner.remove(job.call.attempt) is not None:
            self._end(job, NotRun(job.call.attempt, "deadline", self.load))

    def _settle(self, question: Settle) -> Final | Pending:
        record = self._log.get(question.attempt)
        if record is not None and record.final.done():
            return record.final.result()
        if record is not None:
            return Pending(question.attempt, self.load)
        if question.incarnation != self.incarnation:
            return Unknown(question.attempt, "the agent was replaced")
        now = asyncio.get_running_loop().time()
        return self._log.bury(question.attempt, "never seen", now).final.result()

    async def _cancel(self, attempt: str) -> None:
        job = self._jobs.get(attempt)
        if job is None:
            return
        if self._planner.remove(attempt) is not None:
            self._end(job, NotRun(attempt, "cancelled", self.load))
        elif job.call.repeatable:
            await self._target.cancel(attempt)

    def _start_next(self) -> None:
        loop = asyncio.get_running_loop()
        while (item := self._planner.pop()) is not None:
            job = self._jobs[item.attempt]
            if loop.time() >= min(job.deadline, item.latest_start):
                self._planner.end(job.call, None)
                self._end(job, NotRun(item.attempt, "deadline", self.load))
                continue
            job.record.state = AttemptState.RUNNING
            self._running[item.attempt] = asyncio.create_task(self._run(job))

    async def _run(self, job: Job) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        result = await self._execute(job, started)
        elapsed = loop.time() - started
        del self._running[job.call.attempt]
        self._planner.end(job.call, elapsed if isinstance(result, Done) else None)
        self._metrics.time(f"agent.target.{self.service}", elapsed)
        self._end(job, result)
        self._start_next()

    async def _execute(self, job: Job, started: float) -> Final:
        call = job.call
        loop = asyncio.get_running_loop()
        try:
            body = await self._call_target(job, started)
        except TargetUnreachable as exc:
            return NotRun(call.attempt, str(exc), self.load)
        except TargetFailed as exc:
            if not exc.ran:
                return NotRun(call.attempt, str(exc), self.load)
            if call.repeatable:
                return Failed(call.attempt, str(exc), self.load)
            return Unknown(call.attempt, str(exc))
        return Done(
            call.attempt,
            body,
            digest(body),
            self.load,
            waited=started - job.queued_at,
            ran=loop.time() - started,
        )

    async def _call_target(self, job: Job, started: float) -> bytes:
        call = job.call
        work = Work(
            attempt=call.attempt,
            request=call.request,
            operation=call.operation,
            body=call.body,
            budget=max(0.001, job.deadline - started),
            priority=call.priority,
            streams=call.streams,
            resume=call.resume,
        )
        if not call.streams:
            return await self._target.run(work)

        sender = TokenSender(call.attempt, job.send)
        try:
            return await self._target.stream(work, sender.add)
        finally:
            await sender.close()

    def _end(self, job: Job, result: Final) -> None:
        now = asyncio.get_running_loop().time()
        self._log.end(job.record, result, now)
        del self._jobs[job.call.attempt]
        if job.timer is not None:
            job.timer.cancel()
        if not self._jobs:
            self._idle.set()
