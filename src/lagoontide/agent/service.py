"""The only door to a target: queue, limit, record of attempts and drain."""

import asyncio
import uuid
from dataclasses import dataclass

from loguru import logger

from lagoontide.agent.peers import PeerTable
from lagoontide.agent.planner import Planner
from lagoontide.agent.tokens import TokenSender
from lagoontide.dispatch.attempts import (
    EPOCH_S,
    AttemptLog,
    AttemptState,
    Final,
    Record,
    is_stale,
)
from lagoontide.dispatch.kept import AnswerStore
from lagoontide.dispatch.messages import (
    Call,
    Cancel,
    Done,
    Failed,
    Keep,
    NotRun,
    Pending,
    Recall,
    Settle,
    Tokens,
    Unknown,
    digest,
    is_whole,
)
from lagoontide.errors import TargetFailed, TargetRejectedInput, TargetUnreachable
from lagoontide.membership.messages import (
    LEAVING,
    OTHER_INCARNATION,
    Hello,
    Welcome,
)
from lagoontide.metrics import Metrics
from lagoontide.scheduling.load import Load
from lagoontide.scheduling.tactics import ByShare, Order
from lagoontide.scheduling.waiting import Waiting
from lagoontide.targets.http import TargetClient, TargetRequest
from lagoontide.wire.server import Send

__all__ = ["Agent"]

RECORD_WINDOW_S = 200.0
RECORD_BYTES = 4 << 20
RESULT_GRACE_S = 10.0  # For the result of work that may not be repeated.


@dataclass(slots=True)
class Job:
    """A call that waits or runs, and where its replies go."""

    call: Call
    send: Send
    record: Record
    deadline: float
    queued_at: float
    owner: str = ""
    timer: asyncio.TimerHandle | None = None


class Agent:
    """Serves calls at one target.

    Parameters
    ----------
    name, service : str
        Of the instance and of its target's pool.
    target : TargetClient
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
        target: TargetClient,
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
        self._peers = PeerTable()
        self._answers = AnswerStore()
        self._started_at = asyncio.get_running_loop().time()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def load(self) -> Load:
        """The load at this moment."""
        return self._planner.load

    async def handle(self, peer: str, message: object, send: Send) -> None:
        """Answer one message of a peer."""
        self._peers.touch(peer, self._now())
        match message:
            case Hello():
                self._peers.hear(peer, message, send, self._now())
                await send(self._welcome())
            case Call():
                await self._take(peer, message, send)
            case Settle():
                await send(self._settle(message))
            case Cancel():
                await self._cancel(message)
            case Keep():
                self._answers.keep(message, self._now())
            case Recall(request=request):
                await send(self._answers.recall(request, self._now()))
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
        for send in self._peers.sends():
            await send(self._welcome())
        try:
            async with asyncio.timeout(bound):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    @property
    def epoch(self) -> int:
        """The count of time that calls have to name."""
        return int((self._now() - self._started_at) / EPOCH_S)

    def _welcome(self) -> Welcome:
        return Welcome(
            self.incarnation, self.service, self.is_leaving, self.load, self.epoch
        )

    async def _take(self, peer: str, call: Call, send: Send) -> None:
        if not self._is_mine(call):
            # An earlier copy may have run, with its record gone by now.
            await send(Unknown(call.attempt, OTHER_INCARNATION))
            return
        record = self._log.get(call.attempt)
        if record is None:
            record = self._enqueue_or_refuse(peer, call, send)
        else:
            self._metrics.count("agent.doubled_call")
        await send(await asyncio.shield(record.final))

    def _is_mine(self, message: Call | Settle | Cancel) -> bool:
        """Whether this process would still know of the attempt."""
        return message.incarnation == self.incarnation and not is_stale(
            message.epoch, self.epoch
        )

    def _enqueue_or_refuse(self, peer: str, call: Call, send: Send) -> Record:
        """Take a call, or see to it that no copy of it is taken later."""
        refusal = self._find_refusal(call)
        if not refusal:
            item = self._planner.plan(call, self._now())
            if not self._planner.comes_too_late(item, self._now()):
                return self._enqueue(peer, call, send, item)
            refusal = "overloaded"
        self._metrics.count(f"agent.not_run.{refusal.replace(' ', '_')}")
        record = self._log.add(call.attempt)
        self._log.end(record, NotRun(call.attempt, refusal, self.load), self._now())
        return record

    def _find_refusal(self, call: Call) -> str:
        """Return why a call is not taken, or an empty string."""
        if not is_whole(call):
            return "cut call"
        if self.is_leaving:
            return LEAVING
        if call.budget <= 0:
            return "deadline"
        if not call.repeatable and self._log.is_full:
            return "no room to keep the result"
        return ""

    def _enqueue(self, peer: str, call: Call, send: Send, item: Waiting) -> Record:
        loop = asyncio.get_running_loop()
        record = self._log.add(call.attempt, call.repeatable, len(call.resume))
        owner = self._peers.owner(peer)
        job = Job(call, send, record, item.deadline, loop.time(), owner)
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

    def _settle(self, question: Settle) -> Final | Pending | Tokens:
        attempt = question.attempt
        record = self._log.get(attempt)
        if record is None and not self._is_mine(question):
            return Unknown(attempt, "the agent does not know of it any more")
        if record is None:
            record = self._log.bury(attempt, "never seen", self._now())
        missing = record.tokens_from(question.have)
        if missing and question.have >= record.first:
            return Tokens(attempt, question.have, missing)
        if record.final.done():
            return record.final.result()
        return Pending(attempt, self.load, record.state is AttemptState.RUNNING)

    async def _cancel(self, message: Cancel) -> None:
        attempt = message.attempt
        job = self._jobs.get(attempt)
        if job is None:
            if self._log.get(attempt) is None and self._is_mine(message):
                self._log.bury(attempt, "cancelled", self._now())
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
            if self._peers.is_gone(job.owner, loop.time()):
                self._planner.end(job.call, None)
                self._end(job, NotRun(item.attempt, "entry gone", self.load))
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
        except TargetRejectedInput as exc:
            return NotRun(call.attempt, str(exc), self.load, final=True)
        except TargetFailed as exc:
            if not exc.ran:
                return NotRun(call.attempt, str(exc), self.load)
            if call.repeatable:
                return Failed(call.attempt, str(exc), self.load)
            return Unknown(call.attempt, str(exc))
        except Exception as exc:
            logger.bind(stage=call.stage).exception("target call broke")
            if call.repeatable:
                return Failed(call.attempt, repr(exc), self.load)
            return Unknown(call.attempt, repr(exc))
        return Done(
            call.attempt,
            body,
            digest(body),
            self.load,
            waited=started - job.queued_at,
            ran=loop.time() - started,
            tokens=job.record.tokens,
            offset=job.record.first,
        )

    async def _call_target(self, job: Job, started: float) -> bytes:
        call = job.call
        grace = 0.0 if call.repeatable else RESULT_GRACE_S
        work = TargetRequest(
            attempt=call.attempt,
            request=call.request,
            operation=call.operation,
            body=call.body,
            budget=max(0.001, job.deadline - started) + grace,
            priority=call.priority,
            streams=call.streams,
            resume=call.resume,
        )
        if not call.streams:
            return await self._target.run(work)

        sender = TokenSender(call.attempt, job.send)

        def on_tokens(offset: int, tokens: list[str]) -> None:
            job.record.tokens.extend(tokens)
            sender.add(offset, tokens)

        try:
            return await self._target.stream(work, on_tokens)
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
